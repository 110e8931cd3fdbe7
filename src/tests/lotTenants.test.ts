import { describe, expect, test } from '@jest/globals';
import type { LotCall } from '../fleet/dialect.js';
import { clockRuns } from './clockRuns.js';

const caller = (tenant?: string) => ({ keysInUse: true, ...(tenant !== undefined && { tenant }) });
const begin = () => clockRuns.begin({ front: () => 1, store: () => 1 });
const read: LotCall = { kind: 'read', lot: 'l1', after: 0, waitMs: 0 };
const item: LotCall = { kind: 'item', lot: 'l1', id: clockRuns.items[0]! };
const end: LotCall = { kind: 'end', lot: 'l1' };

describe('a lot of a tenant', () => {
  test('is read, ended and handed in again by that tenant alone', async () => {
    const fleet = begin();
    expect(await fleet.hand('l1', caller('north'))).toBe(202);
    for (const other of [caller('south'), caller()]) {
      for (const call of [read, item, end]) expect(await fleet.call(call, other)).toBe(403);
      expect(await fleet.hand('l1', other)).toBe(403);
    }
    expect((await fleet.pull('l1', 1)).grants).toHaveLength(1);
    expect(await fleet.hand('l1', caller('north'))).toBe(202);
    for (const call of [read, item, end]) expect(await fleet.call(call, caller('north'))).toBe(200);
  });
  test('is handed out with its tenant', async () => {
    const fleet = begin();
    await fleet.hand('l1', caller('north'));
    const { grants } = await fleet.pull('l1', 2);
    expect(grants.map((grant) => grant.tenant)).toEqual(['north', 'north']);
  });
  test('is anybody’s once keys are in use no more', async () => {
    const fleet = begin();
    await fleet.hand('l1', caller('north'));
    expect(await fleet.call(read, { keysInUse: false })).toBe(200);
  });
});

test('a lot that was handed in without a tenant is anybody’s, and handed out without one', async () => {
  const fleet = begin();
  expect(await fleet.hand('l1')).toBe(202);
  expect(await fleet.call(read, caller('south'))).toBe(200);
  const { grants } = await fleet.pull('l1', 1);
  expect(grants[0]).not.toHaveProperty('tenant');
});
