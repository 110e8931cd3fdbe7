import { afterEach, describe, expect, test } from '@jest/globals';
import { seating } from '../front/seating.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

const { off, rulesOf } = switchOff;

afterEach(switchOff.back);

describe('versions', () => {
  test('are kept to while weights go out', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 223, workMs: 7000 }))).toEqual([]);
  });
  test('mix when seating does not look at them', () => {
    const plan = seating.plan;
    off(seating, 'versionFits', () => true);
    off(seating, 'plan', (state, rules, now) =>
      plan(
        {
          ...state,
          items: new Map(
            [...state.items].map(([key, item]) => [key, { ...item, minVersion: 0, singleVersion: false }]),
          ),
        },
        rules,
        now,
      ),
    );
    expect(rulesOf(brokenOnPurpose({ seed: 223, workMs: 7000 }))).toContain('a text keeps to its versions');
  });
});
