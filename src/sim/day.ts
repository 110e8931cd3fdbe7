import { Effect } from 'effect';
import { deployment, type Deployment } from '../dev/deployment.js';
import type { Settings } from '../shared/settings.js';
import { makeClients, type Clients, type Seen } from './clients.js';
import type { FaultKind } from './faultActs.js';
import { makeFaults, type Faults } from './faults.js';
import type { LastFault } from './lastFaults.js';
import { judge, type Final, type Violation } from './oracle.js';
import { readFinal } from './readFinal.js';
import { startSimFleet, type SimFleet } from './simFleet.js';
import { makeWorld, type World } from './world.js';

/** What a simulated day came to. */
export type Day = {
  readonly seed: number;
  readonly violations: ReadonlyArray<Violation>;
  readonly checked: Readonly<Record<string, number>>;
  readonly faults: Readonly<Record<string, number>>;
  readonly history: ReadonlyArray<string>;
  readonly seen: ReadonlyArray<Seen>;
  readonly fleet: SimFleet;
  readonly world: World;
};

/** How a day is laid out. */
export type DayOptions = {
  readonly seed: number;
  readonly given: Deployment;
  readonly workMs: number;
  readonly settleMs: number;
  readonly meanFaultMs: number;
  readonly only?: ReadonlyArray<FaultKind>;
  /** How many faults may happen, of those that the seed draws. */
  readonly mostFaults?: number;
  /** What happens last; drawn by the seed when it is not named. */
  readonly lastFault?: LastFault | false;
  readonly settings?: Partial<Settings>;
  /** Who is there: everyone, or callers alone or nobody, for a script that brings its own. */
  readonly crowd?: 'everyone' | 'callers' | 'nobody';
  /** Called once the fleet serves, for what a test brings about itself. */
  readonly script?: (world: World, fleet: SimFleet, clients: Clients) => void;
};

const bootMs = 40_000;
const leastRestMs = { shaken: 8000, unshaken: 3500 };
const lastKinds: ReadonlyArray<LastFault> = [
  'power lost everywhere',
  'disk lost',
  'machine gone',
  'core cut',
  'seater frozen',
];

/** Lets the fleet rest until every accepted lot has come to its end and no stream is open. */
const settle = (
  world: World,
  fleet: SimFleet,
  clients: Clients,
  seen: ReadonlyArray<Seen>,
  last: number,
  restMs: number,
): void => {
  const from = world.now();
  fleet.client('last step', clients.lastStep);
  let open = Infinity;
  fleet.client(
    'watcher',
    Effect.gen(function* () {
      while (world.now() < last) {
        const ids = seen.filter((each) => each.kind === 'lot-told' && each['status'] === 201).map((each) => each['id']);
        const states = yield* Effect.forEach(new Set(ids), (id) =>
          Effect.map(clients.ask(clients.front(), 'GET', `/foxdeck/lots/${String(id)}`, undefined, {}, 2000), (told) =>
            told.status === 200 ? told.body['state'] : 'open',
          ),
        );
        open = states.filter((state) => state === 'open').length;
        yield* Effect.sleep(1000);
      }
    }),
  );
  while (world.now() < last && (world.now() < from + restMs || open > 0 || clients.following.count > 0)) {
    world.runUntil(world.now() + 250);
  }
};

/** Runs a day: boot, work under faults, a last fault, rest, and a read of all that was acknowledged. */
export const runDay = (options: DayOptions): Day => {
  const world = makeWorld(options.seed);
  const given: Deployment = {
    ...options.given,
    samplers: [
      ...options.given.samplers,
      { service: 'other', kind: 'plain', count: 2, budget: 0, pieceMs: 10, loadMs: 0 },
    ],
  };
  const fleet = startSimFleet(world, given, options.settings);
  const seen: Seen[] = [];
  let stopAt = Infinity;
  const waiting: { faults: Faults | undefined } = { faults: undefined };
  const clients = makeClients(
    world,
    fleet,
    seen,
    () => stopAt,
    (each) => waiting.faults?.acknowledged(each),
  );
  const violations: Violation[] = [];

  let booted = false;
  fleet.client(
    'founder',
    Effect.gen(function* () {
      const document = {
        ...deployment.change(given),
        services: { ...given.change.services, other: { kind: 'plain' } },
      };
      while (!booted) {
        yield* Effect.sleep(500);
        const told = yield* clients.change(document);
        booted = told.status === 200;
      }
    }),
  );
  while (!booted && world.now() < bootMs) world.runUntil(world.now() + 250);
  if (!booted) violations.push({ rule: 'a fresh fleet comes to serve', what: 'the first configuration was not taken' });

  const from = world.now() + 500;
  stopAt = from + options.workMs;
  if (options.crowd === undefined || options.crowd === 'everyone') {
    for (const name of ['operator-a', 'operator-b']) fleet.client(name, clients.operator(name));
    const racing = Effect.zipRight(Effect.sleep(options.workMs / 3), clients.operate('race', ''));
    fleet.client('racers', Effect.repeatN(racing, 1));
    for (const name of ['trainer-a', 'trainer-b']) fleet.client(name, clients.trainer(name));
  }
  if (options.crowd !== 'nobody')
    for (const name of ['caller-a', 'caller-b', 'caller-c']) fleet.client(name, clients.ordinary(name));
  fleet.client('followers', clients.followers);
  fleet.client('sequences', clients.sequences);
  options.script?.(world, fleet, clients);
  const faults = makeFaults(world, fleet, {
    from,
    until: stopAt,
    meanMs: options.meanFaultMs,
    operate: clients.operate,
    ...(options.mostFaults === undefined ? {} : { most: options.mostFaults }),
    ...(options.only ? { only: options.only } : {}),
  });
  waiting.faults = faults;
  world.runUntil(stopAt);
  faults.heal();
  if (options.lastFault !== false) {
    const wanted = options.lastFault ?? lastKinds[options.seed % lastKinds.length]!;
    const loses = wanted === 'disk lost' || wanted === 'machine gone';
    faults.last(loses && !fleet.whole() ? 'power lost everywhere' : wanted);
  }
  const restMs = options.lastFault === false ? leastRestMs.unshaken : leastRestMs.shaken;
  settle(world, fleet, clients, seen, stopAt + options.settleMs, restMs);

  let final: Final | undefined;
  fleet.client(
    'reader',
    Effect.map(readFinal(clients, seen), (read) => {
      final = read;
    }),
  );
  const readUntil = world.now() + 120_000;
  while (final === undefined && world.now() < readUntil) world.runUntil(world.now() + 500);
  if (!final) violations.push({ rule: 'what was acknowledged can be read', what: 'the last read did not end' });
  const judged = final
    ? judge(seen, fleet.sights, final, options.script ? () => false : faults.calm)
    : { violations: [], checked: {} };
  return {
    seed: options.seed,
    violations: [...violations, ...judged.violations],
    checked: judged.checked,
    faults: Object.fromEntries(faults.counts),
    history: faults.history,
    seen,
    fleet,
    world,
  };
};
