import { faultKinds, type FleetFaultKind } from './fleetFaultKinds.js';
import { retireStore } from './storeRetirement.js';
import type { VirtualFleet, VirtualMachine } from './virtualFleet.js';
import type { OutsideWorld } from './virtualWorld.js';

/** The faults of one day. */
export type FleetFaults = {
  readonly history: ReadonlyArray<string>;
  /** Whether orders are judged: not just after a thaw or a heal. */
  readonly calm: () => boolean;
  /** Whether a front was undisturbed for as long as it may take to hear of something, and so were the cores. */
  readonly inTouch: (front: string) => boolean;
  readonly acknowledged: (address: string) => void;
  /** Ends all that lasts, and starts what is down. */
  readonly heal: () => void;
  /** The fault that closes the day. */
  readonly close: (kind: FleetFaultKind) => void;
};

type Act = () => string | undefined;

/** What the acts of a fault are made of. */
export type FaultTools = {
  readonly some: () => VirtualMachine;
  readonly withDisk: () => ReadonlyArray<VirtualMachine>;
  readonly span: (low: number, high: number) => number;
  /** Marks machines as troubled for a time, and undoes the trouble after it or when all is healed. */
  readonly lasting: (ms: number, names: ReadonlyArray<string>, end: () => void) => void;
  /** Starts a machine again after a time. */
  readonly down: (machine: VirtualMachine, ms: number) => void;
  /** Lets no fault happen for a time, then has a disk lost. */
  readonly calmThenWipe: (calmMs: number) => void;
};

/** A fault that only some fleets can suffer, and how often it is drawn beside the others. */
export type ExtraFault = { readonly weight: number; readonly act: Act };

const { weights, severalDisksLost, disksLost } = faultKinds;
/** A disk may be lost again only so long after the last one, with every machine up for as long as `catchUpMs`. */
const betweenDisksMs = 9000;
const catchUpMs = 6000;
const thawSlackMs = 450;
/** How long an undisturbed front may take to hear what the cores know. */
const contactMs = 3000;

