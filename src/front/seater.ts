import { Deferred, Effect, FiberMap, type Scope } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import type { Announcement } from '../node/news.js';
import { Fault } from '../shared/fault.js';
import { table } from '../shared/table.js';
import { generation } from './generation.js';
import { lot, type ItemResult, type TextPiece } from './lot.js';
import { lotBook } from './lotBook.js';
import { rateItem } from './rateItem.js';
import { seating, type Decision, type SeatedItem } from './seating.js';
import { seaterState, type GrowingText, type SeaterState } from './seaterState.js';
import { rollWeights } from './rollWeights.js';

type Growing = GrowingText & { stretch: number; promptTokens: number; failure: string | undefined };
type Explained = { readonly at: number; readonly kind: string; readonly cause: string; readonly sampler: string; readonly figures: Readonly<Record<string, number>> };

/** The one node that orders a model service's samplers, for as long as it holds that duty. */
export type Seater = {
  readonly service: string;
  readonly run: Effect.Effect<void, never, Scope.Scope>;
  readonly handle: (call: string, body: unknown) => Effect.Effect<unknown, Fault>;
};

const verifyMs = 700;
const verifiedFor = 2000;
const failuresMost = 12;

/** Makes a service's seater under a fencing token; `held` tells, at each order, whether the duty is still this node's. */
export const makeSeater = (context: NodeContext, service: string, token: number): Seater => {
  const { time, log, archive, register } = context;
  const duty = `seat/${service}`;
  const book = lotBook(archive);
  const held = (): boolean => context.leases.duty(duty) === token;
  const state = table<SeaterState>(seaterState.empty);
  const texts = new Map<string, Growing>();
  const explained = new Map<string, Explained>();
  const failures = new Map<string, number>();
  let waiters: ReadonlyArray<Deferred.Deferred<void>> = [];

  const rules = () => register.known()!.configuration.seating;
  const trainer = () => register.known()?.configuration.weights[service] ?? { version: 0, step: 0 };
  const samplers = (): ReadonlyArray<Announcement> => context.news.samplers().filter((sampler) => sampler.service === service);
  const textOf = (key: string): Growing => {
    const known = texts.get(key) ?? { pieces: [], confirmed: 0, saved: 0, final: false, stretch: 0, promptTokens: 0, failure: undefined };
    texts.set(key, known);
    return known;
  };
  const wake = (): void => {
    for (const waiter of waiters) Deferred.unsafeDone(waiter, Effect.void);
    waiters = [];
  };
  const startable = (id: string): boolean => {
    const open = state.get().lots.get(id);
    return open !== undefined && !open.ended && time.held() - open.verifiedAt < verifiedFor && !context.news.ended().includes(id);
  };

  const flush = (only?: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      const due = [...texts].filter(([key, text]) => (only === undefined || key === only) && state.get().items.has(key)
        && text.pieces.length + (text.final ? 1 : 0) > text.saved);
      const byLot = new Map<string, ReadonlyArray<readonly [string, Growing]>>();
      for (const each of due) byLot.set(each[0].split('/')[0]!, [...(byLot.get(each[0].split('/')[0]!) ?? []), each]);
      yield* Effect.forEach(byLot, ([id, entries]) => Effect.gen(function* () {
        const saved = entries.map(([key, text]) => ({ key, text, count: text.pieces.length, final: text.final }));
        const checkpoints = saved.map(({ key, text, count, final }) => {
          const item = state.get().items.get(key);
          const version = text.pieces.at(-1)?.version ?? 0;
          return book.checkpoint(duty, token, key, text.pieces.slice(0, count), { final, failure: text.failure, sampler: item?.sampler, incarnation: item?.holderIncarnation ?? 0, version, promptTokens: text.promptTokens });
        });
        yield* archive.put(id, duty, checkpoints);
        if (!held()) return yield* new Fault({ step: 'checkpoint', reason: 'the duty is no longer held' });
        for (const { text, count, final } of saved) {
          text.confirmed = Math.max(text.confirmed, count);
          text.saved = Math.max(text.saved, count + (final ? 1 : 0));
        }
        context.log.count('checkpoints', checkpoints.length);
        wake();
      }), { concurrency: 8 });
    });

  const finish = (key: string, result: ItemResult): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      if (!held()) return yield* new Fault({ step: 'result', reason: 'the duty is no longer held' });
      const chosen = yield* book.once(lot.keys.result(key), result);
      state.swap((now) => seaterState.finish(now, key, chosen.state));
      log.event('item_finished', { item: key, state: chosen.state, reason: chosen.state === 'failed' ? chosen.reason : undefined, pieces: chosen.pieces.length });
      wake();
    });

  const complete = (key: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      const text = textOf(key);
      text.final = true;
      yield* flush(key);
      const whole = text.pieces.map((piece) => piece.text).join('');
      yield* finish(key, { state: 'complete', pieces: [...text.pieces], promptTokens: text.promptTokens, digest: lot.digestOf(whole) });
    });

  const stretch = (key: string, sampler: Announcement, decision: Decision): Effect.Effect<void> =>
    Effect.gen(function* () {
      const open = state.get().lots.get(key.split('/')[0]!);
      const item = state.get().items.get(key);
      if (!open || !item) return;
      const [, group, index] = key.split('/');
      const given = open.lot.groups[Number(group)]!.items[Number(index)]!;
      const text = textOf(key);
      text.stretch += 1;
      const mine = text.stretch;
      if (text.final) return yield* text.failure === undefined ? complete(key) : giveUp(key, text.failure);
      const measure = (): void => {
        if (text.stretch !== mine) return;
        if (!state.get().probes.has(item.group) && text.pieces.length >= rules().firstTurnPieces) probed();
      };
      const probed = (): void => void state.swap((now) => (now.probes.has(item.group) ? now : {
        ...now, probes: new Map(now.probes).set(item.group, text.promptTokens + text.pieces.reduce((sum, piece) => sum + piece.tokens, 0)),
      }));
      context.log.count(decision.held ? 'starts_held' : 'starts_fresh');
      const outcome = yield* generation({
        http: context.http, sampler, item: key, group: item.group, token, prompt: given.prompt, maxTokens: given.maxTokens,
        prior: [...text.pieces], held: decision.held && text.pieces.length > 0,
        allowed: () => held() && startable(item.lot) && fitsNow(item, sampler),
        counted: (promptTokens) => {
          if (text.stretch !== mine) return;
          if (!decision.held) context.log.count('prefill_tokens', promptTokens + text.pieces.reduce((sum, piece) => sum + piece.tokens, 0));
          text.promptTokens = promptTokens;
          state.swap((now) => seaterState.withItem(now, key, { promptTokens }));
        },
        took: (piece: TextPiece) => {
          if (text.stretch !== mine) return;
          text.pieces.push(piece);
          context.log.count('pieces');
          measure();
        },
      });
      if (outcome.end === 'done') {
        probed();
        failures.delete(key);
        return yield* complete(key);
      }
      if (outcome.end === 'cut') return yield* new Fault({ step: 'generation', cohortMember: sampler.name, reason: outcome.reason });
      log.event('prefix_lost', { item: key, sampler: sampler.name, reason: outcome.reason });
      state.swap((now) => seaterState.withItem(now, key, { state: 'paused', pausedAt: time.held(), holderVersion: -1, retryAt: time.held() + (outcome.end === 'version' ? 500 : 0) }));
    }).pipe(Effect.catchAll((fault) => Effect.sync(() => {
      const tries = (failures.get(key) ?? 0) + 1;
      failures.set(key, tries);
      log.event('stretch_failed', { item: key, sampler: sampler.name, reason: fault.message, tries });
      const now = time.held();
      state.swap((before) => seaterState.withItem(
        fault.cohortMember === sampler.name ? seaterState.withNote(before, sampler.name, { failedAt: now }) : before,
        key, { state: 'paused', pausedAt: now, holderVersion: -1, retryAt: now + Math.min(5000, 100 * 2 ** tries) }));
    })));

  const fitsNow = (item: SeatedItem, sampler: Announcement): boolean => {
    const now = samplers().find((each) => each.name === sampler.name);
    return now !== undefined && now.incarnation === sampler.incarnation && now.state === 'ready' && now.version === sampler.version
      && !seaterState.noteOf(state.get(), sampler.name).loading && seating.versionFits(item, { ...now, ready: true, loading: false, closing: false, interactive: 0, unexplained: 0 });
  };

  const explain = (decision: Decision): void => {
    explained.set(decision.item, { at: time.wall(), kind: decision.kind, cause: decision.cause, sampler: decision.sampler, figures: decision.figures });
    log.event(`item_${decision.kind}`, { item: decision.item, sampler: decision.sampler, held: decision.held, cause: decision.cause, ...decision.figures });
  };

  const refresh = (now: number, live: ReadonlyArray<Announcement>): void => {
    state.swap((before) => {
      let items = before.items;
      for (const [key, text] of texts) {
        const item = items.get(key);
        const generated = text.pieces.reduce((sum, piece) => sum + piece.tokens, 0);
        if (item && item.generated !== generated) items = items === before.items ? new Map(items) : items;
        if (item && item.generated !== generated) (items as Map<string, SeatedItem>).set(key, { ...item, generated, version: text.pieces.at(-1)?.version ?? 0 });
      }
      const permits = new Map([...before.permits].filter(([, permit]) => permit.until > now));
      return live.reduce<SeaterState>((next, sampler) => seaterState.reconcile(next, sampler, now), { ...before, items, permits });
    });
  };

  const tick = (fibers: FiberMap.FiberMap<string>): Effect.Effect<void> =>
    Effect.gen(function* () {
      if (!held() || !register.known()) return;
      const now = time.held();
      const live = samplers();
      refresh(now, live);
      for (const item of state.get().items.values()) {
        if (item.state !== 'active') continue;
        const sampler = live.find((each) => each.name === item.sampler);
        if (!sampler) continue;
        const cause = seaterState.mustLeave(state.get(), item, sampler, live, now);
        if (cause === undefined) continue;
        log.event('item_moved_off', { item: item.key, sampler: item.sampler, cause });
        yield* FiberMap.remove(fibers, item.key);
        state.swap((before) => seaterState.withItem(before, item.key, { state: 'paused', pausedAt: now, holderVersion: -1 }));
      }
      const current = state.get();
      const view = seaterState.view(current, live, trainer().step, now);
      const hidden = new Map([...view.items].map(([key, item]) => [key, startable(item.lot) || item.state === 'active' ? item : { ...item, retryAt: Infinity }]));
      const [, decisions] = seating.plan({ ...view, items: hidden }, rules(), now);
      for (const decision of decisions) {
        if (!held()) return;
        const sampler = live.find((each) => each.name === decision.sampler)!;
        explain(decision);
        if (decision.kind === 'pause') {
          state.swap((before) => seaterState.withItem(before, decision.item, { state: 'paused', pausedAt: now }));
          yield* FiberMap.remove(fibers, decision.item);
        } else {
          state.swap((before) => seaterState.withItem(before, decision.item, {
            state: 'active', sampler: sampler.name, holderIncarnation: sampler.incarnation, holderVersion: sampler.version,
            ...(decision.kind === 'admit' ? { promptTokens: decision.figures['footprint']! } : {}),
          }));
          yield* FiberMap.run(fibers, decision.item, stretch(decision.item, sampler, decision));
        }
      }
      yield* Effect.forEach([...failures].filter(([, tries]) => tries >= failuresMost), ([key]) => {
        failures.delete(key);
        return Effect.ignore(giveUp(key, `failed ${failuresMost} times in a row`));
      });
    });

  /** Ends an item with a reason; like a whole text, what it came to stands on a majority before the result is written. */
  const giveUp = (key: string, reason: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      const text = textOf(key);
      if (text.final && text.failure === undefined) return yield* complete(key);
      text.stretch += 1;
      text.final = true;
      text.failure = reason;
      yield* flush(key);
      yield* finish(key, { state: 'failed', reason, pieces: [...text.pieces] });
    });

  /** Ends items that no sampler can ever take any more. */
  const hopeless = (): Effect.Effect<void> =>
    Effect.gen(function* () {
      const live = samplers().filter((sampler) => sampler.state === 'ready');
      const budget = Math.max(0, ...live.map((sampler) => sampler.budget));
      for (const item of state.get().items.values()) {
        if (item.state === 'done' || item.state === 'active') continue;
        if (texts.get(item.key)?.final) {
          yield* Effect.ignore(giveUp(item.key, texts.get(item.key)?.failure ?? ''));
          continue;
        }
        const target = trainer().version;
        const gone = live.length > 0 && item.singleVersion && item.generated > 0 && item.version < target && live.every((sampler) => sampler.version > item.version);
        if (gone) yield* Effect.ignore(giveUp(item.key, `version ${item.version} can no longer be had`));
        else if (budget > 0 && item.promptTokens + item.generated > budget) yield* Effect.ignore(giveUp(item.key, `its ${item.promptTokens + item.generated} tokens are over the largest budget of ${budget}`));
      }
    });

  const open = (id: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      if (state.get().lots.has(id)) return;
      const startedAt = time.held();
      const end = yield* book.end(id);
      if (end) return;
      const found = yield* book.load(id, duty, token);
      if (!found || found.lot.service !== service || state.get().lots.has(id)) return;
      for (const [key, { pieces, place }] of found.texts) {
        texts.set(key, { pieces: [...pieces], confirmed: pieces.length, saved: pieces.length + (place.final ? 1 : 0), final: place.final, stretch: 0, promptTokens: place.promptTokens, failure: place.failure });
      }
      state.swap((before) => {
        const items = new Map(before.items);
        for (const item of seaterState.openItems(id, found.lot, startedAt)) {
          const text = found.texts.get(item.key);
          const generated = text?.pieces.reduce((sum, piece) => sum + piece.tokens, 0) ?? 0;
          items.set(item.key, found.results.has(item.key) ? { ...item, state: 'done' } : text === undefined ? item : {
            ...item, state: 'paused', generated, version: text.pieces.at(-1)?.version ?? 0, sampler: text.place.sampler,
            holderIncarnation: text.place.incarnation, holderVersion: text.place.version, promptTokens: text.place.promptTokens,
          });
        }
        return {
          ...before, items,
          lots: new Map(before.lots).set(id, { id, lot: found.lot, verifiedAt: startedAt, ended: false }),
          finished: new Map([...before.finished, ...[...found.results].map(([key, result]): [string, ItemResult['state']] => [key, result.state])]),
        };
      });
      log.event('lot_opened', { lot: id, step: found.lot.step, items: lot.itemsOf(found.lot).length, texts: found.texts.size, results: found.results.size });
    });

  const close = (fibers: FiberMap.FiberMap<string>, id: string, cause: string): Effect.Effect<void> =>
    Effect.gen(function* () {
      const keys = [...state.get().items.values()].filter((item) => item.lot === id).map((item) => item.key);
      state.swap((before) => seaterState.dropLot(before, id));
      for (const key of keys) {
        yield* FiberMap.remove(fibers, key);
        yield* FiberMap.remove(fibers, `rating ${key}`);
        texts.delete(key);
        explained.delete(key);
        failures.delete(key);
      }
      wake();
      log.event('lot_closed', { lot: id, cause });
      yield* Effect.forkDaemon(Effect.ignore(book.forget(id, duty, token, keys)));
    });

  const verify = (fibers: FiberMap.FiberMap<string>, rated: Set<string>): Effect.Effect<void> =>
    Effect.suspend(() => Effect.forEach([...state.get().lots.values()], (each) => Effect.gen(function* () {
      const startedAt = time.held();
      const end = yield* book.end(each.id);
      if (end) return yield* close(fibers, each.id, end.reason);
      state.swap((before) => (before.lots.has(each.id) ? { ...before, lots: new Map(before.lots).set(each.id, { ...before.lots.get(each.id)!, verifiedAt: startedAt }) } : before));
      const items = [...state.get().items.values()].filter((item) => item.lot === each.id);
      if (items.some((item) => item.state !== 'done')) return;
      const unrated = each.lot.ratingService === undefined ? [] : items.filter((item) => !rated.has(item.key) && state.get().finished.get(item.key) === 'complete');
      if (unrated.length === 0 && held()) yield* book.once(lot.keys.end(each.id), { reason: 'complete' });
    }).pipe(Effect.ignore), { concurrency: 8, discard: true }));

  let ending: (id: string) => Effect.Effect<void> = () => Effect.void;

  const handle = (call: string, body: unknown): Effect.Effect<unknown, Fault> =>
    Effect.gen(function* () {
      if (!held()) return yield* new Fault({ step: 'seater', reason: `${duty} is not this node's` });
      const given = body as Record<string, string & number>;
      if (call === 'lot') {
        yield* open(given['id']!);
        return {};
      }
      if (call === 'ended') {
        yield* ending(given['id']!);
        return {};
      }
      if (call === 'events') {
        const key = given['item']!;
        const ready = (): boolean => !state.get().items.has(key) || (texts.get(key)?.confirmed ?? 0) > given['from']! || state.get().items.get(key)!.state === 'done';
        if (!ready()) {
          const waiter = yield* Deferred.make<void>();
          waiters = [...waiters, waiter];
          yield* Deferred.await(waiter).pipe(Effect.timeoutOption(1000));
        }
        const item = state.get().items.get(key);
        const text = texts.get(key);
        return { known: item !== undefined, done: item === undefined || item.state === 'done', pieces: text ? text.pieces.slice(given['from']!, text.confirmed) : [] };
      }
      if (call === 'why') {
        const item = state.get().items.get(given['item']!);
        if (!item) return { known: false };
        const view = seaterState.view(state.get(), samplers(), trainer().step, time.held());
        const text = texts.get(item.key);
        const waits = item.state === 'waiting' || item.state === 'paused' ? { obstacle: startable(item.lot) ? seating.obstacle(view, item, rules()) : 'the stores have not confirmed lately that its lot is open' } : {};
        return { known: true, item, pieces: text?.pieces.length ?? 0, confirmed: text?.confirmed ?? 0, decision: explained.get(item.key), ...waits };
      }
      if (call === 'seat') return yield* seat(given['burden']!, given['domain']!, given['timeLeftMs']!);
      if (call === 'unseat') {
        state.swap((before) => ({ ...before, permits: new Map([...before.permits].filter(([id]) => id !== given['permit'])) }));
        return {};
      }
      if (call === 'state') {
        const view = seaterState.view(state.get(), samplers(), trainer().step, time.held());
        return {
          token, lots: state.get().lots.size,
          samplers: [...view.samplers.values()].map((sampler) => ({ ...sampler, used: seating.usage(view, sampler), active: seating.activeOn(view, sampler.name).length, setAside: seaterState.noteOf(state.get(), sampler.name).setAside })),
          items: [...state.get().items.values()].reduce<Record<string, number>>((sum, item) => ({ ...sum, [item.state]: (sum[item.state] ?? 0) + 1 }), {}),
        };
      }
      return yield* new Fault({ step: 'seater', reason: `no call named ${call}` });
    });

  const seat = (burden: number, domain: string, timeLeftMs: number): Effect.Effect<unknown, Fault> =>
    Effect.suspend(() => {
      const now = time.held();
      const live = samplers();
      const view = seaterState.view(state.get(), live, trainer().step, now);
      const fits = [...view.samplers.values()].filter((sampler) => sampler.ready && !sampler.loading && seating.usage(view, sampler) + burden <= sampler.budget)
        .map((sampler) => ({ sampler, announced: live.find((each) => each.name === sampler.name)!, share: seating.usage(view, sampler) / Math.max(1, sampler.budget) }))
        .sort((left, right) => Number(right.announced.domain === domain) - Number(left.announced.domain === domain) || left.share - right.share)[0];
      if (!fits) return Effect.fail(new Fault({ step: 'seat', reason: 'no sampler has room' }));
      const permit = { id: time.identity(), sampler: fits.sampler.name, burden, until: now + timeLeftMs };
      state.swap((before) => ({ ...before, permits: new Map(before.permits).set(permit.id, permit) }));
      return Effect.succeed({ permit: permit.id, name: fits.sampler.name, address: fits.announced.address, version: fits.sampler.version, incarnation: fits.sampler.incarnation });
    });

  const run = Effect.gen(function* () {
    const fibers = yield* FiberMap.make<string>();
    const rated = new Set<string>();
    const rating = new Set<string>();
    ending = (id) => close(fibers, id, 'ended');
    const repeat = (everyMs: number, work: Effect.Effect<unknown, unknown, Scope.Scope>, step: string) =>
      Effect.forkScoped(Effect.forever(Effect.zipRight(Effect.catchAllCause(work, (cause) => Effect.sync(() => log.event('seater_step_failed', { step, reason: String(cause).slice(0, 300) }))), Effect.sleep(everyMs))));
    yield* repeat(50, tick(fibers), 'seat');
    yield* Effect.forkScoped(Effect.forever(Effect.zipRight(Effect.ignoreLogged(flush()), Effect.suspend(() => Effect.sleep(register.known()?.configuration.seating.checkpointMs ?? 400)))));
    yield* repeat(verifyMs, verify(fibers, rated), 'verify');
    yield* repeat(500, hopeless(), 'hopeless');
    yield* repeat(300, rollWeights({ context, service, token, held, state, samplers, target: () => trainer().version }), 'weights');
    yield* repeat(2000, Effect.gen(function* () {
      const { ids } = yield* book.openLots((id) => state.get().lots.has(id));
      yield* Effect.forEach(ids, (id) => Effect.ignore(open(id)), { concurrency: 4 });
    }), 'lots');
    yield* repeat(150, Effect.gen(function* () {
      for (const [key, end] of state.get().finished) {
        const open = state.get().lots.get(key.split('/')[0]!);
        if (end !== 'complete' || !open?.lot.ratingService || rated.has(key) || rating.has(key)) continue;
        rating.add(key);
        yield* FiberMap.run(fibers, `rating ${key}`, rateItem({ context, item: key, ratingService: open.lot.ratingService, allowed: () => held() && startable(open.id) }).pipe(
          Effect.tap((done) => Effect.sync(() => done && rated.add(key))), Effect.ensuring(Effect.sync(() => rating.delete(key)))));
      }
    }), 'ratings');
  });

  return { service, run, handle };
};
