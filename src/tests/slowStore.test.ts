import { afterEach, describe, expect, test } from '@jest/globals';
import type { Advert, Grant, LotResult } from '../fleet/fleetTypes.js';
import { placement } from '../policy/placement.js';
import { lotRuns, type LotRun } from './lotRuns.js';

const stores = ['a', 'b', 'c'];
const slow = 'c';
/** A sync takes up to 3 ms at the others. */
const syncMs = 300;
const answerMs = 300;

const runs: LotRun[] = [];
afterEach(() => {
  for (const run of runs.splice(0)) run.fleet.close();
});

/** Three stores, one of them slow from the start where it is asked for. */
const begin = async (seed: number, isSlow: boolean): Promise<LotRun> => {
  const late = (from: string): number => (isSlow && from === slow ? answerMs : 0);
  const run = await lotRuns.begin({ seed, stores, membershipReconciler: false, late });
  runs.push(run);
  if (isSlow) run.fleet.disk(slow).slowMs = syncMs;
  return run;
};
/** Virtual milliseconds until work is done. */
const timed = async <T>({ fleet }: LotRun, work: Promise<T>): Promise<{ readonly ms: number; readonly value: T }> => {
  let done = false;
  void work.then(
    () => (done = true),
    () => (done = true),
  );
  let ms = 0;
  for (; ms < 10_000 && !done; ms += 1) await fleet.advance(1);
  return { ms, value: await work };
};
/** Lots that the slow store holds a copy of and does not lead. */
const ledByOthers = ({ fleet }: LotRun, count: number): ReadonlyArray<string> =>
  Array.from({ length: 100 }, (_, at) => `lot${at}`)
    .filter((lot) => placement.sets(lot, fleet.view(), 3)[0]![0]!.name !== slow)
    .slice(0, count);
const leaderOf = ({ fleet }: LotRun, lot: string): string => placement.sets(lot, fleet.view(), 3)[0]![0]!.name;
const held = ({ fleet }: LotRun, store: string, lot: string): number =>
  fleet.node(store)!.logs.get(lot)?.entries.length ?? 0;

/** Hands lots in, takes and says their items, reads and ends them; answers the longest time of each kind of step. */
const worked = async (
  run: LotRun,
  lots: ReadonlyArray<string>,
  beforeEnd: () => Promise<void> = () => Promise.resolve(),
): Promise<Readonly<Record<string, number>>> => {
  const longest: Record<string, number> = {};
  const note = async <T>(step: string, work: Promise<T>): Promise<T> => {
    const { ms, value } = await timed(run, work);
    longest[step] = Math.max(longest[step] ?? 0, ms);
    return value;
  };
  const channels = run.fleet.channels('f1');
  for (const lot of lots) expect(await note('create', run.create(0, lot))).toBe(true);
  for (const lot of lots) {
    const store = leaderOf(run, lot);
    const asks = [{ lot, sampler: 's', version: 1, most: 9, spare: true }];
    const pulled = (await note('pull', channels.call(store, 'board.pull', { front: 'f1', asks }, 800))) as {
      readonly grants: ReadonlyArray<Grant>;
      readonly adverts: ReadonlyArray<Advert>;
    };
    const items = run.lots.get(lot)!.body.items.map(({ id }) => id);
    expect(pulled.grants.map(({ item }) => item.id)).toEqual(items);
    expect(pulled.adverts[0]!.leaseMs).toBeGreaterThan(0);
    for (const id of items) {
      const result: LotResult = { id, state: 'completed', text: id, versions: [1], rating: '' };
      const words = { front: 'f1', words: [{ lot, id, result }] };
      expect(await note('word', channels.call(store, 'board.words', words, 2500))).toEqual(['ok']);
    }
    await note('read', run.read(0, lot, 0, 0));
    expect(run.lots.get(lot)!.positions.length).toBe(items.length);
    // Nothing is new there: a majority confirms that this leader knows.
    await note('confirm', run.read(0, lot, items.length, 0));
  }
  await beforeEnd();
  for (const lot of lots) {
    await note('end', run.end(0, lot));
    expect(run.lots.get(lot)!.endedAt).toBeLessThan(Infinity);
  }
  return longest;
};

describe('a store whose disk and answers are slow', () => {
  test.each([1, 2, 3])('slows no lot that others lead, and catches up (seed %i)', async (seed) => {
    const run = await begin(seed, true);
    const lots = ledByOthers(run, 4);
    const longest = await worked(run, lots, async () => {
      // While its lots are open it gets all of them, and is as whole as the others before they end.
      const wanted = lots.map((lot) => run.lots.get(lot)!.body.items.length + 1);
      for (let at = 0; at < 200 && lots.some((lot, place) => held(run, slow, lot) < wanted[place]!); at += 1)
        await run.fleet.advance(100);
      expect(lots.map((lot) => held(run, slow, lot))).toEqual(wanted);
    });
    // Two calls and two syncs, each of a few milliseconds: no step waits for one slow sync or answer.
    for (const [step, ms] of Object.entries(longest))
      expect({ step, slow: ms >= syncMs / 6 }).toEqual({ step, slow: false });
    const wanted = lots.map((lot) => run.lots.get(lot)!.body.items.length + 2);
    expect(lots.map((lot) => held(run, leaderOf(run, lot), lot))).toEqual(wanted);
    const whole = lots.map((lot, place) => stores.filter((store) => held(run, store, lot) === wanted[place]).length);
    expect(Math.min(...whole)).toBeGreaterThanOrEqual(2);
    expect(run.broken).toEqual([]);
  });
  test('is as fast as the others in the same steps once it is well', async () => {
    const run = await begin(4, false);
    const lots = ledByOthers(run, 2);
    const well = await worked(run, lots);
    expect(Object.values(well).every((ms) => ms < syncMs / 6)).toBe(true);
  });
  test('holds the steps up where it is needed for a majority, so that the times above are its own', async () => {
    const run = await begin(5, true);
    const [lot] = ledByOthers(run, 1) as [string];
    const other = stores.find((store) => store !== slow && store !== leaderOf(run, lot))!;
    run.fleet.kill(other);
    const { ms, value } = await timed(run, run.create(0, lot));
    expect(value).toBe(true);
    expect(ms).toBeGreaterThan(syncMs);
  });
  test('that led a lot leaves it whole to the others when it ends', async () => {
    const run = await begin(6, true);
    const { fleet } = run;
    const lot = Array.from({ length: 100 }, (_, at) => `lot${at}`).find((each) => leaderOf(run, each) === slow)!;
    expect((await timed(run, run.create(0, lot))).value).toBe(true);
    fleet.kill(slow);
    await fleet.advance(2000);
    await timed(run, run.read(0, lot, 0, 0));
    const next = stores.find((store) => store !== slow && fleet.node(store)?.leader.get(lot) !== undefined);
    expect(next).toBeDefined();
    expect(held(run, next!, lot)).toBe(1);
    expect(run.broken).toEqual([]);
  });
});
