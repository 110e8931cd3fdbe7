import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import { makeLoadPermits, type LoadWish } from '../fleet/core/loadPermits.js';

const atOnce = 2;
const underMs = 1800;

beforeEach(() => {
  jest.useFakeTimers({ now: 100_000 });
});
afterEach(() => {
  jest.useRealTimers();
});
const now = (): number => Date.now();

describe('a core’s permits', () => {
  const wish = (sampler: string, more: Partial<LoadWish> = {}): LoadWish => ({
    sampler,
    model: 'm',
    version: 2,
    items: 1,
    leftMs: 10_000,
    runMs: 100,
    slots: 4,
    samplers: 6,
    models: 3,
    ...more,
  });
  const step = fc.record({
    kind: fc.constantFrom('ask', 'ask', 'ask', 'done', 'wait'),
    sampler: fc.constantFrom('s1', 's2', 's3', 's4', 's5'),
    version: fc.integer({ min: 2, max: 3 }),
    items: fc.constantFrom(1, 100, 400),
    ms: fc.constantFrom(100, 700, 1900),
  });
  test('let few load at once, and no more of them than the waiting work needs', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const permits = makeLoadPermits(now);
        const under = new Map<string, number>();
        const ever = new Map<number, Set<string>>([2, 3].map((version) => [version, new Set()]));
        for (const { kind, sampler, version, items, ms } of steps) {
          if (kind === 'wait') jest.advanceTimersByTime(ms);
          if (kind === 'done') {
            permits.done({ sampler, model: 'm', version });
            under.delete(sampler);
          }
          if (kind !== 'ask') continue;
          for (const [id, at] of under) if (now() - at >= underMs) under.delete(id);
          const before = ever.get(version)!;
          const others = [...under.keys()].filter((id) => id !== sampler).length;
          const wants = Math.max(2, Math.ceil((items * 100) / (4 * 4000)));
          const { granted } = permits.ask(wish(sampler, { version, items }));
          expect(granted).toBe((others < atOnce || under.has(sampler)) && (before.has(sampler) || before.size < wants));
          if (!granted) continue;
          under.set(sampler, now());
          before.add(sampler);
          expect(under.size).toBeLessThanOrEqual(atOnce);
        }
      }),
      { numRuns: 300, seed: 20261202 },
    );
  });
  test('let as many load as the work needs, one after another', () => {
    const permits = makeLoadPermits(now);
    const load = (sampler: string): boolean => {
      const { granted } = permits.ask(wish(sampler, { items: 600 }));
      permits.done({ sampler, model: 'm', version: 2 });
      return granted;
    };
    expect(['s1', 's2', 's3', 's4', 's5'].map(load)).toEqual([true, true, true, true, false]);
  });
  test('count no load that failed and no sampler that is gone among those that the work needs', () => {
    const gone = new Set<string>();
    const permits = makeLoadPermits(now, (sampler) => !gone.has(sampler));
    const load = (sampler: string, failed = false): boolean => {
      const { granted } = permits.ask(wish(sampler));
      permits.done({ sampler, model: 'm', version: 2, failed });
      return granted;
    };
    expect(load('s1', true)).toBe(true);
    expect(load('s2')).toBe(true);
    expect(load('s3')).toBe(true);
    expect(load('s4')).toBe(false);
    gone.add('s2');
    expect(load('s4')).toBe(true);
    expect(load('s5')).toBe(false);
  });
});
