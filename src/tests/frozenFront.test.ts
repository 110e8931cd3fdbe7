import { afterEach, describe, expect, test } from '@jest/globals';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

const { rulesOf, freezing } = switchOff;

afterEach(switchOff.back);

describe('a frozen front', () => {
  const frozen = { workMs: 15_000 };
  test('breaks nothing', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 211, ...frozen, script: (...all) => freezing(...all) }))).toEqual([]);
  });
  test('serves what is outdated when no lease is held against the clock', () => {
    const day = brokenOnPurpose({
      seed: 211,
      ...frozen,
      script: (...all) => freezing(...all, true),
    });
    expect(rulesOf(day)).toContain('an accepted configuration is in force in 2 s');
  });
});
