import { afterAll, afterEach, beforeEach, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import { promises as files, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Parted } from '../shared/parted.js';
import { openJournal, type Journal } from '../fleet/store/journal.js';
import { lotReplica, type ReplicaLog, type ReplicaRecord } from '../fleet/store/lotReplica.js';

type Found = { readonly lot: string; readonly n: number; readonly fill?: string };
type Handle = Awaited<ReturnType<typeof files.open>>;

const root = mkdtempSync(join(tmpdir(), 'journal-'));
const probe = await files.open(join(root, 'probe'), 'w');
const handles = Object.getPrototypeOf(probe) as Handle;
await probe.close();
let count = 0;
let folder = '';
beforeEach(() => {
  folder = join(root, `${(count += 1)}`, 'lots');
});
afterEach(() => {
  jest.restoreAllMocks();
});
afterAll(() => rmSync(root, { recursive: true, force: true }));

const open = async (at = folder): Promise<{ readonly journal: Journal; readonly found: ReadonlyArray<Found> }> => {
  const found: Found[] = [];
  const journal = await openJournal(at, (record) => void found.push(record as Found));
  return { journal, found };
};
const logs = (): ReadonlyArray<string> => readdirSync(folder).sort();
const fill = 'x'.repeat(1024 * 1024);
const numbers = (found: ReadonlyArray<Found>): ReadonlyArray<number> => found.map(({ n }) => n);

test('what was answered for is told in order at the next opening', async () => {
  const { journal } = await open();
  for (let n = 0; n < 5; n += 1) await journal.append('l', { lot: 'l', n });
  await Promise.all([5, 6, 7].map((n) => journal.append('m', { lot: 'm', n })));
  expect(numbers((await open()).found)).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
});

test('bytes in a record lie beside its words and are told as they were', async () => {
  const { journal } = await open();
  const bytes = Buffer.from([0, 255, 10, 34, 92, 0]);
  const record = (n: number) => ({ lot: 'l', n, held: [new Parted(bytes), new Parted(Buffer.alloc(0))] });
  await journal.append('l', record(0));
  await journal.append('l', { lot: 'l', n: 1 });
  await journal.append('l', record(2));
  const { found } = await open();
  expect(found).toEqual([record(0), { lot: 'l', n: 1 }, record(2)]);
});

test('records of one turn share one sync', async () => {
  const { journal } = await open();
  const synced = jest.spyOn(handles, 'datasync');
  await Promise.all(Array.from({ length: 50 }, (_, n) => journal.append('l', { lot: 'l', n })));
  expect(synced).toHaveBeenCalledTimes(1);
  expect(journal.stats().syncs).toBe(1);
});

test('a record is answered for only after its sync', async () => {
  const { journal } = await open();
  await journal.append('l', { lot: 'l', n: 0 });
  let answered = false;
  let before: boolean | undefined;
  const whole = handles.datasync;
  jest.spyOn(handles, 'datasync').mockImplementation(async function (this: Handle) {
    await whole.call(this);
    for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    before = answered;
  });
  await journal.append('l', { lot: 'l', n: 1 }).then(() => (answered = true));
  expect({ before, answered }).toEqual({ before: false, answered: true });
});

test('a tail that is cut or torn at any byte takes away its own record only', async () => {
  const { journal } = await open();
  await journal.append('l', { lot: 'l', n: 0 });
  const kept = journal.stats().bytes;
  await journal.append('l', { lot: 'l', n: 1 });
  const [name] = logs() as [string];
  const bytes = readFileSync(join(folder, name));
  for (let at = kept; at < bytes.length; at += 1) {
    const torn = Buffer.from(bytes);
    torn[at] = torn[at]! ^ 0x5a;
    for (const tail of [bytes.subarray(0, at), torn, Buffer.concat([bytes.subarray(0, at), Buffer.alloc(64)])]) {
      writeFileSync(join(folder, name), tail);
      const { journal: next, found } = await open();
      expect(numbers(found)).toEqual([0]);
      await next.append('l', { lot: 'l', n: 2 });
      expect(numbers((await open()).found)).toEqual([0, 2]);
      for (const each of logs()) if (each !== name) rmSync(join(folder, each));
    }
  }
});

test('segments follow one another, and the oldest go once no lot needs them', async () => {
  const { journal } = await open();
  for (let n = 0; n < 20; n += 1) await journal.append(`l${n}`, { lot: `l${n}`, n, fill });
  expect(logs()).toEqual(['00000001.log', '00000002.log', '00000003.log']);
  expect(journal.stats().segments).toBe(3);
  await journal.retire((lot) => lot === 'l9');
  expect(logs()).toEqual(['00000002.log', '00000003.log']);
  await journal.retire(() => false);
  expect(logs()).toEqual(['00000003.log']);
  await journal.append('z', { lot: 'z', n: 20 });
  const { journal: next, found } = await open();
  expect(numbers(found)).toEqual([16, 17, 18, 19, 20]);
  await next.append('z', { lot: 'z', n: 21 });
  expect(logs()).toEqual(['00000003.log', '00000004.log']);
  await next.retire((lot) => lot === 'z');
  expect(numbers((await open()).found)).toEqual([16, 17, 18, 19, 20, 21]);
});

test('segments that were found keep their lots', async () => {
  const { journal } = await open();
  for (let n = 0; n < 10; n += 1) await journal.append(`l${n}`, { lot: `l${n}`, n, fill });
  const { journal: next } = await open();
  await next.append('z', { lot: 'z', n: 10 });
  await next.retire((lot) => lot === 'l0' || lot === 'z');
  expect(logs().length).toBe(3);
  await next.retire((lot) => lot === 'z');
  expect(numbers((await open()).found)).toEqual([10]);
});

test.each(['write', 'datasync'] as const)('a %s that fails ends its segment', async (step) => {
  const { journal } = await open();
  await journal.append('l', { lot: 'l', n: 0 });
  const whole = handles.write as (this: Handle, bytes: Buffer, at: number) => Promise<{ bytesWritten: number }>;
  const failing = jest.spyOn(handles, step).mockImplementationOnce(async function (this: Handle, bytes: Buffer) {
    if (step === 'write') await whole.call(this, bytes.subarray(0, bytes.length - 3), 0);
    throw new Error('EIO');
  } as never);
  const lost = [1, 2].map((n) => journal.append('l', { lot: 'l', n }));
  const later = lost[1]!.catch(() => journal.append('l', { lot: 'l', n: 3 }));
  await expect(lost[0]).rejects.toMatchObject({ _tag: 'Fault', unknown: true });
  await expect(lost[1]).rejects.toMatchObject({ _tag: 'Fault', unknown: true });
  failing.mockRestore();
  await later;
  await journal.append('l', { lot: 'l', n: 4 });
  expect(logs()).toEqual(['00000001.log', '00000002.log']);
  const told = numbers((await open()).found);
  expect(told.filter((n) => n !== 1 && n !== 2)).toEqual([0, 3, 4]);
  expect([...told].sort()).toEqual(told);
});

test('a copy answers for nothing that stands on a write that failed', async () => {
  const { journal } = await open();
  const replica = lotReplica.make({ logs: new Map(), journal, now: () => 0 });
  const append = (i: number): Promise<boolean> => {
    const part = { lot: 'l', ballot: { round: 1, by: 'a' }, stamp: i, entries: [{ i, v: { kind: 'end' as const } }] };
    return replica.append(part).catch(() => false);
  };
  let fail: (() => void) | undefined = undefined;
  const failing = jest
    .spyOn(handles, 'write')
    .mockImplementationOnce((() => new Promise((_, no) => (fail = () => no(new Error('EIO'))))) as never);
  const first = append(0);
  while (!fail) await new Promise((resolve) => setImmediate(resolve));
  const second = append(1);
  for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  (fail as () => void)();
  const answered = [await first, await second];
  failing.mockRestore();
  const logs = new Map<string, ReplicaLog>();
  await openJournal(folder, (record) => lotReplica.applied(logs, record as ReplicaRecord, 0));
  expect(logs.get('l')?.entries.length ?? 0).toBeGreaterThanOrEqual(answered.lastIndexOf(true) + 1);
});

test('a file that cannot be opened fails its records, and the next ones are taken', async () => {
  const { journal } = await open();
  const failing = jest.spyOn(files, 'open').mockRejectedValueOnce(new Error('ENOSPC'));
  await expect(journal.append('l', { lot: 'l', n: 0 })).rejects.toMatchObject({ _tag: 'Fault' });
  failing.mockRestore();
  await journal.append('l', { lot: 'l', n: 1 });
  expect(numbers((await open()).found)).toEqual([1]);
});

test('what an opening told lasts: what an earlier life wrote without a sync is synced first', async () => {
  const { journal } = await open();
  await journal.append('l', { lot: 'l', n: 0 });
  // The process ends between the write and its sync: the record is in the page cache only.
  jest.spyOn(handles, 'datasync').mockImplementation(() => new Promise(() => undefined));
  void journal.append('l', { lot: 'l', n: 1 });
  for (
    let turn = 0;
    turn < 2000 && readFileSync(join(folder, logs()[0]!)).length <= journal.stats().bytes - 1;
    turn += 1
  )
    await new Promise((resolve) => setImmediate(resolve));
  jest.restoreAllMocks();
  const opened: Array<{ readonly name: string; readonly handle: Handle }> = [];
  const whole = files.open;
  jest.spyOn(files, 'open').mockImplementation(async (name, ...rest) => {
    const handle = await whole(name, ...rest);
    opened.push({ name: String(name), handle });
    return handle;
  });
  const synced = new Set<Handle>();
  for (const step of ['sync', 'datasync'] as const) {
    const real = handles[step];
    jest.spyOn(handles, step).mockImplementation(async function (this: Handle) {
      synced.add(this);
      await real.call(this);
    });
  }
  expect(numbers((await open()).found)).toEqual([0, 1]);
  const covered = opened.filter(({ handle }) => synced.has(handle)).map(({ name }) => name);
  expect(covered).toContain(join(folder, '00000001.log'));
});

test('replay equals what was answered for, through restarts, failed writes and retired segments', async () => {
  const step = fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({ kind: fc.constant('append' as const), count: fc.integer({ min: 1, max: 5 }) }),
    },
    {
      weight: 2,
      arbitrary: fc.record({ kind: fc.constantFrom('fail' as const, 'reopen' as const), count: fc.nat(3) }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('retire' as const), count: fc.nat(5) }) },
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 14 }), fc.boolean(), async (script, large) => {
      const at = join(root, `${(count += 1)}`, 'lots');
      let { journal } = await open(at);
      let n = 0;
      const answered: Found[] = [];
      const refused = new Set<number>();
      const needed = new Set<string>();
      for (const { kind, count: some } of script) {
        if (kind === 'reopen') ({ journal } = await open(at));
        if (kind === 'retire') {
          for (const lot of [...needed].slice(0, some)) needed.delete(lot);
          await journal.retire((lot) => needed.has(lot));
        }
        if (kind !== 'append' && kind !== 'fail') continue;
        const failing =
          kind === 'fail' ? jest.spyOn(handles, 'datasync').mockRejectedValueOnce(new Error('EIO')) : undefined;
        const records = Array.from({ length: some }, () => ({ lot: `l${(n += 1) >> 2}`, n, ...(large && { fill }) }));
        for (const { lot } of records) needed.add(lot);
        const outcomes = await Promise.allSettled(records.map((record) => journal.append(record.lot, record)));
        failing?.mockRestore();
        outcomes.forEach(({ status }, place) => {
          if (status === 'fulfilled') answered.push(records[place]!);
          else refused.add(records[place]!.n);
        });
      }
      const { found } = await open(at);
      const told = found.filter((record) => !refused.has(record.n) && needed.has(record.lot));
      expect(numbers(told)).toEqual(numbers(answered.filter((record) => needed.has(record.lot))));
      expect(numbers(found)).toEqual([...numbers(found)].sort((one, other) => one - other));
      rmSync(join(at, '..'), { recursive: true, force: true });
    }),
    { seed: 7, numRuns: 60 },
  );
});
