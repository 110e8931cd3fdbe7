import { afterEach, expect, test } from '@jest/globals';
import type { StoreView } from '../fleet/fleetTypes.js';
import { placement } from '../policy/placement.js';
import { lotRuns, type LotRun } from './lotRuns.js';

const runs: LotRun[] = [];
afterEach(() => {
  for (const run of runs.splice(0)) run.fleet.close();
});

const three = ['a', 'b', 'c'];

const finished = async <T>({ fleet }: LotRun, work: Promise<T>, mostMs = 6000): Promise<T> => {
  let done = false;
  const note = (): void => void (done = true);
  void work.then(note, note);
  for (let at = 0; at < mostMs && !done; at += 20) await fleet.advance(20);
  if (!done) throw new Error('not finished in time');
  return work;
};

const holders = ({ fleet }: LotRun, batch: string): ReadonlyArray<string> =>
  [...three, 'd'].filter((store) => (fleet.node(store)?.logs.get(batch)?.entries.length ?? 0) > 1);

/** Names of batches whose second copy leaves for store `d` and comes back without it. */
const movingBatches = (wide: StoreView, narrow: StoreView, leader: string): ReadonlyArray<string> =>
  Array.from({ length: 200 }, (_, at) => `batch${at}`).filter((batch) => {
    const [before] = placement.sets(batch, narrow, 3);
    const [after] = placement.sets(batch, wide, 3);
    return before![0]!.name === leader && after!.some((copy) => copy.name === 'd');
  });

/** A run in which ended batches moved away from a store to `d` and back, with every view settled. */
const movedAndBack = async (): Promise<{ readonly run: LotRun; readonly batches: ReadonlyArray<string> }> => {
  const run = await lotRuns.begin({ seed: 21, stores: [...three, 'd'], membershipReconciler: false });
  runs.push(run);
  const { fleet } = run;
  const wide = fleet.view().current;
  const narrow = wide.filter((store) => store.name !== 'd');
  fleet.setView({ epoch: 2, current: narrow, previous: [] });
  await fleet.advance(300);
  const views = {
    wide: { epoch: 2, current: wide, previous: [] },
    narrow: { epoch: 2, current: narrow, previous: [] },
  };
  const batches = movingBatches(views.wide, views.narrow, 'a').slice(0, 8);
  for (const batch of batches) {
    expect(await finished(run, run.create(0, batch))).toBe(true);
    await finished(run, run.end(0, batch));
  }
  const settled = async (): Promise<void> => {
    const unsettled = (): number => three.concat('d').reduce((sum, store) => sum + unsettledAt(store), 0);
    const unsettledAt = (store: string): number => fleet.node(store)!.leader.unsettled().length;
    await fleet.advance(300);
    for (let at = 0; at < 100 && unsettled() > 0; at += 1) await fleet.advance(100);
    expect(unsettled()).toBe(0);
  };
  const moves = [
    { current: wide, previous: narrow },
    { current: narrow, previous: wide },
  ];
  let epoch = 2;
  for (const { current, previous } of moves) {
    fleet.setView({ epoch: (epoch += 1), current, previous });
    await settled();
    fleet.setView({ epoch: (epoch += 1), current, previous: [] });
    await fleet.advance(1000);
  }
  return { run, batches };
};

test('an ended batch that moved away from a store and back stands on a majority of its copies', async () => {
  const { run, batches } = await movedAndBack();
  expect(batches.length).toBe(8);
  for (const batch of batches) expect(holders(run, batch).length).toBeGreaterThanOrEqual(2);
});

test('an ended batch that moved away from a store and back outlives the loss of one disk', async () => {
  const { run, batches } = await movedAndBack();
  run.fleet.wipe('a');
  run.fleet.boot('a');
  await run.fleet.advance(500);
  for (const batch of batches) for (const store of ['b', 'c']) await finished(run, run.readAt(store, batch, 0, true));
  expect(run.broken).toEqual([]);
});

test('in long lives of stores that come, are emptied and lose disks, ended batches stand on majorities', async () => {
  expect(await lotRuns.storms(1000, 20, ['add', 'retire', 'wipe'], 14)).toEqual([]);
});
