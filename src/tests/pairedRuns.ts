import { afterEach, describe, expect, test } from '@jest/globals';
import type { FleetDay } from '../sim/fleet/fleetDay.js';
import { fleetRuns } from './fleetRuns.js';
import { switchOff } from './switchOff.js';

/**
 * Each mechanism of docs/control.md: one run with it, and the same run without it, to which the checkers object. Where
 * it depends on the timing of a day whether the mechanism is needed, `others` are further days: none is broken with the
 * mechanism, and the checkers object to at least one without it.
 */
const pair = (
  name: string,
  run: () => Promise<FleetDay>,
  without: () => void,
  rule: string,
  more: { readonly run?: () => Promise<FleetDay>; readonly others?: ReadonlyArray<() => Promise<FleetDay>> } = {},
): void =>
  describe(name, () => {
    afterEach(switchOff.back);
    test('with the mechanism, nothing is broken', async () => {
      for (const play of [run, ...(more.others ?? [])]) {
        const day = await play();
        expect(day.violations).toEqual([]);
        expect(day.counts['accepted']).toBeGreaterThan(5);
      }
    });
    test('without it, the checkers object', async () => {
      without();
      const rules: string[] = [];
      for (const play of [more.run ?? run, ...(more.others ?? [])]) rules.push(...fleetRuns.rulesOf(await play()));
      expect(rules).toContain(rule);
    });
  });

/** Tests of two runs each. */
export const pairedRuns = { pair };
