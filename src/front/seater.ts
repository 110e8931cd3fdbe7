import { Effect, FiberMap, type Scope } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import type { Announcement } from '../node/news.js';
import { Fault } from '../shared/fault.js';
import { generation } from './generation.js';
import type { TextPiece } from './lot.js';
import { rateItem } from './rateItem.js';
import { rollWeights } from './rollWeights.js';
import { makeCalls } from './seaterCalls.js';
import { makeDesk } from './seaterDesk.js';
import { makeLots } from './seaterLots.js';
import { seaterRules } from './seaterRules.js';
import { seaterState, type SeaterState } from './seaterState.js';
import { makeTexts } from './seaterTexts.js';
import { seating, type Decision, type SeatedItem } from './seating.js';

/** The one node that orders a model service's samplers, for as long as it holds that duty. */
export type Seater = {
  readonly service: string;
  readonly run: Effect.Effect<void, never, Scope.Scope>;
  readonly handle: (call: string, body: unknown) => Effect.Effect<unknown, Fault>;
};

const verifyMs = 700;
const faultsMost = 12;

/** Makes a service's seater under a fencing token. */
export const makeSeater = (context: NodeContext, service: string, token: number): Seater => {
  const desk = makeDesk(context, service, token);
  const { book, held, state, texts, explained, faults, paces, rules, trainer, samplers, textOf, startable } = desk;
  const { time, log, register } = context;
  const { flush, complete, giveUp } = makeTexts(desk);
  const lots = makeLots(desk);
  const { open, close, verify } = lots;

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
      let lastAt: number | undefined;
      if (text.final) return yield* text.fault === undefined ? complete(key) : giveUp(key, text.fault);
      const measure = (): void => {
        if (text.stretch !== mine) return;
        if (!state.get().probes.has(item.group) && text.pieces.length >= rules().firstTurnPieces) probed();
      };
      const probed = (): void =>
        void state.swap((now) =>
          now.probes.has(item.group)
            ? now
            : {
                ...now,
                probes: new Map(now.probes).set(item.group, text.promptTokens + text.tokens),
              },
        );
      context.log.count(decision.held ? 'starts_held' : 'starts_fresh');
      const outcome = yield* generation({
        http: context.http,
        sampler,
        item: key,
        group: item.group,
        token,
        prompt: given.prompt,
        maxTokens: given.maxTokens,
        prior: [...text.pieces],
        held: decision.held && text.pieces.length > 0,
        allowed: () => held() && startable(item.lot) && fitsNow(item, sampler),
        counted: (promptTokens) => {
          if (text.stretch !== mine) return;
          if (!decision.held) context.log.count('prefill_tokens', promptTokens + text.tokens);
          text.promptTokens = promptTokens;
          state.swap((now) => seaterState.withItem(now, key, { promptTokens }));
        },
        took: (piece: TextPiece) => {
          if (text.stretch !== mine) return;
          if (lastAt !== undefined) paces.took(sampler.name, time.held() - lastAt);
          lastAt = time.held();
          text.pieces.push(piece);
          text.tokens += piece.tokens;
          context.log.count('pieces');
          measure();
        },
      });
      if (outcome.end === 'done') {
        probed();
        faults.delete(key);
        return yield* complete(key);
      }
      if (outcome.end === 'cut')
        return yield* new Fault({ step: 'generation', cohortMember: sampler.name, reason: outcome.reason });
      log.event('prefix_lost', { item: key, sampler: sampler.name, reason: outcome.reason });
      state.swap((now) =>
        seaterState.withItem(now, key, {
          state: 'paused',
          pausedAt: time.held(),
          holderVersion: -1,
          retryAt: time.held() + (outcome.end === 'version' ? 500 : 0),
        }),
      );
    }).pipe(
      Effect.catchAll((fault) =>
        Effect.sync(() => {
          const tries = (faults.get(key) ?? 0) + 1;
          faults.set(key, tries);
          log.event('stretch_failed', { item: key, sampler: sampler.name, reason: fault.message, tries });
          const now = time.held();
          state.swap((before) =>
            seaterState.withItem(
              fault.cohortMember === sampler.name
                ? seaterState.withNote(before, sampler.name, { failedAt: now })
                : before,
              key,
              { state: 'paused', pausedAt: now, holderVersion: -1, retryAt: now + Math.min(5000, 100 * 2 ** tries) },
            ),
          );
        }),
      ),
    );

  const fitsNow = (item: SeatedItem, sampler: Announcement): boolean => {
    const now = samplers().find((each) => each.name === sampler.name);
    return (
      now !== undefined &&
      now.incarnation === sampler.incarnation &&
      now.state === 'ready' &&
      now.version === sampler.version &&
      !seaterState.noteOf(state.get(), sampler.name).loading &&
      seating.versionFits(item, { ...now, ready: true, loading: false, closing: false, interactive: 0, unexplained: 0 })
    );
  };

  const explain = (decision: Decision): void => {
    explained.set(decision.item, {
      at: time.wall(),
      kind: decision.kind,
      cause: decision.cause,
      sampler: decision.sampler,
      figures: decision.figures,
    });
    log.event(`item_${decision.kind}`, {
      item: decision.item,
      sampler: decision.sampler,
      held: decision.held,
      cause: decision.cause,
      ...decision.figures,
    });
  };

  const refresh = (now: number, live: ReadonlyArray<Announcement>): void => {
    state.swap((before) => {
      let items = before.items;
      for (const [key, text] of texts) {
        const item = items.get(key);
        const generated = text.tokens;
        if (item && item.generated !== generated) items = items === before.items ? new Map(items) : items;
        if (item && item.generated !== generated)
          (items as Map<string, SeatedItem>).set(key, {
            ...item,
            generated,
            version: text.pieces.at(-1)?.version ?? 0,
          });
      }
      const permits = new Map([...before.permits].filter(([, permit]) => permit.until > now));
      const refreshed = { ...before, items, permits };
      const cached = seaterState.cachedBy(refreshed);
      return live.reduce<SeaterState>(
        (next, sampler) => seaterState.reconcile(next, sampler, now, cached(sampler)),
        refreshed,
      );
    });
  };

  /** The table after a plan's decisions, swapped in at once. */
  const decided = (
    before: SeaterState,
    decisions: ReadonlyArray<Decision>,
    samplerOf: ReadonlyMap<string, Announcement>,
    now: number,
  ): SeaterState => {
    if (decisions.length === 0) return before;
    const items = new Map(before.items);
    for (const decision of decisions) {
      const item = items.get(decision.item);
      const sampler = samplerOf.get(decision.sampler);
      if (!item || !sampler) continue;
      const begun: SeatedItem = {
        ...item,
        state: 'active',
        sampler: sampler.name,
        holderIncarnation: sampler.incarnation,
        holderVersion: sampler.version,
        ...(decision.kind === 'admit' ? { promptTokens: decision.figures['footprint']! } : {}),
      };
      items.set(decision.item, decision.kind === 'pause' ? { ...item, state: 'paused', pausedAt: now } : begun);
    }
    return { ...before, items };
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
        state.swap((before) =>
          seaterState.withItem(before, item.key, { state: 'paused', pausedAt: now, holderVersion: -1 }),
        );
      }
      const view = desk.view(live, now);
      const hidden = new Map(
        [...view.items].map(([key, item]) => [
          key,
          startable(item.lot) || item.state === 'active' ? item : { ...item, retryAt: Infinity },
        ]),
      );
      const [, decisions] = seating.plan({ ...view, items: hidden }, rules(), now);
      if (!held()) return;
      const samplerOf = new Map(live.map((sampler) => [sampler.name, sampler]));
      state.swap((before) => decided(before, decisions, samplerOf, now));
      for (const decision of decisions) {
        explain(decision);
        if (decision.kind === 'pause') yield* FiberMap.remove(fibers, decision.item);
        else {
          const sampler = samplerOf.get(decision.sampler)!;
          yield* FiberMap.run(fibers, decision.item, stretch(decision.item, sampler, decision));
        }
      }
      yield* Effect.forEach(
        [...faults].filter(([, tries]) => tries >= faultsMost),
        ([key]) => {
          faults.delete(key);
          return Effect.ignore(giveUp(key, `failed ${faultsMost} times in a row`));
        },
      );
    });

  /** Ends items that no sampler can ever take any more. */
  const hopeless = (): Effect.Effect<void> =>
    Effect.gen(function* () {
      const live = samplers().filter((sampler) => sampler.state === 'ready');
      const budget = Math.max(0, ...live.map((sampler) => sampler.budget));
      for (const item of state.get().items.values()) {
        if (item.state === 'done' || item.state === 'active') continue;
        if (texts.get(item.key)?.final) {
          yield* Effect.ignore(giveUp(item.key, texts.get(item.key)?.fault ?? ''));
          continue;
        }
        const target = trainer().version;
        const gone =
          live.length > 0 &&
          item.singleVersion &&
          item.generated > 0 &&
          item.version < target &&
          live.every((sampler) => sampler.version > item.version);
        if (gone) yield* Effect.ignore(giveUp(item.key, `version ${item.version} can no longer be had`));
        else if (budget > 0 && item.promptTokens + item.generated > budget)
          yield* Effect.ignore(
            giveUp(
              item.key,
              `its ${item.promptTokens + item.generated} tokens are over the largest budget of ${budget}`,
            ),
          );
      }
    });

  let ending: (id: string) => Effect.Effect<void> = () => Effect.void;
  const handle = makeCalls(desk, lots, (id) => ending(id));

  const run = Effect.gen(function* () {
    const fibers = yield* FiberMap.make<string>();
    const rated = new Set<string>();
    const rating = new Set<string>();
    ending = (id) => close(fibers, id, 'ended');
    const repeat = (everyMs: number, work: Effect.Effect<unknown, unknown, Scope.Scope>, step: string) =>
      Effect.forkScoped(
        Effect.forever(
          Effect.zipRight(
            Effect.catchAllCause(work, (cause) =>
              Effect.sync(() => log.event('seater_step_failed', { step, reason: String(cause).slice(0, 300) })),
            ),
            Effect.sleep(everyMs),
          ),
        ),
      );
    yield* repeat(50, tick(fibers), 'seat');
    yield* Effect.forkScoped(
      Effect.forever(
        Effect.zipRight(
          Effect.ignoreLogged(flush()),
          Effect.suspend(() => Effect.sleep(register.known()?.configuration.seating.checkpointMs ?? 400)),
        ),
      ),
    );
    yield* repeat(verifyMs, verify(fibers, rated), 'verify');
    yield* repeat(500, hopeless(), 'hopeless');
    yield* repeat(
      300,
      rollWeights({ context, service, token, held, state, samplers, target: () => trainer().version }),
      'weights',
    );
    yield* repeat(
      2000,
      Effect.gen(function* () {
        const { ids } = yield* book.openLots((id) => state.get().lots.has(id));
        yield* Effect.forEach(ids, (id) => Effect.ignore(open(id)), { concurrency: 4 });
      }),
      'lots',
    );
    yield* repeat(
      150,
      Effect.gen(function* () {
        for (const key of seaterRules.ratable(state.get())) {
          const open = state.get().lots.get(key.split('/')[0]!);
          if (!open?.lot.ratingService || rated.has(key) || rating.has(key)) continue;
          rating.add(key);
          yield* FiberMap.run(
            fibers,
            `rating ${key}`,
            rateItem({
              context,
              item: key,
              ratingService: open.lot.ratingService,
              growing: texts.get(key),
              allowed: () => held() && startable(open.id),
            }).pipe(
              Effect.tap((done) => Effect.sync(() => done && rated.add(key))),
              Effect.ensuring(Effect.sync(() => rating.delete(key))),
            ),
          );
        }
      }),
      'ratings',
    );
  });

  return { service, run, handle };
};
