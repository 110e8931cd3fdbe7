import { afterEach, expect, test } from '@jest/globals';
import type { Advert, Grant } from '../fleet/fleetTypes.js';
import { placement } from '../policy/placement.js';
import type { Sabotage } from './lotFleet.js';
import { lotRuns, type Kind, type LotRun } from './lotRuns.js';

const runs: LotRun[] = [];
afterEach(() => {
  for (const run of runs.splice(0)) run.fleet.close();
});
const begin = async (options: Parameters<typeof lotRuns.begin>[0]): Promise<LotRun> => {
  const run = await lotRuns.begin(options);
  runs.push(run);
  return run;
};
const three = ['a', 'b', 'c'];
/** A lot's stores, the one that leads it first coming first. */
const orderOf = ({ fleet }: LotRun, lot: string): ReadonlyArray<string> =>
  placement.sets(lot, fleet.view(), 3)[0]!.map((each) => each.name);
const finished = async <T>({ fleet }: LotRun, work: Promise<T>, mostMs = 6000): Promise<T> => {
  let done = false;
  void work.then(
    () => (done = true),
    () => (done = true),
  );
  for (let at = 0; at < mostMs && !done; at += 20) await fleet.advance(20);
  if (!done) throw new Error('not finished in time');
  return work;
};
const created = async (run: LotRun, lot: string): Promise<void> => {
  expect(await finished(run, run.create(0, lot))).toBe(true);
};
const made = { state: 'completed', versions: [1], rating: '' } as const;
const say = (run: LotRun, store: string, lot: string, at: number, by: string): Promise<ReadonlyArray<string>> => {
  const words = [{ lot, id: `${lot}.${at}`, result: { ...made, id: `${lot}.${at}`, text: by } }];
  const asked = run.fleet.channels('f1').call(store, 'board.words', { front: 'f1', words }, 2500);
  return asked.then(
    (heard) => heard as ReadonlyArray<string>,
    () => ['failed'],
  );
};
const cutOff = ({ fleet }: LotRun, store: string, others: ReadonlyArray<string>): void => {
  for (const other of others) {
    fleet.cut(store, other);
    fleet.cut(other, store);
  }
};

test.each<[string, number, ReadonlyArray<Kind>]>([
  ['lost messages', 100, ['loss']],
  ['kills', 200, ['kill', 'outage', 'loss']],
  ['cuts', 300, ['cut', 'loss']],
  ['freezes', 400, ['freeze', 'loss']],
  ['disks that refuse', 500, ['disk', 'kill']],
  ['wipes', 600, ['wipe', 'loss']],
  ['stores that come', 700, ['add', 'loss']],
  ['everything', 800, ['kill', 'wipe', 'freeze', 'cut', 'loss', 'disk', 'add', 'outage']],
  ['early reads', 900, ['kill', 'loss', 'early']],
])('%s break no promise', async (_, from, kinds) => {
  expect(await lotRuns.storms(from, 25, kinds)).toEqual([]);
});

/** A leader that only fronts reach, and one that the others chose meanwhile. */
const deposed = async (sabotage: Sabotage): Promise<ReadonlyArray<string>> => {
  const run = await begin({ seed: 1, stores: three, membershipReconciler: false, sabotage });
  const { fleet, broken } = run;
  await created(run, 'deposed');
  const [first, second, third] = orderOf(run, 'deposed') as [string, string, string];
  cutOff(run, first, [second, third]);
  await finished(run, run.readAt(second, 'deposed', 0, true));
  await finished(run, say(run, second, 'deposed', 0, 'good'));
  await finished(run, run.readAt(second, 'deposed', 0, false));
  await finished(run, run.readAt(first, 'deposed', 0, false));
  fleet.heal();
  await finished(run, say(run, first, 'deposed', 1, 'stale'));
  await finished(run, run.readAt(first, 'deposed', 0, false));
  return broken;
};

test.each<[Sabotage, RegExp]>([
  ['confirmsAll', /says nothing at 0/],
  ['acceptsAll', /changed 0/],
])('the oracle reports stores under %s', async (sabotage, told) => {
  expect(await deposed('none')).toEqual([]);
  expect((await deposed(sabotage)).some((each) => told.test(each))).toBe(true);
});

test.each<[Sabotage, boolean]>([
  ['none', false],
  ['answersBeforeSync', true],
])('an outage right after a lot was taken loses it, under %s: %p', async (sabotage, lost) => {
  let found = false;
  for (let seed = 1; seed <= 20; seed += 1) {
    const run = await begin({ seed, stores: three, sabotage });
    for (const store of three) run.fleet.disk(store).slowMs = 100;
    await created(run, 'outage');
    for (const store of three) run.fleet.kill(store);
    for (const store of three) run.fleet.boot(store);
    await run.fleet.advance(1000);
    for (const store of three) await finished(run, run.readAt(store, 'outage', 0, true));
    found ||= run.broken.some((each) => each.includes('is lost'));
    run.fleet.close();
  }
  expect(found).toBe(lost);
});