/** Lets faults happen in a fleet, drawn by the world's seed. */
export const makeFleetFaults = (
  world: OutsideWorld,
  fleet: VirtualFleet,
  clientHosts: () => ReadonlyArray<string>,
  plan: {
    readonly from: number;
    readonly until: number;
    readonly meanMs: number;
    readonly only?: ReadonlyArray<FleetFaultKind>;
    readonly extra?: (tools: FaultTools) => Readonly<Record<string, ExtraFault>>;
    /** How many may happen at the most: the first so many of the seed's. */
    readonly most?: number;
  },
): FleetFaults => {
  const history: string[] = [];
  const undo = new Set<() => void>();
  let disturbedUntil = 0;
  let unwholeAt = 0;
  let diskLostAt = -Infinity;
  let orderedAfterAcknowledgement = 0;
  let healedAt = -Infinity;

  const some = (): VirtualMachine => world.pick(fleet.machines.filter((machine) => machine.running()));
  const withDisk = (): ReadonlyArray<VirtualMachine> =>
    fleet.machines.filter((machine) => machine.role !== 'front' && machine.running());
  const namesOf = (machines: ReadonlyArray<VirtualMachine>): ReadonlyArray<string> => machines.map(({ name }) => name);
  const span = (low: number, high: number): number => world.between(low, high);
  /** When a machine's trouble last began or ended, and until when it lasts. */
  const troubled = new Map<string, { edgeAt: number; until: number }>();
  const touch = (names: ReadonlyArray<string>, until: number): void => {
    for (const name of names)
      troubled.set(name, { edgeAt: world.now(), until: Math.max(until, troubled.get(name)?.until ?? 0) });
  };
  const lasting = (ms: number, names: ReadonlyArray<string>, end: () => void): void => {
    touch(names, world.now() + ms);
    const over = (): void => {
      if (!undo.delete(over)) return;
      touch(names, world.now());
      healedAt = world.now();
      unwholeAt = world.now();
      end();
    };
    undo.add(over);
    disturbedUntil = Math.max(disturbedUntil, world.now() + ms);
    world.schedule(world.outside, ms, over);
  };
  const down = (machine: VirtualMachine, ms: number): void =>
    lasting(ms, [machine.name], () => {
      if (machine.running()) machine.start();
    });
  /** Cuts a machine off from those with disks, or from all others. */
  const isolate = (machine: VirtualMachine, ms: number, how: 'both' | 'out' | 'in'): void => {
    const whole = world.chance() < 0.5;
    const others = fleet.machines.filter((other) => other !== machine && (whole || other.role !== 'front'));
    const pairs = others.flatMap(({ name }): ReadonlyArray<readonly [string, string]> => [
      ...(how === 'in' ? [] : [[machine.name, name] as const]),
      ...(how === 'out' ? [] : [[name, machine.name] as const]),
    ]);
    for (const [from, to] of pairs) fleet.network.cut(from, to);
    lasting(ms, [machine.name], () => pairs.forEach(([from, to]) => fleet.network.join(from, to)));
  };
  const wipe = (machine: VirtualMachine): void => {
    machine.losePower();
    machine.disk.wipe();
    diskLostAt = world.now();
    down(machine, span(200, 2500));
  };

  /** Takes as many disks away at once as may be lost; answers their machines. */
  const wipeTolerated = (): ReadonlyArray<VirtualMachine> => {
    const left = [...withDisk()];
    const chosen = Array.from({ length: fleet.tolerance }, () => {
      const machine = world.pick(left);
      left.splice(left.indexOf(machine), 1);
      return machine;
    });
    chosen.forEach(wipe);
    return chosen;
  };
  const losePower = (machines: ReadonlyArray<VirtualMachine>): void => {
    for (const machine of machines) {
      machine.losePower();
      down(machine, span(300, 2500));
    }
  };

  const acts: Readonly<Record<FleetFaultKind, Act>> = {
    kill: () => {
      const machine = some();
      machine.kill();
      down(machine, span(100, 2500));
      return machine.name;
    },
    powerLoss: () => {
      const machine = some();
      machine.losePower();
      down(machine, span(300, 5000));
      return machine.name;
    },
    freeze: () => {
      const machine = some();
      const process = machine.process();
      process.freeze();
      lasting(span(300, 7000), [machine.name], () => process.thaw());
      return machine.name;
    },
    cutOne: () => {
      const machine = some();
      isolate(machine, span(500, 9000), 'both');
      return machine.name;
    },
    cutOneWay: () => {
      const machine = some();
      const how = world.pick(['in', 'out'] as const);
      isolate(machine, span(500, 9000), how);
      return `${machine.name}, ${how}`;
    },
    cutHalves: () => {
      const all = withDisk();
      const half = all.filter(() => world.chance() < 0.5);
      const pairs = half.flatMap((one) =>
        all.filter((other) => !half.includes(other)).map((other) => [one.name, other.name] as const),
      );
      for (const [one, other] of pairs) {
        fleet.network.cut(one, other);
        fleet.network.cut(other, one);
      }
      lasting(span(500, 6000), namesOf(all), () =>
        pairs.forEach(([one, other]) => {
          fleet.network.join(one, other);
          fleet.network.join(other, one);
        }),
      );
      return half.map((machine) => machine.name).join(' ');
    },
    lostAnswers: () => {
      const machine = world.pick([...fleet.of('core'), ...fleet.of('front')].filter((each) => each.running()));
      const clients = clientHosts();
      for (const client of clients) fleet.network.cut(machine.name, client);
      lasting(span(200, 1500), [], () => clients.forEach((client) => fleet.network.join(machine.name, client)));
      return machine.name;
    },
    reset: () => {
      const machine = some();
      touch([machine.name], world.now());
      return `${machine.name}, ${fleet.network.resetConnections(machine.name, span(0.2, 1))}`;
    },
    slowLink: () => {
      const machine = some();
      fleet.network.slow(machine.name, span(5, 150));
      lasting(span(500, 4000), [machine.name], () => fleet.network.slow(machine.name, 0));
      return machine.name;
    },
    slowDisk: () => {
      const machine = world.pick(withDisk());
      machine.disk.trouble.slowBy = span(5, 60);
      lasting(span(500, 5000), [machine.name], () => (machine.disk.trouble.slowBy = 1));
      return machine.name;
    },
    stalledDisk: () => {
      const machine = world.pick(withDisk());
      machine.disk.trouble.stalled = true;
      lasting(span(300, 4000), [machine.name], () => (machine.disk.trouble.stalled = false));
      return machine.name;
    },
    clockJump: () => {
      const machine = some();
      const ms = Math.round(span(-9000, 9000));
      touch([machine.name], world.now());
      machine.process().wallOffsetMs += ms;
      return `${machine.name}, ${ms} ms`;
    },
    terminate: () => {
      const machine = some();
      void machine.terminate();
      down(machine, 7500);
      return machine.name;
    },
    wipe: () => {
      const machine = world.pick(withDisk());
      wipe(machine);
      return machine.name;
    },
    wipeWhileOthersLosePower: () => {
      const chosen = world.pick(withDisk());
      losePower(withDisk().filter((machine) => machine !== chosen));
      wipe(chosen);
      return chosen.name;
    },
    wipeAllTolerated: () => namesOf(wipeTolerated()).join(' '),
    wipeAllToleratedWhileOthersLosePower: () => {
      const chosen = wipeTolerated();
      losePower(withDisk().filter((machine) => !chosen.includes(machine)));
      return namesOf(chosen).join(' ');
    },
    replaceCore: () => {
      const leaving = world.pick(fleet.of('core').filter((core) => core.running()));
      leaving.leave();
      diskLostAt = world.now();
      const next = fleet.add('core');
      lasting(span(200, 2000), [leaving.name, next.name], () => next.start());
      return `${leaving.name} by ${next.name}`;
    },
    addMachine: () => {
      const machine = fleet.add(world.pick(['store', 'front'] as const));
      touch([machine.name], world.now());
      machine.start();
      return machine.name;
    },
    retireStore: () => {
      const stores = fleet.of('store').filter((store) => store.running());
      const retired = world.pick(stores);
      const thenWipes = world.chance() < 0.5;
      retireStore(world, fleet, retired, () => {
        retired.leave();
        touch([retired.name], world.now());
        note('store was emptied and leaves', retired.name);
        if (!thenWipes || !mayLoseDisk()) return;
        const other = world.pick(fleet.of('store').filter((store) => store.running()));
        wipe(other);
        note('wipe right after it', other.name);
      });
      return retired.name;
    },
    killAll: () => {
      for (const machine of fleet.machines.filter((each) => each.running())) {
        machine.kill();
        down(machine, span(100, 1200));
      }
      return 'every process';
    },
    powerLossOfAll: () => {
      losePower(withDisk());
      return 'every machine with a disk';
    },
    powerLossAfterAcknowledgement: () => {
      orderedAfterAcknowledgement += 1;
      return 'who acknowledges next';
    },
    samplerDeparture: () =>
      fleet.departSampler(Math.floor(world.chance() * fleet.samplers), world.pick(['draining', 'leaving'] as const)),
    samplerCrash: () => fleet.restartSampler(Math.floor(world.chance() * fleet.samplers), span(200, 3000)),
  };
  const note = (kind: string, what: string): void =>
    void history.push(`${(world.now() / 1000).toFixed(3)} ${kind}: ${what}`);
  const mayLoseDisk = (): boolean =>
    world.now() - diskLostAt > betweenDisksMs &&
    undo.size === 0 &&
    world.now() - unwholeAt > (diskLostAt === -Infinity ? 0 : catchUpMs);

  let pausedUntil = -Infinity;
  const calmThenWipe = (calmMs: number): void => {
    pausedUntil = world.now() + calmMs;
    world.schedule(world.outside, calmMs, () => {
      if (world.now() < plan.until && mayLoseDisk()) note('wipe', acts.wipe() ?? '');
    });
  };
  const extra = plan.extra?.({ some, withDisk, span, lasting, down, calmThenWipe }) ?? {};
  const drawn = (Object.keys(weights) as FleetFaultKind[])
    .filter((kind) => !plan.only || plan.only.includes(kind))
    .filter((kind) => fleet.tolerance > 1 || !severalDisksLost.has(kind))
    .map((kind) => ({ kind: kind as string, weight: weights[kind], act: acts[kind] }));
  const kinds = [...drawn, ...Object.entries(extra).map(([kind, each]) => ({ kind, ...each }))];
  const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
  const next = (): void => {
    if (world.now() >= plan.until || history.length >= (plan.most ?? Infinity)) return;
    let place = world.chance() * total;
    const { kind, act } = kinds.find((each) => (place -= each.weight) < 0) ?? kinds[0]!;
    if (world.now() >= pausedUntil && (!disksLost.has(kind) || mayLoseDisk())) {
      const what = act();
      if (what !== undefined) note(kind, what);
    }
    world.schedule(world.outside, -Math.log(1 - world.chance()) * plan.meanMs, next);
  };
  if (kinds.length > 0) world.schedule(world.outside, plan.from - world.now(), next);

  return {
    history,
    calm: () => world.now() - healedAt > thawSlackMs,
    inTouch: (front) => {
      const since = world.now() - contactMs;
      const own = troubled.get(front);
      if (own && (own.edgeAt >= since || own.until >= since)) return false;
      const cores = fleet.of('core').filter((core) => core.running());
      const well = cores.filter((core) => (troubled.get(core.name)?.until ?? 0) < since);
      const settled = cores.every((core) => (troubled.get(core.name)?.edgeAt ?? -Infinity) < since);
      return settled && 2 * well.length > cores.length;
    },
    acknowledged: (address) => {
      if (orderedAfterAcknowledgement === 0) return;
      orderedAfterAcknowledgement -= 1;
      const name = address.split(':')[0]!;
      const machine = fleet.machines.find((each) => each.name === name)!;
      world.schedule(world.outside, world.between(0, 4), () => {
        machine.losePower();
        down(machine, span(300, 3000));
        note('power lost on acknowledgement', name);
      });
    },
    heal: () => {
      for (const over of [...undo]) over();
      fleet.network.heal();
      healedAt = world.now();
      touch(namesOf(fleet.machines), world.now());
      for (const machine of fleet.machines) if (machine.running() && !machine.process().alive()) machine.start();
    },
    close: (kind) => {
      if (disksLost.has(kind) && !mayLoseDisk()) return note(`closing ${kind}`, 'left out: a disk was lost of late');
      note(`closing ${kind}`, acts[kind]() ?? '');
    },
  };
};
