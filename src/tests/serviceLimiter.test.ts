import { describe, expect, test } from '@jest/globals';
import { makeServiceLimiter, type LimitedCall } from '../fleet/front/serviceLimiter.js';

const limiter = () => makeServiceLimiter(() => 0);
/** Enters calls that stay open; answers those that began. */
const openCalls = (made: ReturnType<typeof limiter>, count: number): LimitedCall[] => {
  const begun: LimitedCall[] = [];
  for (let nth = 0; nth < count; nth += 1) made.enter('texts', (call) => void begun.push(call));
  return begun;
};

describe('the limit of calls to a service', () => {
  test('bears a long queue of calls that end as they begin, and begins them in order', () => {
    const made = limiter();
    const [first, ...rest] = openCalls(made, 8);
    const order: number[] = [];
    for (let nth = 0; nth < 50_000; nth += 1)
      made.enter('texts', (call) => {
        order.push(nth);
        call.ended('unanswered');
      });
    expect(order).toEqual([]);
    first!.ended('unanswered');
    expect(order).toHaveLength(50_000);
    expect(order.every((nth, place) => nth === place)).toBe(true);
    expect(rest).toHaveLength(7);
  });
  test('does not rise with calls that no sampler answered', () => {
    const made = limiter();
    for (let round = 0; round < 5; round += 1) for (const call of openCalls(made, 8)) call.ended('unanswered');
    expect(openCalls(made, 100)).toHaveLength(8);
  });
  test('rises with calls that were answered, and falls with one that found no room', () => {
    const made = limiter();
    for (let round = 0; round < 2; round += 1) for (const call of openCalls(made, 8)) call.ended('answered');
    const more = openCalls(made, 100);
    expect(more.length).toBeGreaterThan(8);
    more[0]!.overloaded();
    const before = more.length;
    more[0]!.ended('answered');
    expect(more).toHaveLength(before);
  });
});