test('a deposed leader that thaws answers no stale empty read', async () => {
  const run = await begin({ seed: 1, stores: three, membershipReconciler: false });
  const { fleet, broken } = run;
  await created(run, 'thaw');
  const [first, second] = orderOf(run, 'thaw') as [string, string];
  fleet.freeze(first);
  await finished(run, run.readAt(second, 'thaw', 0, true));
  expect(await finished(run, say(run, second, 'thaw', 0, 'x'))).toEqual(['ok']);
  const heard = await finished(run, run.readAt(second, 'thaw', 0, true));
  expect(heard?.results.length).toBe(1);
  const stale = run.readAt(first, 'thaw', 0, false);
  await fleet.advance(100);
  fleet.thaw(first);
  expect((await finished(run, stale))?.results.length ?? 1).toBe(1);
  expect(broken).toEqual([]);
});

test('a late promise confirms no leader from the time at which it came', async () => {
  let [first, third] = ['', ''];
  const late = (from: string, to: string, name: string): number =>
    from === third && to === first && name === 'lot.prepare' ? 500 : 0;
  const run = await begin({ seed: 2, stores: three, membershipReconciler: false, late });
  const { fleet, broken } = run;
  const order = orderOf(run, 'late') as [string, string, string];
  const [leads, second] = order;
  first = leads;
  cutOff(run, order[2], [first, second]);
  await created(run, 'late');
  third = order[2];
  fleet.heal();
  // The leader asks the third copy for its promise; it comes late.
  for (let at = 0; at < 300 && !fleet.node(third)!.logs.has('late'); at += 1) await fleet.advance(5);
  await fleet.advance(10);
  fleet.cut(first, second);
  fleet.cut(first, third);
  fleet.cut(second, first);
  const takeover = run.readAt(second, 'late', 0, true);
  await finished(run, takeover, 300);
  await finished(run, say(run, second, 'late', 0, 'x'), 300);
  expect((await finished(run, run.readAt(second, 'late', 0, true), 300))?.results.length).toBe(1);
  await finished(run, run.readAt(first, 'late', 0, false));
  expect(broken).toEqual([]);
});

test('a lot that is handed in while it is being asked for is taken', async () => {
  const run = await begin({ seed: 3, stores: three, membershipReconciler: false });
  const [first] = orderOf(run, 'both') as [string];
  const early = run.readAt(first, 'both', 0, false);
  await run.fleet.advance(3);
  await created(run, 'both');
  await finished(run, early);
  expect((await finished(run, run.readAt(first, 'both', 0, false)))?.unknown).toBeUndefined();
  expect(run.broken).toEqual([]);
});

test('a leader that could not write a lot does not say that there is none', async () => {
  let first = '';
  const late = (from: string, to: string, name: string): number => (to === first && name === 'lot.prepare' ? 40 : 0);
  const run = await begin({ seed: 4, stores: three, membershipReconciler: false, late });
  const { fleet, broken } = run;
  const order = orderOf(run, 'stuck') as [string, string, string];
  [first] = order;
  const creating = run.create(0, 'stuck');
  await fleet.advance(20);
  // Their promises are on the way; what the leader sends after them is lost.
  for (const other of order.slice(1)) fleet.cut(first, other);
  await fleet.advance(60);
  cutOff(run, first, order.slice(1));
  expect(await finished(run, creating)).toBe(true);
  expect(run.lots.get('stuck')!.ackedAt).toBeLessThan(Infinity);
  const stale = await finished(run, run.readAt(first, 'stuck', 0, false));
  expect(stale?.unknown).toBeUndefined();
  expect(broken).toEqual([]);
});

test('a lot outlives a wipe right after it was taken and a restart of the other copy', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const run = await begin({ seed, stores: three });
    const { fleet, broken } = run;
    const [first, second, third] = orderOf(run, 'wiped') as [string, string, string];
    cutOff(run, third, [first, second]);
    await created(run, 'wiped');
    fleet.heal();
    fleet.wipe(first);
    fleet.kill(second);
    fleet.boot(second);
    await fleet.advance(300);
    fleet.boot(first);
    await fleet.advance(5000);
    expect(fleet.view().previous).toEqual([]);
    expect(await finished(run, run.readAt(first, 'wiped', 0, true))).toMatchObject({ total: 4, results: [] });
    expect(broken).toEqual([]);
    fleet.close();
  }
});

