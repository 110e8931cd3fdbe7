import type { Trouble } from './faultActs.js';
import type { Machine } from './simFleet.js';

/** How a day may end. */
export type LastFault = 'power lost everywhere' | 'disk lost' | 'machine gone' | 'core cut' | 'seater frozen';

const holderOf = (machines: ReadonlyArray<Machine>): Machine | undefined =>
  machines.find((machine) => machine.node?.context.leases.held().some((duty) => duty.startsWith('seat/')));

/** The last faults; what they take for good stays gone, and all that was acknowledged must still be there. */
export const lastFaults: Readonly<Record<LastFault, (trouble: Trouble) => string>> = {
  'power lost everywhere': ({ world, fleet, restart }) => {
    const disks = [...fleet.machines.values()].filter((each) => each.role === 'core' || each.role === 'store');
    for (const machine of disks) {
      machine.process.kill();
      machine.disk.losePower();
      restart(machine, world.between(100, 2000));
    }
    return 'every core and store';
  },
  'disk lost': ({ world, fleet, disturbed }) => {
    const role = world.chance() < 0.5 ? 'core' : 'store';
    const chosen = [...fleet.machines.values()].filter((each) => each.role === role && each.process.alive());
    const lost = chosen[Math.floor(world.chance() * chosen.length)]!;
    lost.gone = true;
    lost.process.kill();
    lost.disk.wipe();
    disturbed(0);
    return lost.name;
  },
  'machine gone': ({ world, fleet, disturbed }) => {
    const chosen = [...fleet.machines.values()].filter((each) => each.role !== 'sampler' && each.process.alive());
    const lost = chosen[Math.floor(world.chance() * chosen.length)]!;
    lost.gone = true;
    lost.process.kill();
    disturbed(0);
    return lost.name;
  },
  'core cut': ({ world, fleet, lasting }) => {
    const others = [...fleet.machines.values()];
    for (const core of others.filter((each) => each.role === 'core')) {
      for (const other of others) {
        fleet.net.hears(core.name, other.name, false);
        fleet.net.hears(other.name, core.name, false);
      }
    }
    lasting(world.between(3000, 9000), fleet.net.heal);
    return 'every core from everyone';
  },
  'seater frozen': ({ world, fleet, lasting }) => {
    const fronts = [...fleet.machines.values()].filter((each) => each.role === 'front' && each.process.alive());
    const frozen = holderOf(fronts) ?? fronts[0]!;
    frozen.process.freeze();
    lasting(world.between(4000, 12_000), () => frozen.process.thaw(world.chance() < 0.5));
    return frozen.name;
  },
};
