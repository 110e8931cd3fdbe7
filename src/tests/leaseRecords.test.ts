import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { openLeaseRecords } from '../core/leaseRecords.js';
import { realDisk } from '../edge/realDisk.js';

let folder = '';
beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'leases-'));
});
afterEach(() => rmSync(folder, { recursive: true, force: true }));

const open = (freshDisk: boolean) => openLeaseRecords(realDisk(folder), freshDisk);
const grant = { holder: 'front-1#1', token: 2001 };
const bounds = { electorate: 2, fenceFloor: 2000 };

test('what was kept is known after a restart, with its bounds', async () => {
  const records = await open(true);
  expect(records.known).toEqual({ electorate: 0, fenceFloor: 0, leases: new Map() });
  expect(await records.keep('order/a', grant, bounds)).toBe(true);
  expect((await open(false)).known).toEqual({ ...bounds, leases: new Map([['order/a', grant]]) });
});

test('grants that come together last together', async () => {
  const records = await open(true);
  const names = Array.from({ length: 40 }, (_, place) => `order/${place}`);
  const kept = await Promise.all(names.map((name) => records.keep(name, grant, bounds)));
  expect(kept).toEqual(names.map(() => true));
  expect([...(await open(false)).known!.leases.keys()].sort()).toEqual([...names].sort());
});

test('a file that is damaged or gone is noticed, on a disk that is not fresh', async () => {
  const path = join(folder, 'leases');
  await open(true);
  const bytes = readFileSync(path);
  bytes[bytes.length - 3]! ^= 1;
  writeFileSync(path, bytes);
  expect((await open(false)).known).toBeUndefined();
  rmSync(path);
  expect((await open(false)).known).toBeUndefined();
});

test('a grant that could not be written is told so', async () => {
  const whole = realDisk(folder);
  let failing = false;
  const records = await openLeaseRecords(
    {
      ...whole,
      write: (path, body) => (failing ? (whole.read('nothing is there') as never) : whole.write(path, body)),
    },
    true,
  );
  failing = true;
  expect(await records.keep('order/a', grant, bounds)).toBe(false);
  failing = false;
  expect(await records.keep('order/b', grant, bounds)).toBe(true);
});