test('two leaders forced at once agree', async () => {
  for (let seed = 1; seed <= 30; seed += 1) {
    const run = await begin({ seed, stores: three, membershipReconciler: false });
    const { fleet, broken } = run;
    await created(run, 'two');
    fleet.kill(orderOf(run, 'two')[0]!);
    const [, one, other] = orderOf(run, 'two') as [string, string, string];
    for (let round = 0; round < 4; round += 1) {
      const asked = [one, other].map((store) => run.readAt(store, 'two', 0, true));
      await finished(run, Promise.all(asked));
      await finished(run, Promise.all([say(run, one, 'two', round, one), say(run, other, 'two', round, other)]));
    }
    await fleet.advance(2000);
    await finished(run, run.readAt(one, 'two', 0, true));
    await finished(run, run.readAt(other, 'two', 0, true));
    expect(run.lots.get('two')!.positions.length).toBeGreaterThan(0);
    expect(broken).toEqual([]);
    fleet.close();
  }
});

test('a stale tail at one copy lists no item twice', async () => {
  const run = await begin({ seed: 5, stores: three, membershipReconciler: false });
  const { fleet, broken } = run;
  await created(run, 'tail');
  await fleet.advance(500);
  const [first, second, third] = orderOf(run, 'tail') as [string, string, string];
  cutOff(run, first, [second, third]);
  const unheard = [say(run, first, 'tail', 0, 'stale'), say(run, first, 'tail', 1, 'stale')];
  await finished(run, run.readAt(second, 'tail', 0, true));
  expect(await finished(run, say(run, second, 'tail', 1, 'good'))).toEqual(['ok']);
  await finished(run, run.readAt(second, 'tail', 0, true));
  await finished(run, Promise.all(unheard));
  expect(fleet.node(first)!.logs.get('tail')!.entries.length).toBe(3);
  fleet.heal();
  fleet.kill(second);
  for (let at = 0; at < 5; at += 1) await finished(run, run.readAt(first, 'tail', 0, true));
  await finished(run, Promise.all([0, 1, 2, 3].map((at) => say(run, first, 'tail', at, 'later'))));
  await finished(run, run.readAt(first, 'tail', 0, true));
  expect(run.lots.get('tail')!.positions.length).toBe(4);
  expect(run.lots.get('tail')!.positions[0]!.text).toContain('good');
  expect(broken).toEqual([]);
});

test('a leader of an old epoch is bounced', async () => {
  const run = await begin({ seed: 6, stores: [...three, 'd'], membershipReconciler: false });
  const { fleet, broken } = run;
  await created(run, 'old');
  const [first, second] = orderOf(run, 'old') as [string, string];
  fleet.cut('core', first);
  fleet.setView({ ...fleet.view(), epoch: 2 });
  await fleet.advance(200);
  const said = say(run, first, 'old', 0, 'stale');
  expect(await finished(run, said)).not.toEqual(['ok']);
  expect(await finished(run, run.readAt(first, 'old', 0, false))).toBeUndefined();
  await finished(run, run.readAt(second, 'old', 0, true));
  expect(await finished(run, say(run, second, 'old', 0, 'good'))).toEqual(['ok']);
  await finished(run, run.readAt(second, 'old', 0, true));
  expect(run.lots.get('old')!.positions.map((each) => each.text)).toEqual([expect.stringContaining('good')]);
  expect(broken).toEqual([]);
});

test('what a copy answered for after its disk refused a write lasts', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const run = await begin({ seed, stores: three });
    const { fleet, broken } = run;
    const [first, second, third] = orderOf(run, 'dirty') as [string, string, string];
    cutOff(run, third, [first, second]);
    await created(run, 'dirty');
    fleet.disk(second).failing = true;
    const words = [say(run, first, 'dirty', 0, 'x')];
    await fleet.advance(15);
    words.push(say(run, first, 'dirty', 1, 'x'));
    await fleet.advance(15);
    fleet.disk(second).failing = false;
    expect(await finished(run, Promise.all(words))).toEqual([['ok'], ['ok']]);
    expect((await finished(run, run.readAt(first, 'dirty', 0, false)))?.results.length).toBe(2);
    fleet.kill(second);
    fleet.boot(second);
    fleet.wipe(first);
    fleet.heal();
    await fleet.advance(3000);
    fleet.boot(first);
    await fleet.advance(4000);
    for (let at = 0; at < 3; at += 1) await finished(run, run.readAt(second, 'dirty', 0, true));
    expect({ seed, broken }).toEqual({ seed, broken: [] });
    fleet.close();
  }
});

