import { Effect } from 'effect';
import type { Announcement } from '../node/news.js';
import type { NodeContext } from '../node/nodeContext.js';
import { Fault } from '../shared/fault.js';
import type { Table } from '../shared/table.js';
import { seaterState, type SeaterState } from './seaterState.js';

const loadMs = 60_000;
const settleMs = 3000;
const graceMs = 2000;

/** One step of carrying weights out: at most `rollWidth` samplers load at once; one that can't is set aside. */
export const rollWeights = (options: {
  readonly context: NodeContext;
  readonly service: string;
  readonly token: number;
  readonly held: () => boolean;
  readonly state: Table<SeaterState>;
  readonly samplers: () => ReadonlyArray<Announcement>;
  readonly target: () => number;
}): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { context, state } = options;
    const target = options.target();
    if (target === 0 || !options.held()) return;
    const live = options.samplers();
    const note = (sampler: string) => seaterState.noteOf(state.get(), sampler);
    const behind = live.filter(
      (sampler) => sampler.version < target && (sampler.state === 'ready' || sampler.state === 'starting'),
    );
    const loading = live.filter((sampler) => note(sampler.name).loading).length;
    const width =
      context.register.known()?.configuration.services[options.service]?.rollWidth ??
      Math.max(1, Math.floor(live.length / 4));
    const free = Math.max(0, width - loading);
    const busy = (sampler: Announcement): number =>
      [...state.get().items.values()].filter((item) => item.state === 'active' && item.sampler === sampler.name).length;
    const chosen = behind
      .filter((sampler) => !note(sampler.name).loading && note(sampler.name).setAside === undefined)
      .sort((left, right) => busy(left) - busy(right) || (left.name < right.name ? -1 : 1))
      .slice(0, free);
    for (const sampler of chosen) {
      const closing = lastNeeded(state.get(), sampler, live);
      if (closing !== note(sampler.name).closing) {
        state.swap((now) => seaterState.withNote(now, sampler.name, { closing }));
        if (closing)
          context.log.event('weights_held_back', {
            sampler: sampler.name,
            version: target,
            cause: `begun texts need version ${sampler.version}`,
          });
      }
      if (closing) continue;
      state.swap((now) =>
        seaterState.withNote(now, sampler.name, { loading: true, evacuateAt: context.time.held() + graceMs }),
      );
      yield* Effect.forkDaemon(load(options, sampler, target));
    }
  });

/** Whether this is the last open sampler of a version that a begun text of a single version still needs. */
const lastNeeded = (state: SeaterState, sampler: Announcement, live: ReadonlyArray<Announcement>): boolean =>
  !live.some(
    (other) =>
      other.name !== sampler.name &&
      other.state === 'ready' &&
      other.version === sampler.version &&
      !seaterState.noteOf(state, other.name).loading,
  ) &&
  [...state.items.values()].some(
    (item) => item.singleVersion && item.generated > 0 && item.state !== 'done' && item.version === sampler.version,
  );

const activeOn = (state: SeaterState, sampler: Announcement) =>
  [...state.items.values()].filter((item) => item.state === 'active' && item.sampler === sampler.name);

/** Loads one sampler: lets what runs there finish, orders the load, and waits until it announces the version. */
const load = (
  options: Parameters<typeof rollWeights>[0],
  sampler: Announcement,
  target: number,
): Effect.Effect<void> => {
  const { context, state } = options;
  return Effect.gen(function* () {
    context.log.event('weights_waiting', {
      sampler: sampler.name,
      version: target,
      active: activeOn(state.get(), sampler).length,
    });
    while (
      options.held() &&
      (activeOn(state.get(), sampler).length > 0 ||
        seaterState.interactiveOn(state.get(), sampler.name, context.time.held()) > 0)
    )
      yield* Effect.sleep(50);
    if (!options.held()) return;
    yield* Effect.scoped(
      Effect.gen(function* () {
        const reply = yield* context.http.call(sampler.address, {
          method: 'POST',
          path: '/weights',
          headers: { 'content-type': 'application/json', 'foxdeck-fence': String(options.token) },
          body: Buffer.from(JSON.stringify({ version: target })),
        });
        if (reply.status !== 200)
          return yield* new Fault({
            step: 'load weights',
            cohortMember: sampler.name,
            reason: `answered ${reply.status}`,
          });
      }),
    ).pipe(
      Effect.timeoutFail({
        duration: loadMs,
        onTimeout: () => new Fault({ step: 'load weights', cohortMember: sampler.name, reason: 'took too long' }),
      }),
    );
    const until = context.time.held() + settleMs;
    const announced = (): boolean =>
      (options.samplers().find((each) => each.name === sampler.name)?.version ?? 0) >= target;
    while (options.held() && !announced() && context.time.held() < until) yield* Effect.sleep(50);
    if (!announced())
      return yield* new Fault({
        step: 'load weights',
        cohortMember: sampler.name,
        reason: 'said it loaded, but does not announce it',
      });
    context.log.event('weights_loaded', { sampler: sampler.name, version: target });
    state.swap((now) => seaterState.withNote(now, sampler.name, { loading: false }));
  }).pipe(
    Effect.catchAll((fault) =>
      Effect.gen(function* () {
        context.log.event('sampler_set_aside', { sampler: sampler.name, version: target, reason: fault.message });
        state.swap((now) => seaterState.withNote(now, sampler.name, { loading: false, setAside: fault.message }));
        yield* Effect.sleep(10_000);
        state.swap((now) => seaterState.withNote(now, sampler.name, { setAside: undefined }));
      }),
    ),
  );
};
