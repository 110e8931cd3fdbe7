import { expect, test } from '@jest/globals';
import { rules } from '../sim/rules.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';

const seeds = [501, 502, 505, 507];
const shaken = { only: undefined, lastFault: undefined, workMs: 9000, settleMs: 25_000, meanFaultMs: 700 };
const tried = new Map<string, number>();
const count = (checked: Readonly<Record<string, number>>): void => {
  for (const [rule, times] of Object.entries(checked)) tried.set(rule, (tried.get(rule) ?? 0) + times);
};

test.each(seeds)('a short day under every kind of fault, and a last one, breaks no rule (seed %i)', (seed) => {
  const day = brokenOnPurpose({ seed, ...shaken });
  expect(day.violations).toEqual([]);
  expect(day.history.length).toBeGreaterThan(3);
  count(day.checked);
});

test('a day on which samplers do no more than leave breaks no rule', () => {
  const day = brokenOnPurpose({ seed: 510, ...shaken, only: ['sampler leaves'], lastFault: false, meanFaultMs: 2500 });
  expect(day.violations).toEqual([]);
  expect(day.faults['sampler leaves']).toBeGreaterThan(1);
  count(day.checked);
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
