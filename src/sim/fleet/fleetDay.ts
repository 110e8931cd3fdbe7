import { fleetCheckers, type FleetViolation } from './fleetCheckers.js';
import { makeFleetClients } from './fleetClients.js';
import type { FleetFaultKind } from './fleetFaultKinds.js';
import { makeFleetFaults, type FleetFaults } from './fleetFaults.js';
import { fleetKeys } from './fleetKeys.js';
import type { Observation } from './observations.js';
import { startVirtualFleet, type FleetSize, type VirtualFleet } from './virtualFleet.js';
import { makeVirtualWorld, type VirtualWorld } from './virtualWorld.js';

/** A day of the fleet programs, decided by its seed. */
export type FleetDayOptions = {
  readonly seed: number;
  readonly size?: Partial<FleetSize>;
  readonly workMs?: number;
  /** How long the fleet may rest after it was healed. */
  readonly settleMs?: number;
  readonly meanFaultMs?: number;
  readonly only?: ReadonlyArray<FleetFaultKind>;
  /** How many faults may happen, of those that the seed draws. */
  readonly mostFaults?: number;
  /** What happens last; drawn by the seed where it is not named. */
  readonly closing?: FleetFaultKind | false;
  /** Whether a machine whose disk was lost comes back under its old disk's identity, as a test of checkers does. */
  readonly keepsDiskIdentity?: boolean;
  /** What a test brings about itself while the machines start. */
  readonly startScript?: (world: VirtualWorld, fleet: VirtualFleet) => void;
  /** What a test brings about itself, called when the work begins. */
  readonly script?: (world: VirtualWorld, fleet: VirtualFleet) => void;
};

/** What came of a day. */
export type FleetDay = {
  readonly seed: number;
  readonly violations: ReadonlyArray<FleetViolation>;
  readonly history: ReadonlyArray<string>;
  readonly counts: Readonly<Record<string, number>>;
  readonly lines: ReadonlyArray<string>;
  readonly seen: ReadonlyArray<Observation>;
  readonly virtualMs: number;
  readonly events: number;
};

const defaultSize: FleetSize = {
  cores: 3,
  stores: 4,
  fronts: 3,
  textSamplers: 3,
  plainSamplers: 2,
  zones: 3,
  tolerance: 1,
};
const bootMs = 4000;
const settleMs = 22_000;
/** Requests sent this long before the end of the settling have to be served. */
const servedMs = 3000;
const servedLeast = 0.8;
const closings: ReadonlyArray<FleetFaultKind> = [
  'killAll',
  'powerLossOfAll',
  'wipe',
  'wipeWhileOthersLosePower',
  'cutHalves',
];
/** With a tolerance above one, as many disks as it allows may be lost at once. */
const severeClosings: ReadonlyArray<FleetFaultKind> = ['wipeAllTolerated', 'wipeAllToleratedWhileOthersLosePower'];

const served = (seen: ReadonlyArray<Observation>, from: number): ReadonlyArray<FleetViolation> => {
  const late = fleetCheckers.proper(seen).filter((each) => each.sentAt >= from);
  const good = late.filter((each) => each.status === 200).length;
  if (late.length > 0 && good >= servedLeast * late.length) return [];
  return [{ rule: 'a fleet that was healed serves again', what: `${good} of ${late.length} requests at the end` }];
};

const keysKept = (fleet: VirtualFleet): ReadonlyArray<FleetViolation> => [
  ...fleet.machines.flatMap(({ name, disk }) =>
    disk.holding(fleetKeys.prefix).map((path) => ({ rule: 'no key stands on a disk', what: `${name}: ${path}` })),
  ),
  ...fleet.lines
    .filter((line) => line.includes(fleetKeys.prefix))
    .map((line) => ({ rule: 'no key stands in a log', what: line.slice(0, 120) })),
];

/** Plays a day: start, work under faults, a closing fault, rest, and a read of what was acknowledged. */
export const runFleetDay = async (options: FleetDayOptions): Promise<FleetDay> => {
  const world = makeVirtualWorld(options.seed);
  try {
    const size = { ...defaultSize, ...options.size };
    const seen: Observation[] = [];
    const saw = (observation: Observation): void => void seen.push(observation);
    const waiting: { faults?: FleetFaults } = {};
    const fleet = startVirtualFleet(world, size, saw, {
      calm: () => waiting.faults?.calm() ?? true,
      inTouch: (front) => waiting.faults?.inTouch(front) ?? true,
      keepsDiskIdentity: options.keepsDiskIdentity === true,
    });
    options.startScript?.(world, fleet);
    const workEnd = bootMs + (options.workMs ?? 18_000);
    const restEnd = workEnd + (options.settleMs ?? settleMs);
    let over = false;
    const marks: string[] = [];
    const clientsOptions = { world, fleet, saw, until: restEnd - 500, marks };
    const acknowledged = (address: string): void => waiting.faults?.acknowledged(address);
    const clients = makeFleetClients({ ...clientsOptions, over: () => over, acknowledged });
    const callers = makeFleetClients({ ...clientsOptions, over: () => world.now() > restEnd, acknowledged });
    world.schedule(world.outside, 1500, () => {
      clients.operator('operator-1');
      clients.operator('operator-2');
    });
    await world.runUntil(bootMs);
    for (const name of ['trainer-1', 'trainer-2']) clients.trainer(name);
    for (const name of ['caller-1', 'caller-2', 'caller-3']) callers.caller(name);
    options.script?.(world, fleet);
    const faults = makeFleetFaults(world, fleet, () => [...clients.hosts(), ...callers.hosts()], {
      from: bootMs,
      until: workEnd - 1500,
      meanMs: options.meanFaultMs ?? 1400,
      ...(options.only && { only: options.only }),
      ...(options.mostFaults !== undefined && { most: options.mostFaults }),
    });
    waiting.faults = faults;
    await world.runUntil(workEnd);
    over = true;
    if (options.closing !== false)
      faults.close(options.closing ?? world.pick(size.tolerance > 1 ? [...closings, ...severeClosings] : closings));
    await world.runUntil(workEnd + 3000);
    faults.heal();
    await world.runUntil(restEnd - 4000);
    let final: number | undefined;
    void clients.readFinal(restEnd).then((version) => (final = version));
    await world.runUntil(restEnd + 200);
    const violations = [
      ...fleetCheckers.all(seen, true),
      ...served(seen, restEnd - servedMs),
      ...keysKept(fleet),
      ...(final === undefined ? [{ rule: 'the newest version can be read', what: 'no core told it' }] : []),
      ...world.crashes.map(({ process, reason }) => ({ rule: 'nothing is thrown', what: `${process}: ${reason}` })),
      ...fleet.exits.map((what) => ({ rule: 'processes do not end by themselves', what })),
    ];
    const counts: Record<string, number> = {};
    for (const each of seen) counts[each.kind] = (counts[each.kind] ?? 0) + 1;
    counts['served'] = fleetCheckers.of(seen, 'asked').filter((each) => each.status === 200).length;
    counts['accepted'] = fleetCheckers.of(seen, 'declared').filter((each) => each.status === 200).length;
    return {
      seed: options.seed,
      violations,
      history: faults.history,
      counts,
      lines: fleet.lines,
      seen,
      virtualMs: world.now(),
      events: world.events(),
    };
  } finally {
    world.close();
  }
};
