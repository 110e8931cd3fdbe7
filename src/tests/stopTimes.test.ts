import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { stopTimesOf } from '../fleet/front/stopTimes.js';

test('a front that stops serves into the last sixth of its grace, and closes what is idle long before', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1000, max: 60_000 }), (graceMs) => {
      const { closeMs, endMs } = stopTimesOf(graceMs);
      expect(endMs).toBeGreaterThan((graceMs * 5) / 6);
      expect(endMs).toBeLessThan(graceMs);
      expect(closeMs).toBeLessThanOrEqual(2300);
      expect(closeMs).toBeLessThan(graceMs / 2);
    }),
    { seed: 20261205 },
  );
});
