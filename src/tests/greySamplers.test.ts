import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import { greyFront } from './greyFront.js';

beforeEach(() => {
  jest.useFakeTimers({ now: 1000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
});
afterEach(() => {
  jest.useRealTimers();
});

describe.each(['reset', '500', '503'] as const)('a sampler that answers part of its calls by %s', (way) => {
  test.each([1, 2, 3])('gets fewer of them, and every request is answered whole (seed %i)', (seed) => {
    const { run, done } = greyFront(seed, way);
    const well = run(10_000, 10, 0);
    const poor = run(10_000, 10, 0.4);
    expect(well).toBeGreaterThan(0.2);
    expect(poor).toBeLessThan(well / 2);
    const outcomes = done();
    expect(outcomes.filter((each) => each?.kind !== 'answered' || each.status !== 200)).toEqual([]);
    expect(outcomes.length).toBe(2000);
  });
});
