import { Effect, FiberMap, type Scope } from 'effect';
import { paxos } from '../core/paxos.js';
import { makeSeater, type Seater } from '../front/seater.js';
import { rendezvous } from '../shared/rendezvous.js';
import { table, type Table } from '../shared/table.js';
import type { NodeContext } from './nodeContext.js';
import { makeRetention } from './retention.js';
import { makeSteward } from './steward.js';
import { sweepStores, type Swept } from './sweep.js';

/** The last pass over the stores, and when one last found nothing to mend. */
export type LastSweep = { readonly swept: Swept | undefined; readonly clean: string | undefined };

/** Repeats a step for as long as its scope lives; a failed one is logged. */
type Task = (
  step: string,
  everyMs: number,
  work: Effect.Effect<unknown, unknown, Scope.Scope>,
) => Effect.Effect<unknown, never, Scope.Scope>;

const forgetMs = 60_000;

/** The duties that a front competes for: each service's seat, the calendar, the sweep. */
export const makeDuties = (options: {
  readonly context: NodeContext;
  readonly seaters: Table<ReadonlyMap<string, Seater>>;
  readonly scopes: FiberMap.FiberMap<string>;
  readonly lastSweep: Table<LastSweep>;
  readonly task: Task;
  readonly announce: () => void;
}) => {
  const { context, seaters, scopes, lastSweep, task, announce } = options;
  const { register, news, leases, log, time, settings, state: phase } = context;
  const duty = (name: string, doing: (token: number) => Effect.Effect<void, never, Scope.Scope>): Effect.Effect<void> =>
    Effect.gen(function* () {
      const fronts = news
        .nodes()
        .filter((node) => node.roles.includes('front') && node.state === 'ready')
        .map((node) => node.name);
      const before = leases.duty(name);
      if (phase() !== 'ready') return;
      if (before === undefined && rendezvous(name, fronts)[0] !== settings.name) return;
      yield* leases.acquire(name);
      const token = leases.duty(name);
      if (token === undefined || token === before) return;
      announce();
      yield* FiberMap.run(
        scopes,
        name,
        Effect.scoped(
          Effect.gen(function* () {
            yield* doing(token);
            while (leases.duty(name) === token) yield* Effect.sleep(50);
            log.event('duty_lost', { duty: name, token });
            yield* leases.release(name);
          }),
        ),
      );
    });
  const seat = (service: string) =>
    duty(`seat/${service}`, (token) =>
      Effect.gen(function* () {
        const seater = makeSeater(context, service, token);
        seaters.swap((now) => new Map(now).set(service, seater));
        yield* Effect.addFinalizer(() =>
          Effect.sync(() =>
            seaters.swap((now) =>
              now.get(service) === seater ? new Map([...now].filter(([name]) => name !== service)) : now,
            ),
          ),
        );
        yield* seater.run;
      }),
    );
  const retiredAt = table<ReadonlyMap<string, number>>(new Map());
  /** A retired lot's records go only once no hand-over of its key can still be under way. */
  const forgets = (lot: string): boolean => {
    const now = time.held();
    const since = retiredAt.swap((before) => (before.has(lot) ? before : new Map(before).set(lot, now))).get(lot)!;
    return now - since > forgetMs;
  };
  const retain = makeRetention(context);
  const sweeping = (token: number) =>
    Effect.zipRight(
      task(
        'retention',
        10_000,
        retain(() => leases.duty('sweep') === token),
      ),
      mending(token),
    );
  const mending = (token: number) =>
    task(
      'sweep',
      3000,
      Effect.gen(function* () {
        const stores = register.known()?.configuration.stores;
        const moving = (stores?.previous.length ?? 0) > 0;
        if (!stores || stores.current.length === 0) return;
        if (moving) yield* Effect.sleep(settings.leaseMs);
        const swept = yield* sweepStores(context, () => leases.duty('sweep') === token, moving ? 2 : 5, forgets);
        lastSweep.swap((before) => ({
          swept,
          clean:
            swept.left === 0 && swept.mended === 0 && swept.silent.length === 0
              ? new Date(time.wall()).toISOString()
              : before.clean,
        }));
        if (swept.mended > 0 || swept.left > 0)
          log.event('swept', {
            records: swept.records,
            mended: swept.mended,
            left: swept.left,
            silent: swept.silent.map((store) => store.name).join(','),
          });
        const absent = swept.silent.filter((silent) => stores.current.some((store) => paxos.same(store, silent)));
        if (
          moving &&
          swept.left === 0 &&
          swept.mended === 0 &&
          absent.length === 0 &&
          register.known()?.configuration.stores.epoch === swept.epoch
        ) {
          const outcome = yield* register.change(
            Buffer.from(JSON.stringify({ id: `stores-settled/${swept.epoch}`, settledEpoch: swept.epoch })),
          );
          log.event('stores_settled', { epoch: swept.epoch, outcome: outcome.state });
        }
      }),
    );
  const duties = Effect.gen(function* () {
    const services = Object.entries(register.known()?.configuration.services ?? {}).filter(
      ([, service]) => service.kind === 'model',
    );
    yield* Effect.forEach(
      [
        ...services.map(([service]) => seat(service)),
        duty('calendar', (token) =>
          task(
            'calendar',
            500,
            makeSteward(context, token, () => leases.duty('calendar') === token),
          ),
        ),
        duty('sweep', (token) => sweeping(token)),
      ],
      (each) => each,
      { concurrency: 'unbounded' },
    );
  });

  return duties;
};
