import { describe, expect, test } from '@jest/globals';
import { makeHedgeControl } from '../fleet/front/hedgeControl.js';
import { hedgingDelayMs } from '../policy/hedging.js';
import { retryBudget } from '../policy/retryBudget.js';

describe('the hedging delay', () => {
  test('follows mean and deviation of what was seen, within shares of the aim', () => {
    const seen = (meanMs: number, deviationMs: number): number =>
      hedgingDelayMs({ aimMs: 800, seen: { meanMs, deviationMs } });
    expect(seen(200, 60)).toBe(350);
    expect(seen(10, 1)).toBe(200);
    expect(seen(900, 300)).toBe(560);
    expect(hedgingDelayMs({ aimMs: 150, seen: undefined })).toBe(60);
  });
  test('of a kind that was answered fast falls, and of another kind it stays', () => {
    const hedges = makeHedgeControl();
    const before = hedges.began('cards', 150);
    for (let at = 0; at < 30; at += 1) hedges.answered('cards', 20 + (at % 3));
    expect(hedges.began('cards', 150)).toBeLessThan(before);
    expect(hedges.began('lookups', 150)).toBe(before);
  });
});

test('hedges stay below a tenth of the requests for long, whatever the answers take', () => {
  const hedges = makeHedgeControl();
  const requests = 2000;
  let hedged = 0;
  for (let at = 0; at < requests; at += 1) {
    hedges.began('cards', 150);
    if (hedges.spend('cards')) hedged += 1;
  }
  expect(hedged).toBeGreaterThan(requests * 0.09);
  expect(hedged).toBeLessThanOrEqual(requests * 0.1 + retryBudget.full.tokens);
});
