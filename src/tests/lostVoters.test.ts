import { expect, test } from '@jest/globals';
import type { FleetDayOptions } from '../sim/fleet/fleetDay.js';
import type { VirtualMachine } from '../sim/fleet/virtualFleet.js';
import { fleetRuns } from './fleetRuns.js';

const { at, rulesOf, scripted, wipe } = fleetRuns;
const tolerance = 2;
const settledMs = 2000;
const unreadable = 'the newest version can be read';
const sizeWith = (cores: number) => ({ cores, stores: 5, tolerance });
const wipeAtOnce =
  (count: number): FleetDayOptions['script'] =>
  (world, fleet) =>
    at(world, settledMs, () => {
      for (const core of fleet.of('core').slice(0, count)) wipe(world, core);
    });

// Guards against a configuration log that ends when as many disks are lost as may be lost.
test.each([1, 2, 3, 4])('five voters bear the loss of two disks at once, seed %i', async (seed) => {
  const day = await scripted(seed, wipeAtOnce(tolerance), { size: sizeWith(5) });
  expect(day.violations).toEqual([]);
});

test('the checker finds that four voters do not bear it', async () => {
  const day = await scripted(1, wipeAtOnce(tolerance), { size: sizeWith(4) });
  expect(rulesOf(day)).toContain(unreadable);
});

test('the checker finds that five voters do not bear it when one of them left without a successor', async () => {
  const leaveThenWipe: FleetDayOptions['script'] = (world, fleet) => {
    const [leaving, ...others] = fleet.of('core') as [VirtualMachine, ...VirtualMachine[]];
    leaving.leave();
    at(world, settledMs, () => others.slice(0, tolerance).forEach((core) => wipe(world, core)));
  };
  const day = await scripted(1, leaveThenWipe, { size: sizeWith(5) });
  expect(rulesOf(day)).toContain(unreadable);
});
