import { expect, test } from '@jest/globals';
import { rules } from '../sim/rules.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';

const seeds = [501, 502, 505];
const shaken = { only: undefined, lastFault: undefined, workMs: 9000, settleMs: 25_000, meanFaultMs: 700 };
const tried = new Map<string, number>();

test.each(seeds)('a short day under every kind of fault, and a last one, breaks no rule (seed %i)', (seed) => {
  const day = brokenOnPurpose({ seed, ...shaken });
  expect(day.violations).toEqual([]);
  expect(day.history.length).toBeGreaterThan(3);
  for (const [rule, count] of Object.entries(day.checked)) tried.set(rule, (tried.get(rule) ?? 0) + count);
});

test('in these days every rule was put to the test', () => {
  expect(rules.filter((rule) => !tried.has(rule))).toEqual([]);
});

test('the same seed gives the same day', () => {
  const trace = () => {
    const day = brokenOnPurpose({ seed: 103, workMs: 2500, settleMs: 4000, only: undefined, lastFault: undefined });
    return [...day.history, ...day.fleet.lines].join('\n');
  };
  expect(trace()).toBe(trace());
});
