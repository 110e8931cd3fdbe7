import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { acceptor } from '../core/acceptor.js';
import { paxos } from '../core/paxos.js';
import type { SimFleet } from '../sim/simFleet.js';
import type { World } from '../sim/world.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

const { off, rulesOf } = switchOff;

afterEach(switchOff.back);

describe('once-only requests', () => {
  /** Every answer of plain samplers is cut for a while, so that callers ask again under their keys. */
  const cutAnswers = (world: World, fleet: SimFleet): void => {
    const cutting = (after: number) => (): void => {
      for (const machine of fleet.machines.values()) if (machine.standIn) machine.standIn.switches.truncate = after;
    };
    world.after(300, cutting(1));
    world.after(5000, cutting(0));
  };
  const impatient = { workMs: 8000, crowd: 'callers' as const, script: cutAnswers };
  test('run once', () => {
    const day = brokenOnPurpose({ seed: 231, ...impatient });
    expect(day.checked['once-only runs once']).toBeGreaterThan(5);
    expect(day.seen.some((each) => each['once'] === true && each['outcome'] === 'unknown')).toBe(true);
    expect(rulesOf(day)).toEqual([]);
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
