import { afterEach, describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { placement } from '../policy/placement.js';
import { replicationTargets } from '../policy/replicationTargets.js';
import { responseTimes, type ResponseTimes } from '../policy/responseTimes.js';
import type { StoreSeat } from '../shared/configuration.js';
import { lotRuns, type LotRun } from './lotRuns.js';

const runs: LotRun[] = [];
afterEach(() => {
  for (const run of runs.splice(0)) run.fleet.close();
});
const seat = (name: string, zone: string): StoreSeat => ({ name, disk: `${name}-disk`, zone });
const stores = [
  seat('a1', 'a'),
  seat('a2', 'a'),
  seat('b1', 'b'),
  seat('b2', 'b'),
  seat('c1', 'c'),
  seat('c2', 'c'),
  seat('d1', 'd'),
];
const runsOf = { numRuns: 1000, seed: 20261203 };
const state = fc.record({
  sets: fc.array(fc.shuffledSubarray(stores, { minLength: 1 }), { minLength: 1, maxLength: 2 }),
  away: fc.subarray(stores),
  held: fc.array(fc.integer({ min: -1, max: 3 }), { minLength: stores.length, maxLength: stores.length }),
});

describe('the copies that a leader writes to at once', () => {
  test('are a majority of each set, the leader among them, and no copy that is away while enough respond', () => {
    fc.assert(
      fc.property(state, ({ sets, away, held }) => {
        const self = sets[0]![0]!;
        const responsive = ({ name }: { name: string }): boolean => !away.some((each) => each.name === name);
        const heldBy = ({ name }: { name: string }): number => held[stores.findIndex((each) => each.name === name)]!;
        const keys = replicationTargets({ sets, self, responsive, held: heldBy });
        const chosen = (copy: StoreSeat): boolean => keys.has(placement.key(copy));
        expect(chosen(self)).toBe(true);
        expect(placement.quorum(sets, (copy) => keys.has(placement.key(copy)))).toBe(true);
        expect(keys.size).toBeLessThanOrEqual(sets.reduce((sum, set) => sum + placement.majority(set), 0));
        const first = sets[0]!;
        if (sets.length > 1) return;
        expect(first.filter(chosen).length).toBe(placement.majority(first));
        for (const passed of first.filter((copy) => !chosen(copy) && responsive(copy)))
          for (const taken of first.filter((copy) => chosen(copy) && copy !== self)) {
            expect(responsive(taken)).toBe(true);
            expect(heldBy(taken)).toBeGreaterThanOrEqual(heldBy(passed));
          }
      }),
      runsOf,
    );
  });
  test('cross zones once for each majority beyond the leader’s zone', () => {
    const sets = [[stores[0]!, stores[2]!, stores[1]!, stores[4]!, stores[6]!]];
    const keys = replicationTargets({ sets, self: stores[0]!, responsive: () => true, held: () => 0 });
    expect([...keys]).toEqual(['a1', 'a2', 'b1'].map((name) => `${name} ${name}-disk`));
  });
});

test('a response counts as late by mean and deviation, within its bounds', () => {
  const after = (values: ReadonlyArray<number>): ResponseTimes | undefined =>
    values.reduce<ResponseTimes | undefined>(responseTimes.after, undefined);
  expect(responseTimes.lateAfterMs(undefined, 20, 150)).toBe(150);
  expect(responseTimes.lateAfterMs(after([10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10]), 1, 150)).toBeCloseTo(11, 0);
  expect(responseTimes.lateAfterMs(after([2]), 20, 150)).toBe(20);
  expect(responseTimes.lateAfterMs(after([500, 500]), 20, 150)).toBe(150);
});

const three = ['a', 'b', 'c'];
const held = ({ fleet }: LotRun, lot: string): ReadonlyArray<string> =>
  three.filter((store) => (fleet.node(store)?.logs.get(lot)?.entries.length ?? 0) > 0);
const begin = async (seed: number): Promise<LotRun> => {
  const run = await lotRuns.begin({ seed, stores: three, membershipReconciler: false });
  runs.push(run);
  return run;
};
const created = async (run: LotRun, lot: string): Promise<void> => {
  let taken = false;
  void run.create(0, lot).then((ok) => (taken = ok));
  for (let at = 0; at < 3000 && !taken; at += 20) await run.fleet.advance(20);
  expect(taken).toBe(true);
};

test('a lot stands on a majority at first, and on every copy once it is open for long', async () => {
  const run = await begin(1);
  await created(run, 'slowly');
  await run.fleet.advance(2000);
  expect(held(run, 'slowly').length).toBe(2);
  await run.fleet.advance(10_000);
  expect(held(run, 'slowly').length).toBe(3);
});

test('a copy that is not a target takes the place of one that is silent', async () => {
  const run = await begin(2);
  await created(run, 'first');
  const [leader] = placement.sets('first', run.fleet.view(), 3)[0]!;
  const target = held(run, 'first').find((store) => store !== leader!.name)!;
  run.fleet.kill(target);
  for (const at of [0, 1]) {
    const result = { id: `first.${at}`, state: 'completed', text: 'x', versions: [1], rating: '' };
    const words = { front: 'f1', words: [{ lot: 'first', id: result.id, result }] };
    let answer: unknown;
    void run.fleet
      .channels('f1')
      .call(leader!.name, 'board.words', words, 2500)
      .then((value) => (answer = value));
    await run.fleet.advance(400);
    expect(answer).toEqual(['ok']);
  }
  const other = three.find((store) => store !== leader!.name && store !== target)!;
  expect(run.fleet.node(other)!.logs.get('first')!.entries.length).toBe(3);
  expect(run.broken).toEqual([]);
});

test('a copy that lags behind drops its part once a majority has ended the lot, and not before', async () => {
  const run = await begin(3);
  const { fleet } = run;
  await created(run, 'part');
  await fleet.advance(12_000);
  expect(held(run, 'part').length).toBe(3);
  const over = async (store: string): Promise<boolean | undefined> => {
    let answer: boolean | undefined;
    void fleet
      .node(store)!
      .leader.endedElsewhere('part')
      .then((value) => (answer = value));
    await fleet.advance(1500);
    return answer;
  };
  for (const store of three) expect(await over(store)).toBe(false);
  const [leader] = placement.sets('part', fleet.view(), 3)[0]!;
  const behind = three.find((store) => store !== leader!.name)!;
  fleet.kill(behind);
  // A result that is under way when the lot is ended follows the end.
  void run.end(0, 'part');
  await fleet.advance(1);
  const result = { id: 'part.0', state: 'completed', text: 'x', versions: [1], rating: '' };
  const words = { front: 'f1', words: [{ lot: 'part', id: result.id, result }] };
  const told = run.fleet.channels('f1').call(leader!.name, 'board.words', words, 2500);
  void told.catch(() => undefined);
  await fleet.advance(3000);
  const kinds = fleet
    .node(leader!.name)!
    .logs.get('part')!
    .entries.map(({ value }) => value.kind);
  expect(kinds).toEqual(['lot', 'end', 'result']);
  expect(run.lots.get('part')!.endedAt).toBeLessThan(Infinity);
  fleet.boot(behind);
  await fleet.advance(3000);
  expect(fleet.node(behind)!.logs.get('part')!.entries.length).toBe(1);
  expect(await over(behind)).toBe(true);
});
