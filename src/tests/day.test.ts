import { expect, test } from '@jest/globals';
import { brokenOnPurpose } from './brokenOnPurpose.js';

const seeds = [101, 102];

test.each(seeds)('a short day under every kind of fault, and a last one, breaks no rule (seed %i)', (seed) => {
  const day = brokenOnPurpose({ seed, only: undefined, lastFault: undefined, settleMs: 25_000, meanFaultMs: 900 });
  expect(day.violations).toEqual([]);
  expect(day.history.length).toBeGreaterThan(3);
  expect(Object.values(day.checked).reduce((sum, count) => sum + count, 0)).toBeGreaterThan(200);
});

test('the same seed gives the same day', () => {
  const trace = () => {
    const day = brokenOnPurpose({ seed: 103, workMs: 2500, settleMs: 4000, only: undefined, lastFault: undefined });
    return [...day.history, ...day.fleet.lines].join('\n');
  };
  expect(trace()).toBe(trace());
});
