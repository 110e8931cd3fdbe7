import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { budget, type Running } from '../policy/budget.js';

const item = fc.record({
  key: fc.uuid(),
  group: fc.constantFrom('a', 'b', 'c'),
  prompt: fc.integer({ min: 0, max: 1000 }),
  made: fc.integer({ min: 0, max: 1000 }),
  priority: fc.integer({ min: 0, max: 120 }),
  near: fc.boolean(),
});
const cache = fc.integer({ min: 1, max: 20_000 });
const seeded = { seed: 11, numRuns: 500 };
const plainUsage = (running: ReadonlyArray<Running>): number => {
  let sum = 0;
  for (const group of new Set(running.map((each) => each.group)))
    sum += Math.max(...running.filter((each) => each.group === group).map((each) => each.prompt));
  for (const each of running) sum += each.made;
  return sum;
};

describe('a sampler’s budget', () => {
  test('counts a group’s prompt once', () => {
    fc.assert(
      fc.property(fc.array(item), (running) => expect(budget.usage(running)).toBe(plainUsage(running))),
      seeded,
    );
  });
  test('admits only what fits, and one where nothing runs', () => {
    fc.assert(
      fc.property(cache, fc.array(item), fc.integer({ min: 1, max: 3000 }), (size, running, footprint) => {
        const count = budget.fits(size, running, footprint);
        const over = plainUsage(running) + count * footprint > size * 0.9;
        if (running.length > 0) expect(over && count > 0).toBe(false);
        else expect(count).toBeGreaterThanOrEqual(1);
        if (running.length > 0) expect(plainUsage(running) + (count + 1) * footprint > size * 0.9).toBe(true);
      }),
      seeded,
    );
  });
  test('pauses the lowest while too much is held, nearly complete groups last, never the only one', () => {
    fc.assert(
      fc.property(cache, fc.array(item, { maxLength: 12 }), (size, running) => {
        const lowest = budget.victim(size, running);
        const over = running.length > 1 && plainUsage(running) > size * 0.9;
        expect(lowest !== undefined).toBe(over);
        if (!lowest) return;
        const others = running.filter((each) => each.near === lowest.near);
        expect(lowest.near && running.some((each) => !each.near)).toBe(false);
        expect(lowest.priority).toBe(Math.min(...others.map((each) => each.priority)));
      }),
      seeded,
    );
  });
  test('a cache whose size is not known holds anything', () => {
    expect(budget.fits(0, [], 5)).toBe(Infinity);
    expect(budget.victim(0, [])).toBeUndefined();
  });
});
