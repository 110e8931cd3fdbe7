import { expect, test } from '@jest/globals';
import type { Observation } from '../sim/fleet/observations.js';
import { changeProber } from '../soak/changeProber.js';

type Declared = Extract<Observation, { kind: 'declared' }>;

const change = (version: number, at: number, status: number, again = false): Declared => ({
  kind: 'declared',
  sentAt: at - 5,
  at,
  version,
  basedOn: version - 1,
  mark: `${version}`,
  status,
  reason: '',
  again,
});

test('a change that is acknowledged again is not taken for the newest', () => {
  const seen = [change(1, 10, 200), change(2, 20, 200), change(1, 30, 200, true)];
  expect(changeProber.newestAcknowledged(seen)?.version).toBe(2);
});

test('the newest change counts from its first acknowledgement', () => {
  const seen = [change(1, 10, 200), change(2, 20, 200), change(2, 90, 200, true)];
  expect(changeProber.newestAcknowledged(seen)?.at).toBe(20);
});

test('a later change without a clear answer may be in force, a refused one is not', () => {
  const newest = change(2, 20, 200);
  expect(changeProber.mayBeReplaced([newest, change(3, 30, 504)], newest)).toBe(true);
  expect(changeProber.mayBeReplaced([newest, change(3, 30, 412)], newest)).toBe(false);
});
