import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { acceptor } from '../core/acceptor.js';
import { paxos } from '../core/paxos.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

const { off, rulesOf } = switchOff;

afterEach(switchOff.back);

describe('once-only requests', () => {
  const impatient = { workMs: 8000, only: ['sampler truncates' as const, 'sampler slow' as const], meanFaultMs: 300 };
  test('run once', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 231, ...impatient }))).toEqual([]);
  });
  test('run twice when every claim is granted', () => {
    const decide = paxos.decide;
    off(paxos, 'decide', (options) =>
      options.value !== undefined && Buffer.from(options.value).includes('"attempt"')
        ? Effect.succeed({ value: options.value, ballot: acceptor.fresh('').promised!, votes: [], lacking: 0 })
        : decide(options),
    );
    expect(rulesOf(brokenOnPurpose({ seed: 231, ...impatient }))).toContain('once-only runs once');
  });
});
