import type { Effect } from 'effect';
import type { Http } from '../shared/http.js';
import type { Machine, MachineRole, SimFleet } from './simFleet.js';
import type { World } from './world.js';

const weights = [
  ['kill', 6],
  ['power loss', 3],
  ['freeze', 3],
  ['machine sleep', 2],
  ['holder frozen', 3],
  ['cut off', 3],
  ['one-way cut', 3],
  ['core cut', 2],
  ['whole core cut', 1],
  ['domain lost', 1],
  ['slow disk', 2],
  ['stalled disk', 2],
  ['full disk', 1],
  ['all restart', 1],
  ['power lost on acknowledgement', 2],
  ['empty disk', 2],
  ['empty at a new address', 2],
  ['corrupt file', 1],
  ['file gone', 1],
  ['store swapped', 1],
  ['voter swapped', 1],
  ['front joins', 1],
  ['operators race', 2],
  ['sampler crash', 4],
  ['sampler gone', 1],
  ['sampler dark', 2],
  ['sampler slow', 1],
  ['sampler cache drop', 3],
  ['sampler leaves', 3],
  ['samplers replaced', 1],
  ['sampler truncates', 2],
  ['late kvUsed', 2],
  ['hidden load', 1],
] as const;

/** Faults, and what operators do on a bad day. */
export type FaultKind = (typeof weights)[number][0];

/** What a fault has to work with. */
export type Trouble = {
  readonly world: World;
  readonly fleet: SimFleet;
  /** Has operators do something: swap a store or a voter, or race each other. */
  readonly operate: (what: 'store' | 'voter' | 'race', machine: string) => Effect.Effect<void, never, Http>;
  readonly lasting: (ms: number, end: () => void) => void;
  readonly restart: (machine: Machine, downMs: number) => void;
  readonly disturbed: (ms: number) => void;
  /** Whether one more disk may be lost or damaged by the single-loss rule. */
  readonly mayDamage: () => boolean;
  readonly armed: { count: number };
};

