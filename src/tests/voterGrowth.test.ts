import { expect, test } from '@jest/globals';
import { fleetCheckers } from '../sim/fleet/fleetCheckers.js';
import type { FleetDay } from '../sim/fleet/fleetDay.js';
import { fleetRuns } from './fleetRuns.js';

const { at, cutOff, scripted } = fleetRuns;
const lateMs = 3000;
const founders = 3;
const tolerance = 2;
const dayMs = 14_000;
const acknowledgedAt = (day: FleetDay): ReadonlyArray<number> =>
  fleetCheckers
    .of(day.seen, 'declared')
    .filter(({ status }) => status === 200)
    .map((declared) => declared.at);

// Guards against a change that is acknowledged while fewer voters hold it than the promised losses need.
test.each([1, 2, 3])('nothing is acknowledged before the voters are enough, seed %i', async (seed) => {
  const day = await scripted(seed, undefined, {
    size: { cores: 5, stores: 5, tolerance },
    startScript: (world, fleet) => {
      cutOff(fleet, fleet.of('core').slice(founders));
      at(world, lateMs, fleet.network.heal);
    },
  });
  expect(day.violations).toEqual([]);
  const times = acknowledgedAt(day);
  expect(times.length).toBeGreaterThan(10);
  expect(Math.min(...times)).toBeGreaterThan(lateMs);
});

test('a deployment that has fewer cores is not held up for ever, and says so in the log', async () => {
  const day = await scripted(1, undefined, { size: { cores: founders, stores: 5, tolerance }, workMs: dayMs });
  expect(day.violations).toEqual([]);
  expect(acknowledgedAt(day).length).toBeGreaterThan(10);
  expect(day.lines.filter((line) => line.includes('event=too_few_machines role=core')).length).toBe(1);
});
