import { afterEach, describe, expect, test } from '@jest/globals';
import type { FleetDay } from '../sim/fleet/fleetDay.js';
import { fleetRuns } from './fleetRuns.js';
import { switchOff } from './switchOff.js';

/** Each mechanism of docs/control.md: one run with it, and the same run without it, to which the checkers object. */
const pair = (
  name: string,
  run: () => Promise<FleetDay>,
  without: () => void,
  rule: string,
  more: { readonly run?: () => Promise<FleetDay> } = {},
): void =>
  describe(name, () => {
    afterEach(switchOff.back);
    test('with the mechanism, nothing is broken', async () => {
      const day = await run();
      expect(day.violations).toEqual([]);
      expect(day.counts['accepted']).toBeGreaterThan(5);
    });
    test('without it, the checkers object', async () => {
      without();
      expect(fleetRuns.rulesOf(await (more.run ?? run)())).toContain(rule);
    });
  });

/** Tests of two runs each. */
export const pairedRuns = { pair };