test('a leader lends nothing of an ended lot while it takes it over', async () => {
  const run = await begin({ seed: 8, stores: three, membershipReconciler: false });
  const { fleet, broken } = run;
  await created(run, 'ended');
  const [first, second] = orderOf(run, 'ended') as [string, string];
  await finished(run, run.end(0, 'ended'));
  await fleet.advance(4000);
  cutOff(run, first, ['b', 'c', 'a']);
  fleet.disk(second).slowMs = 50;
  const taken = run.readAt(second, 'ended', 0, true);
  for (let at = 0; at < 100; at += 1) {
    const asked = fleet.channels('f1').call(second, 'board.watch', { front: 'f1', revision: -1, holds: [] }, 500);
    await fleet.advance(4);
    void asked.catch(() => undefined);
  }
  await finished(run, taken);
  expect(broken).toEqual([]);
});

test('a result that is said while its lot is being taken over is listed or said again', async () => {
  const run = await begin({ seed: 9, stores: three, membershipReconciler: false });
  const { fleet } = run;
  await created(run, 'word');
  const [first, second] = orderOf(run, 'word') as [string, string];
  fleet.freeze(first);
  fleet.disk(second).slowMs = 100;
  const taken = run.readAt(second, 'word', 0, true);
  await fleet.advance(150);
  const said = await finished(run, say(run, second, 'word', 0, 'x'));
  await finished(run, taken);
  await finished(run, run.readAt(second, 'word', 0, true));
  expect(said[0] === 'ok' && run.lots.get('word')!.positions.length === 0).toBe(false);
});

test('a second change of the stores settles, and stores drop what moved away', async () => {
  const run = await begin({ seed: 10, stores: three });
  const { fleet, broken } = run;
  const lots = Array.from({ length: 12 }, (_, at) => `move${at}`);
  for (const lot of lots) await created(run, lot);
  for (const store of ['d', 'e']) {
    fleet.boot(store);
    await fleet.advance(8000);
    expect(fleet.view().previous).toEqual([]);
  }
  for (const lot of lots) {
    const held = [...three, 'd', 'e'].filter((store) => (fleet.node(store)!.logs.get(lot)?.entries.length ?? 0) > 0);
    expect([...held].sort()).toEqual([...orderOf(run, lot)].sort());
  }
  expect(broken).toEqual([]);
});

test('a change of the stores settles while lots keep coming', async () => {
  const run = await begin({ seed: 11, stores: three });
  const { fleet } = run;
  let open = true;
  const coming = (async () => {
    for (let at = 0; open; at += 1) {
      void run.create(0, `new${at}`);
      await fleet.sleep(50);
    }
  })();
  await fleet.advance(1000);
  fleet.wipe('b');
  fleet.boot('b');
  await fleet.advance(8000);
  const { epoch, previous } = fleet.view();
  open = false;
  await finished(run, coming);
  expect({ epoch, previous }).toEqual({ epoch: 3, previous: [] });
});

test('a lot is handed out again once its leader is back', async () => {
  const run = await begin({ seed: 12, stores: three });
  const { fleet } = run;
  await created(run, 'again');
  const [first, second] = orderOf(run, 'again') as [string, string];
  fleet.kill(first);
  await fleet.advance(2500);
  await finished(run, run.read(0, 'again', 0, 0));
  const heard = (await finished(
    run,
    fleet.channels('f0').call(second, 'board.watch', { front: 'f0', revision: -1, holds: [] }, 800),
  )) as { readonly adverts: ReadonlyArray<Advert> };
  expect(heard.adverts.map(({ lot, needed }) => ({ lot, needed }))).toEqual([{ lot: 'again', needed: 4 }]);
  const asks = [{ lot: 'again', sampler: 's', version: 1, most: 9, spare: false }];
  const pulled = await finished(run, fleet.channels('f0').call(second, 'board.pull', { front: 'f0', asks }, 800));
  expect((pulled as { grants: ReadonlyArray<Grant> }).grants.length).toBe(4);
});

test('a copy that a lot comes back to holds it again', async () => {
  const run = await begin({ seed: 13, stores: [...three, 'd'], membershipReconciler: false });
  const { fleet } = run;
  await created(run, 'back');
  const all = fleet.view().current;
  const third = orderOf(run, 'back')[2]!;
  const fewer = all.filter((each) => each.name !== third);
  for (const [at, view] of [
    [fewer, all],
    [fewer, []],
    [all, fewer],
    [all, []],
  ].entries()) {
    fleet.setView({ epoch: at + 2, current: view[0]!, previous: view[1]! });
    await fleet.advance(2000);
  }
  expect(fleet.node(third)!.logs.get('back')?.entries.length).toBe(1);
});
