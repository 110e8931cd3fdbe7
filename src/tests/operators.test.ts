import { describe, expect, test } from '@jest/globals';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

const { rulesOf } = switchOff;

describe('operators who race', () => {
  test('never both win, nor does a loser take effect', () => {
    expect(
      rulesOf(
        brokenOnPurpose({ seed: 251, workMs: 10_000, only: ['core cut', 'kill', 'one-way cut'], meanFaultMs: 600 }),
      ),
    ).toEqual([]);
  });
});
