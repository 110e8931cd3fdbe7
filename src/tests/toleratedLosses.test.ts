import { expect, test } from '@jest/globals';
import { runFleetDay } from '../sim/fleet/fleetDay.js';

/** No machine with a disk beyond those that the promised losses need. */
const exactSize = { cores: 5, stores: 5, tolerance: 2 };
const severalAtOnce = /wipeAllTolerated/;

// Guards against acknowledged state that can't be read again after as many disks as promised were lost at once.
test.each([
  { seed: 7101, closing: 'wipeAllTolerated' as const },
  { seed: 7102, closing: 'wipeAllToleratedWhileOthersLosePower' as const },
  { seed: 7103, closing: 'wipeAllTolerated' as const },
])('a fleet without a machine to spare bears every promised loss, $seed', async ({ seed, closing }) => {
  const day = await runFleetDay({
    seed,
    closing,
    size: exactSize,
    workMs: 34_000,
    only: ['wipeAllTolerated', 'wipeAllToleratedWhileOthersLosePower', 'replaceCore', 'kill', 'powerLoss', 'freeze'],
    meanFaultMs: 4000,
  });
  expect({ seed, violations: day.violations }).toEqual({ seed, violations: [] });
  expect(day.history.some((line) => severalAtOnce.test(line))).toBe(true);
});
