import { Effect } from 'effect';
import { Fault } from '../shared/fault.js';
import { seating } from './seating.js';
import type { Desk } from './seaterDesk.js';
import type { SeaterLots } from './seaterLots.js';
import { seaterRules } from './seaterRules.js';
import { seaterState } from './seaterState.js';

/** What fronts ask of a seater; `ending` closes a lot at once. */
export const makeCalls = (desk: Desk, { open }: SeaterLots, ending: (id: string) => Effect.Effect<void>) => {
  const { context, token, duty, held, state, texts, explained, rules, samplers, startable } = desk;
  const { time } = context;

  const seat = (burden: number, domain: string, timeLeftMs: number): Effect.Effect<unknown, Fault> =>
    Effect.suspend(() => {
      const now = time.held();
      const live = samplers();
      const view = desk.view(live, now);
      const fits = [...view.samplers.values()]
        .filter(
          (sampler) => sampler.ready && !sampler.loading && seating.usage(view, sampler) + burden <= sampler.budget,
        )
        .map((sampler) => ({
          sampler,
          announced: live.find((each) => each.name === sampler.name)!,
          share: seating.usage(view, sampler) / Math.max(1, sampler.budget),
        }))
        .sort(
          (left, right) =>
            Number(left.sampler.most !== undefined) - Number(right.sampler.most !== undefined) ||
            Number(right.announced.domain === domain) - Number(left.announced.domain === domain) ||
            left.share - right.share,
        )[0];
      if (!fits) return Effect.fail(new Fault({ step: 'seat', reason: 'no sampler has room' }));
      const permit = { id: time.identity(), sampler: fits.sampler.name, burden, until: now + timeLeftMs };
      state.swap((before) => ({ ...before, permits: new Map(before.permits).set(permit.id, permit) }));
      return Effect.succeed({
        permit: permit.id,
        name: fits.sampler.name,
        address: fits.announced.address,
        version: fits.sampler.version,
        incarnation: fits.sampler.incarnation,
      });
    });

  /** Rows for operators' queries. */
  const tableOf = (name: 'lots' | 'items' | 'seats'): ReadonlyArray<Record<string, unknown>> => {
    const { service } = desk;
    const items = [...state.get().items.values()];
    const view = desk.view();
    if (name === 'seats') {
      return [...view.samplers.values()].map((sampler) => ({
        sampler: sampler.name,
        service,
        used: seating.usage(view, sampler),
        budget: sampler.budget,
        active: seating.activeOn(view, sampler.name).length,
        version: sampler.version,
        setAside: seaterState.noteOf(state.get(), sampler.name).setAside,
      }));
    }
    if (name === 'lots') {
      return [...state.get().lots.values()].map(({ id, lot }) => {
        const own = items.filter((item) => item.lot === id);
        const count = (wanted: string): number => own.filter((item) => item.state === wanted).length;
        const counts = {
          waiting: count('waiting'),
          active: count('active'),
          paused: count('paused'),
          done: count('done'),
        };
        return { lot: id, service, step: lot.step, taskType: lot.taskType, items: own.length, ...counts };
      });
    }
    return items.map((item) => {
      const decision = explained.get(item.key);
      const stopped = item.state === 'waiting' || item.state === 'paused';
      const why = startable(item.lot) ? seating.obstacle(view, item, rules()) : 'its lot is not confirmed to be open';
      return {
        item: item.key,
        lot: item.lot,
        service,
        state: item.state,
        sampler: item.sampler,
        tokens: item.promptTokens + item.generated,
        version: item.version,
        why: stopped ? why : undefined,
        decision: decision?.kind,
        cause: decision?.cause,
      };
    });
  };

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
        const ready = (): boolean =>
          !state.get().items.has(key) ||
          seaterRules.shown(texts.get(key)) > given['from']! ||
          state.get().items.get(key)!.state === 'done';
        if (!ready()) {
          yield* desk.news(1000);
        }
        const item = state.get().items.get(key);
        const text = texts.get(key);
        return {
          known: item !== undefined,
          done: item === undefined || item.state === 'done',
          pieces: text ? text.pieces.slice(given['from']!, seaterRules.shown(text)) : [],
        };
      }
      if (call === 'why') {
        const item = state.get().items.get(given['item']!);
        if (!item) return { known: false };
        const view = desk.view();
        const text = texts.get(item.key);
        const waits =
          item.state === 'waiting' || item.state === 'paused'
            ? {
                obstacle: startable(item.lot)
                  ? seating.obstacle(view, item, rules())
                  : 'the stores have not confirmed lately that its lot is open',
              }
            : {};
        return {
          known: true,
          item,
          pieces: text?.pieces.length ?? 0,
          confirmed: text?.confirmed ?? 0,
          decision: explained.get(item.key),
          ...waits,
        };
      }
      if (call === 'seat') return yield* seat(given['burden']!, given['domain']!, given['timeLeftMs']!);
      if (call === 'unseat') {
        state.swap((before) => ({
          ...before,
          permits: new Map([...before.permits].filter(([id]) => id !== given['permit'])),
        }));
        return {};
      }
      if (call === 'lots' || call === 'items' || call === 'seats') return tableOf(call);
      if (call === 'state') {
        const view = desk.view();
        return {
          token,
          lots: state.get().lots.size,
          samplers: [...view.samplers.values()].map((sampler) => ({
            ...sampler,
            used: seating.usage(view, sampler),
            active: seating.activeOn(view, sampler.name).length,
            setAside: seaterState.noteOf(state.get(), sampler.name).setAside,
          })),
          items: [...state.get().items.values()].reduce<Record<string, number>>(
            (sum, item) => ({ ...sum, [item.state]: (sum[item.state] ?? 0) + 1 }),
            {},
          ),
        };
      }
      return yield* new Fault({ step: 'seater', reason: `no call named ${call}` });
    });

  return handle;
};
