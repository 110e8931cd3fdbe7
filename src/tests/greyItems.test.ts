import { afterEach, describe, expect, test } from '@jest/globals';
import { deskRuns } from './deskRuns.js';
import { virtualSamplers, type VirtualAnswer } from './virtualSamplers.js';

const faults = {
  reset: { kind: 'reset', afterMs: 5 },
  500: { kind: 'answer', status: 500, afterMs: 5 },
  503: { kind: 'answer', status: 503, afterMs: 5 },
} as const satisfies Record<string, VirtualAnswer>;
const lots = Array.from({ length: 20 }, (_, at) => `lot${'x'.repeat(at % 2)}${at}`);
const workMs = 200;

const open: Array<() => void> = [];
afterEach(() => {
  for (const close of open.splice(0)) close();
});

const fleet = async (seed: number, fault: VirtualAnswer, share: () => number) => {
  const begun = await deskRuns.begin({
    seed,
    samplers: ['s0', 's1', 's2', 's3'].map((id) => virtualSamplers.announced(id, { slots: 2 })),
    answer: (call, chance) => (call.address === 's0:1' && chance() < share() ? fault : deskRuns.whole(call, 3, workMs)),
  });
  open.push(begun.close);
  return begun;
};

describe.each([
  ['reset', 0.5],
  ['503', 0.5],
  ['500', 0.3],
  ['500', 0.5],
] as const)('a sampler that answers part of its items by %s (%d)', (way, share) => {
  test.each([1, 2, 3])('leaves all of them done in the end (seed %i)', async (seed) => {
    const { create, results, loads, total, run } = await fleet(seed, faults[way], () => share);
    await create(lots);
    const states = await results(60_000);
    expect(run.broken).toEqual([]);
    expect(states).toEqual(Array.from({ length: total() }, () => 'completed'));
    const calls = [...loads.values()].reduce((sum, load) => sum + load.calls, 0);
    // Where it does not answer by a fault of the item, it gets less than its quarter.
    if (way !== '500') expect(loads.get('s0:1')!.calls / calls).toBeLessThan(0.15);
  });
});
