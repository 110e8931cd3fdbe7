import { Effect } from 'effect';
import { query } from '../cli/query.js';
import type { Deployment } from '../dev/deployment.js';
import type { Clients } from './clients.js';
import { runDay, type Day } from './day.js';
import type { SimFleet } from './simFleet.js';
import type { World } from './world.js';

type Rows = ReadonlyArray<Record<string, unknown>>;

/** A scripted day, what an operator put on the calendar for it, and what the shell tells of it afterwards. */
export type ScriptedDay = {
  readonly day: Day;
  readonly moves: Rows;
  readonly told: Readonly<Record<string, Rows>>;
};

const epoch = 1_800_000_000_000;

/**
 * A release of all samplers, a store retired and one joined, a core replaced by an empty one at a new address, a domain
 * lost and back, and a weight version for each step: the operator's hand puts moves on the calendar and no more.
 */
export const scriptedDay = (given: Deployment, seed: number): ScriptedDay => {
  let clients!: Clients;
  const replaced = 'core1';
  const script = (world: World, fleet: SimFleet, given_: Clients): void => {
    clients = given_;
    const at = (ms: number): number => Math.floor(epoch + world.now() + ms);
    const joined = fleet.join('store');
    const [model, plain] = [clients.model, clients.plain];
    const width = (service: string): number =>
      Math.max(1, Math.floor((given.samplers.find((group) => group.service === service)?.count ?? 1) / 3));
    const moves = {
      'release-plain': { startMs: at(3000), replace: { service: plain, width: width(plain) } },
      'release-model': { startMs: at(4000), replace: { service: model, width: width(model) } },
      'retire-store': { startMs: at(5000), retire: { store: 'store1', by: joined.name } },
      'shift-look-ups': {
        startMs: at(6000),
        shift: { binding: 'scripted', to: 'other', steps: [25, 100], everyMs: 3000 },
      },
    };
    const bindings = { scripted: { path: '/scripted', methods: ['GET'], service: plain } };
    fleet.client(
      'planner',
      Effect.zipRight(
        Effect.sleep(1500),
        Effect.suspend(() => clients.change({ id: 'plan', bindings, moves })).pipe(
          Effect.tap((told) => (told.status === 200 ? Effect.void : Effect.sleep(300))),
          Effect.repeat({ until: (told) => told.status === 200, times: 20 }),
          Effect.asVoid,
        ),
      ),
    );
    world.after(10_000, () => {
      const core = fleet.machines.get(replaced)!;
      core.process.kill();
      core.disk.wipe();
      core.move();
      world.after(1500, core.start);
    });
    world.after(30_000, () => {
      const lost = [...fleet.machines.values()].filter((machine) => machine.domain === given.domains.at(-1));
      for (const machine of lost) {
        machine.process.kill();
        machine.disk.losePower();
      }
      world.after(4000, () => lost.forEach((machine) => machine.start()));
    });
  };
  const day = runDay({
    given,
    seed,
    workMs: 40_000,
    settleMs: 60_000,
    meanFaultMs: 1000,
    only: [],
    lastFault: false,
    script,
  });

  const ask = (text: string): Rows => {
    const asked = query.parse(text).unwrapOrElse((why) => {
      throw new Error(why);
    });
    let rows: Rows | undefined;
    const asking = Effect.map(
      Effect.suspend(() => clients.ask(clients.front(), 'GET', query.pathOf(asked), undefined, {}, 5000)),
      (told) => {
        if (told.status === 200) rows = query.apply(asked, told.body['rows'] as Rows).rows;
      },
    );
    day.fleet.client(
      'teller',
      asking.pipe(Effect.repeat({ until: () => rows !== undefined, times: 10 }), Effect.asVoid),
    );
    const until = day.world.now() + 20_000;
    while (rows === undefined && day.world.now() < until) day.world.runUntil(day.world.now() + 250);
    return rows ?? [];
  };
  const calendar = (): Rows => ask('moves columns name,state,reason');
  const until = day.world.now() + 60_000;
  let moves = calendar();
  while (moves.some((move) => move['state'] !== 'done') && day.world.now() < until) moves = calendar();
  return {
    day,
    moves,
    told: {
      'steps of the moves': ask('changes where change ~ move/ sort sequence'),
      'the core that was replaced': ask(`changes where change ~ -core/${replaced}/`),
      'the store that took over': ask('changes where change ~ stores-settled/'),
      'weights named': ask('changes where touches = weights'),
      'weights carried out': ask('events where event = weights_loaded most 1000'),
      'who held the calendar': ask('events where event = duty_won and duty = calendar'),
      sequences: ask('sequences'),
      stores: ask('stores'),
    },
  };
};