const acts = (
  trouble: Trouble,
): Readonly<Record<FaultKind, () => string | undefined>> & { readonly onAcknowledged: () => string } => {
  const { world, fleet, lasting, restart, disturbed, mayDamage } = trouble;
  const of = (...roles: ReadonlyArray<MachineRole>): ReadonlyArray<Machine> =>
    [...fleet.machines.values()].filter((machine) => roles.includes(machine.role) && !machine.gone);
  const nodes = () => of('core', 'store', 'front');
  const pick = <A>(from: ReadonlyArray<A>): A => from[Math.floor(world.chance() * from.length)]!;
  const cut = (some: ReadonlyArray<Machine>, others: ReadonlyArray<Machine>, both: boolean): void => {
    const each = (heard: boolean, back: boolean): void => {
      for (const one of some) {
        for (const other of others) {
          if (one === other) continue;
          fleet.net.hears(one.name, other.name, heard);
          if (back) fleet.net.hears(other.name, one.name, heard);
        }
      }
    };
    each(false, both);
    lasting(world.between(500, 9000), () => each(true, true));
  };
  const frozen = (machine: Machine, slept: boolean, low: number): string => {
    machine.process.freeze();
    lasting(world.between(low, 9000), () => machine.process.thaw(slept));
    return machine.name;
  };
  const withDisk = (spoil: (machine: Machine) => void, ms: number, mend: (machine: Machine) => void): string => {
    const machine = pick(of('core', 'store'));
    spoil(machine);
    lasting(world.between(500, ms), () => mend(machine));
    return machine.name;
  };
  const withSampler = (change: (machine: Machine) => (() => void) | undefined, ms: number): string | undefined => {
    const machine = pick(of('sampler'));
    if (!machine.standIn || !machine.process.alive()) return undefined;
    const back = change(machine);
    if (back) lasting(world.between(1000, ms), back);
    return machine.name;
  };
  const leave = (machine: Machine): void => {
    if (!machine.standIn || !machine.process.alive()) return;
    machine.process.fork(machine.standIn.leave);
    world.after(world.between(3000, 6000), () => {
      if (!machine.gone) restart(machine, world.between(100, 1500));
    });
  };
  const emptied = (move: boolean): string | undefined => {
    const alive = of('core', 'store').filter((each) => each.process.alive());
    if (alive.length === 0 || !mayDamage()) return undefined;
    const machine = pick(alive);
    machine.process.kill();
    machine.disk.wipe();
    if (move) machine.move();
    restart(machine, world.between(100, 4000));
    return machine.name;
  };
  const spoilt = (spoil: (machine: Machine) => string | undefined): string | undefined => {
    if (!mayDamage()) return undefined;
    const machine = pick(of('core', 'store'));
    machine.process.kill();
    const path = spoil(machine);
    restart(machine, world.between(100, 2000));
    return path && `${machine.name} ${path}`;
  };
  const operators = (what: 'store' | 'voter' | 'race', machine: string): void =>
    fleet.client(`operator-${what}-${world.now()}`, trouble.operate(what, machine));

  return {
    kill: () => {
      const machine = pick(nodes());
      restart(machine, world.between(100, 6000));
      return machine.name;
    },
    'power loss': () => {
      const machine = pick(of('core', 'store'));
      machine.process.kill();
      const lost = machine.disk.losePower();
      restart(machine, world.between(100, 4000));
      return `${machine.name} lost ${lost}`;
    },
    freeze: () => frozen(pick(nodes()), false, 300),
    'machine sleep': () => frozen(pick(nodes()), true, 300),
    'holder frozen': () => {
      const holder = pick(
        of('front').filter((each) => each.process.alive() && each.node?.context.leases.held().length),
      );
      return holder && `${holder.node!.context.leases.held().join()} at ${frozen(holder, world.chance() < 0.5, 2600)}`;
    },
    'cut off': () => {
      const machine = pick(nodes());
      cut([machine], nodes(), true);
      return machine.name;
    },
    'one-way cut': () => {
      const machine = pick(nodes());
      cut([machine], nodes(), false);
      return machine.name;
    },
    'core cut': () => {
      const cores = of('core');
      const place = 1 + Math.floor(world.chance() * (cores.length - 1));
      cut(cores.slice(0, place), cores.slice(place), true);
      return `${place} of ${cores.length}`;
    },
    'whole core cut': () => {
      cut(of('core'), nodes(), true);
      return 'every core from everyone';
    },
    'domain lost': () => {
      const domain = pick(fleet.given.domains);
      for (const machine of [...nodes(), ...of('sampler')].filter((each) => each.domain === domain)) {
        machine.process.kill();
        machine.disk.losePower();
        restart(machine, world.between(1000, 6000));
      }
      return domain;
    },
    'slow disk': () =>
      withDisk(
        (machine) => void (machine.disk.trouble.slowBy = world.between(20, 400)),
        9000,
        (machine) => void (machine.disk.trouble.slowBy = 1),
      ),
    'stalled disk': () =>
      withDisk(
        (machine) => void (machine.disk.trouble.stalled = true),
        7000,
        (machine) => void (machine.disk.trouble.stalled = false),
      ),
    'full disk': () =>
      withDisk(
        (machine) => void (machine.disk.trouble.full = true),
        7000,
        (machine) => void (machine.disk.trouble.full = false),
      ),
    'all restart': () => {
      for (const machine of nodes()) restart(machine, world.between(50, 1500));
      return 'whole fleet';
    },
    'power lost on acknowledgement': () => {
      trouble.armed.count += 1;
      return undefined;
    },
    onAcknowledged: () => {
      const alive = of('core', 'store').filter((each) => each.process.alive());
      const machine = pick(alive.length > 0 ? alive : of('core', 'store'));
      const lostDisk = mayDamage();
      world.after(world.between(0, 3), () => {
        machine.process.kill();
        if (lostDisk) machine.disk.wipe();
        else machine.disk.losePower();
        restart(machine, world.between(100, 4000));
      });
      return `${machine.name} ${lostDisk ? 'with its disk' : ''}`;
    },
    'empty disk': () => emptied(false),
    'empty at a new address': () => emptied(true),
    'corrupt file': () => spoilt((machine) => machine.disk.corrupt()),
    'file gone': () => spoilt((machine) => machine.disk.lose()),
    'store swapped': () => {
      if (!fleet.whole()) return undefined;
      const spare = [...fleet.machines.values()].filter((each) => each.role === 'store').length > fleet.given.stores;
      if (!spare) fleet.join('store');
      const retired = pick(of('store')).name;
      operators('store', retired);
      return retired;
    },
    'voter swapped': () => {
      if (!fleet.whole()) return undefined;
      const spare = [...fleet.machines.values()].filter((each) => each.role === 'core').length > fleet.given.cores;
      if (!spare) fleet.join('core');
      const retired = pick(of('core')).name;
      operators('voter', retired);
      return retired;
    },
    'front joins': () => {
      if (of('front').length > fleet.given.fronts + 1) return undefined;
      return fleet.join('front').name;
    },
    'operators race': () => {
      operators('race', '');
      return 'two documents on one sequence';
    },
    'sampler crash': () => {
      const machine = pick(of('sampler'));
      restart(machine, world.between(300, 8000));
      return machine.name;
    },
    'sampler gone': () => {
      const machine = pick(of('sampler'));
      if (of('sampler').filter((each) => each.service === machine.service).length <= 2) return undefined;
      machine.gone = true;
      machine.process.kill();
      disturbed(1000);
      return machine.name;
    },
    'sampler dark': () =>
      withSampler((machine) => {
        machine.standIn!.switches.dark = true;
        machine.standIn!.dropCache();
        return () => void (machine.standIn!.switches.dark = false);
      }, 9000),
    'sampler slow': () =>
      withSampler((machine) => {
        machine.standIn!.switches.slowBy = world.between(2, 20);
        return () => void (machine.standIn!.switches.slowBy = 1);
      }, 9000),
    'sampler cache drop': () =>
      withSampler((machine) => {
        machine.standIn!.dropCache();
        return undefined;
      }, 0),
    'sampler leaves': () => {
      const machine = pick(of('sampler'));
      if (!machine.standIn || !machine.process.alive()) return undefined;
      leave(machine);
      return machine.name;
    },
    'samplers replaced': () => {
      const service = pick(of('sampler')).service;
      const all = of('sampler').filter((each) => each.service === service);
      all.forEach((machine, place) => world.after(1500 * place, () => leave(machine)));
      disturbed(1500 * all.length);
      return `${service}, ${all.length} of them`;
    },
    'sampler truncates': () =>
      withSampler((machine) => {
        machine.standIn!.switches.truncate = 1 + Math.floor(world.chance() * 8);
        return () => void (machine.standIn!.switches.truncate = 0);
      }, 4000),
    'late kvUsed': () =>
      withSampler((machine) => {
        machine.standIn!.switches.lateMs = world.between(2500, 10_000);
        return () => void (machine.standIn!.switches.lateMs = 0);
      }, 9000),
    'hidden load': () =>
      withSampler((machine) => {
        machine.standIn!.switches.hidden = Math.floor(world.between(200, 2500));
        return () => void (machine.standIn!.switches.hidden = 0);
      }, 9000),
  };
};

/** What each kind of fault does, and how often it is drawn against the others. */
export const faultActs = Object.assign(acts, { weights });
