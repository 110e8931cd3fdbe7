import { describe, expect, test } from '@jest/globals';
import { explore, type Exploration } from '../model/explore.js';
import { leaseModel, type LeaseRule, type LeaseSize } from '../model/leaseModel.js';
import { logModel, type LogRule, type LogSize } from '../model/logModel.js';

const statesMost = 1_000_000;
const oneSequence: LogSize = { disksLost: 1, crashes: 1, sequences: 1 };
const replacement: LeaseSize = { leaseTicks: 1, ticks: 1, restarts: 0, asks: 2, replaces: true };
const restart: LeaseSize = { leaseTicks: 1, ticks: 1, restarts: 1, asks: 2, replaces: false };

const holds = (found: Exploration): void => {
  expect(found.counterexample).toBeUndefined();
  expect(found.whole).toBe(true);
  expect(found.states).toBeGreaterThan(1000);
};

describe('the configuration log', () => {
  const log = (off: LogRule | 'none'): Exploration => explore(logModel(oneSequence, off), statesMost);
  test('keeps its invariants in every state of the small model', () => holds(log('none')));
  test('breaks them without membership', () => {
    const { counterexample } = explore(logModel({ disksLost: 0, crashes: 0, sequences: 2 }, 'membership'), statesMost);
    expect(counterexample?.broken).toMatch(/a majority knows nothing|two values/);
  });
  test.each([
    ['promises', /two values/],
    ['adopts', /two values/],
    ['syncs', /a majority knows nothing/],
    ['diskIdentity', /a majority knows nothing/],
  ] as const)('breaks them without %s', (off, broken) => {
    const { counterexample } = log(off);
    expect(counterexample?.broken).toMatch(broken);
    expect(counterexample!.steps.length).toBeGreaterThan(4);
  });
});

describe('fenced leases', () => {
  const leases = (size: LeaseSize, off: LeaseRule | 'none'): Exploration => explore(leaseModel(size, off), statesMost);
  test.each([
    ['a voter is replaced', replacement],
    ['a voter restarts', restart],
  ] as const)('keep their invariants in every state of the small model while %s', (_name, size) =>
    holds(leases(size, 'none')),
  );
  test.each([
    ['electorate', replacement],
    ['newcomerWaits', replacement],
    ['grantsLast', restart],
  ] as const)('break them without %s', (off, size) => {
    const { counterexample } = leases(size, off);
    expect(counterexample?.broken).toMatch(/two hold the lease at once|fence \d+ after \d+/);
  });
});
