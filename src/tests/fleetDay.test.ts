import { expect, test } from '@jest/globals';
import { runFleetDay, type FleetDay } from '../sim/fleet/fleetDay.js';

const seeds = [5001, 5002, 5003, 5004, 5005, 5006, 5007, 5008];
const large = { cores: 5, stores: 6, fronts: 4, tolerance: 2 };
/** What has to be seen often enough for the checks to mean something. */
const seenOften = { read: 100, accepted: 80, asked: 4000, served: 3500, batchTaken: 60, order: 30, departed: 5 };

test('days of the fleet programs under faults break no promise', async () => {
  const counts: Record<string, number> = {};
  let faults = 0;
  for (const seed of seeds) {
    const day = await runFleetDay({ seed, meanFaultMs: 900, ...(seed % 5 === 0 && { size: large }) });
    expect({ seed, violations: day.violations }).toEqual({ seed, violations: [] });
    for (const [kind, count] of Object.entries(day.counts)) counts[kind] = (counts[kind] ?? 0) + count;
    faults += day.history.length;
  }
  for (const [kind, least] of Object.entries(seenOften))
    expect({ kind, enough: counts[kind]! >= least }).toEqual({ kind, enough: true });
  expect(faults).toBeGreaterThan(50);
});

test('a seed plays the same day again', async () => {
  const told = ({ history, counts, events }: FleetDay): object => ({ history, counts, events });
  const [first, second] = [await runFleetDay({ seed: 5011 }), await runFleetDay({ seed: 5011 })];
  expect(told(second)).toEqual(told(first));
});
