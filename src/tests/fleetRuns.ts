import { runFleetDay, type FleetDay, type FleetDayOptions } from '../sim/fleet/fleetDay.js';
import type { VirtualFleet, VirtualMachine } from '../sim/fleet/virtualFleet.js';
import type { VirtualWorld } from '../sim/fleet/virtualWorld.js';

/** Days of the fleet programs on which a script, and nothing else, goes wrong. */
export const fleetRuns = {
  scripted: (seed: number, script: FleetDayOptions['script'], more: Partial<FleetDayOptions> = {}): Promise<FleetDay> =>
    runFleetDay({
      seed,
      workMs: 10_000,
      settleMs: 10_000,
      only: [],
      closing: false,
      ...(script && { script }),
      ...more,
    }),
  rulesOf: (day: FleetDay): ReadonlyArray<string> => [...new Set(day.violations.map(({ rule }) => rule))],
  /** Cuts machines off from all others, both ways, until the network is healed. */
  cutOff: (fleet: VirtualFleet, some: ReadonlyArray<VirtualMachine>): void => {
    for (const one of some)
      for (const other of fleet.machines) {
        if (some.includes(other)) continue;
        fleet.network.cut(one.name, other.name);
        fleet.network.cut(other.name, one.name);
      }
  },
  at: (world: VirtualWorld, ms: number, run: () => void): void => void world.schedule(world.outside, ms, run),
  /** Takes a machine's disk away and starts it anew a little later. */
  wipe: (world: VirtualWorld, machine: VirtualMachine, downMs = 500): void => {
    machine.losePower();
    machine.disk.wipe();
    world.schedule(world.outside, downMs, machine.start);
  },
  losePower: (world: VirtualWorld, machines: ReadonlyArray<VirtualMachine>, downMs = 800): void => {
    for (const machine of machines) {
      machine.losePower();
      world.schedule(world.outside, downMs, machine.start);
    }
  },
};
