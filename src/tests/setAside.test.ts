import { expect, test } from '@jest/globals';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

test('a sampler that can not load weights is set aside, said so, and the rest goes on', () => {
  const day = brokenOnPurpose({
    seed: 271,
    workMs: 9000,
    settleMs: 14_000,
    script: (_, fleet, clients) => {
      [...fleet.machines.values()].find(
        (machine) => machine.service === clients.model,
      )!.standIn!.switches.bounceWeights = true;
    },
  });
  expect(day.seen.some((each) => each.kind === 'weights-told' && each['status'] === 200)).toBe(true);
  expect(day.fleet.lines.some((line) => line.includes('event=sampler_set_aside'))).toBe(true);
  expect(day.fleet.lines.some((line) => line.includes('event=weights_loaded'))).toBe(true);
  expect(switchOff.rulesOf(day)).toEqual([]);
});
