import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { Voter } from '../core/paxos.js';
import { membershipReconciler } from '../fleet/core/membershipReconciler.js';
import type { HostBinding, Member, Traffic } from '../fleet/fleetTypes.js';
import { placement } from '../policy/placement.js';
import { traffic } from '../fleet/traffic.js';

const store = (name: string, disk = `${name}-disk`): Member => ({
  name,
  role: 'store',
  zone: 'a',
  peer: `${name}:1`,
  disk,
  state: 'ready',
  incarnation: 1,
  sequence: 1,
  coreFresh: true,
});
const voter = (name: string, disk = `${name}-disk`): Voter => ({ name, disk });
const names = ['s1', 's2', 's3', 's4', 's5', 's6'];
const someNames = fc.subarray(names);
type Case = {
  readonly current: ReadonlyArray<Voter>;
  readonly present: ReadonlyArray<Member>;
  readonly emptied: ReadonlyArray<string>;
  readonly gone: ReadonlyArray<string>;
  readonly copies: number;
};
const someCase: fc.Arbitrary<Case> = fc
  .record({
    current: someNames,
    present: fc.shuffledSubarray(names),
    emptied: fc.subarray(names, { maxLength: 2 }),
    replaced: fc.subarray(names, { maxLength: 2 }),
    gone: someNames,
    tolerance: fc.nat(2),
  })
  .map(({ current, present, emptied, replaced, gone, tolerance }) => ({
    current: current.map((name) => voter(name)),
    present: present.map((name) => store(name, replaced.includes(name) ? `${name}-new` : undefined)),
    emptied,
    gone,
    copies: placement.copies(tolerance),
  }));
const next = ({ gone, ...rest }: Case, current = rest.current): ReadonlyArray<string> | undefined =>
  membershipReconciler.nextStores({ ...rest, current, absent: ({ name }) => gone.includes(name) });

describe('the next stores', () => {
  test('are never fewer than the copies, each once, none emptied, and all of those that are there', () => {
    fc.assert(
      fc.property(someCase, (state) => {
        const found = next(state);
        if (!found) return;
        expect(found.length).toBeGreaterThanOrEqual(state.copies);
        expect(new Set(found).size).toBe(found.length);
        expect(found.filter((name) => state.emptied.includes(name))).toEqual([]);
        const there = state.present.map((member) => member.name).filter((name) => !state.emptied.includes(name));
        expect(found).toEqual(expect.arrayContaining(there));
        // No machine is named that neither is there nor was in the view.
        const known = [...there, ...state.current.map((each) => each.name)];
        expect(found.filter((name) => !known.includes(name))).toEqual([]);
      }),
      { numRuns: 1000, seed: 20261202 },
    );
  });
  test('are none when the view fits, and fit once they are taken', () => {
    fc.assert(
      fc.property(someCase, (state) => {
        const found = next(state);
        if (!found) return;
        const diskOf = (name: string): string =>
          (state.present.find((member) => member.name === name) ?? state.current.find((each) => each.name === name)!)
            .disk;
        expect(
          next(
            state,
            found.map((name) => voter(name, diskOf(name))),
          ),
        ).toBeUndefined();
      }),
      { numRuns: 1000, seed: 20261203 },
    );
  });
  test('change whenever enough are there and the view lacks one, keeps an emptied one or an old disk', () => {
    fc.assert(
      fc.property(someCase, (state) => {
        const there = state.present.filter((member) => !state.emptied.includes(member.name));
        fc.pre(there.length >= state.copies);
        const wanted = there.some(
          (member) => !state.current.some((each) => each.name === member.name && each.disk === member.disk),
        );
        const unwanted = state.current.some(
          (each) =>
            state.emptied.includes(each.name) ||
            (state.gone.includes(each.name) && !there.some((member) => member.name === each.name)),
        );
        expect(next(state) !== undefined).toBe(wanted || unwanted);
      }),
      { numRuns: 1000, seed: 20261204 },
    );
  });
  test('lose one that is gone for long only while enough are left', () => {
    const state = { emptied: [], copies: 3, current: ['s1', 's2', 's3', 's4'].map((name) => voter(name)) };
    const three = ['s1', 's2', 's3'].map((name) => store(name));
    expect(next({ ...state, present: three, gone: ['s4'] })).toEqual(['s1', 's2', 's3']);
    expect(next({ ...state, present: three, gone: [] })).toBeUndefined();
    expect(next({ ...state, present: three.slice(1), gone: ['s1', 's4'] })).toBeUndefined();
    // One that is new joins all the same, and those that are gone stay until there are enough.
    const two = [store('s2'), store('s5')];
    expect(next({ ...state, present: two, gone: ['s1', 's3', 's4'] })).toEqual(['s1', 's2', 's3', 's4', 's5']);
  });
});

const binding = (name: string, more: Partial<HostBinding> = {}): HostBinding => ({
  name,
  host: 'h',
  prefix: `/${name}/`,
  kind: 'idempotent',
  timeLeftMs: 1000,
  aimMs: 100,
  priority: 5,
  attempts: 1,
  shares: [{ service: 'texts', weight: 1 }],
  resumable: false,
  single: false,
  lotDueMs: 1000,
  lotWaitMs: 1000,
  ...more,
});
const service = (name: string) => ({
  name,
  healthPath: '/health',
  channelsMost: 10,
  model: false,
  cacheTokens: 0,
  stride: 1,
  models: [],
});
const declared = (version: number, bindings: ReadonlyArray<HostBinding>): Traffic => ({
  version,
  bindings,
  services: [service('texts'), service('images')],
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  document: '{}',
});

describe('declared traffic', () => {
  const before = declared(4, [binding('a')]);
  const paths = (value: Traffic, basedOn = 4): ReadonlyArray<string> =>
    traffic.against(before, basedOn, value).map((reason) => reason.path);
  test('is taken when it is in order', () => {
    const other = binding('b', { prefix: '/a/', host: 'other' });
    const within = binding('c', {
      prefix: '/a/b/',
      shares: [
        { service: 'texts', weight: 0 },
        { service: 'images', weight: 2 },
      ],
    });
    expect(paths(declared(9, [binding('a'), other, within]))).toEqual([]);
    expect(traffic.against(undefined, 0, declared(1, []))).toEqual([]);
  });
  test.each([
    ['an unknown service', [binding('a', { shares: [{ service: 'none', weight: 1 }] })], 'service'],
    [
      'an unknown service of no weight',
      [
        binding('a', {
          shares: [
            { service: 'texts', weight: 1 },
            { service: 'none', weight: 0 },
          ],
        }),
      ],
      'service',
    ],
    ['weights that add up to 0', [binding('a', { shares: [{ service: 'texts', weight: 0 }] })], 'shares'],
    ['no share', [binding('a', { shares: [] })], 'shares'],
    [
      'a weight below 0',
      [
        binding('a', {
          shares: [
            { service: 'texts', weight: 3 },
            { service: 'images', weight: -1 },
          ],
        }),
      ],
      'shares',
    ],
    ['no time', [binding('a', { timeLeftMs: 0 })], 'timeLeftMs'],
    ['no attempt', [binding('a', { attempts: 0 })], 'attempts'],
    ['a prefix without its first slash', [binding('a', { prefix: 'a/' })], 'prefix'],
    ['a prefix without its last slash', [binding('a', { prefix: '/a' })], 'prefix'],
  ] as const)('is not taken with %s', (_what, bindings, field) => {
    expect(paths(declared(5, bindings))).toEqual([`traffic.bindings[0].${field}`]);
  });
  test('is not taken with one place or one name bound twice', () => {
    expect(paths(declared(5, [binding('a'), binding('b', { prefix: '/a/' })]))).toEqual(['traffic.bindings[1].prefix']);
    expect(paths(declared(5, [binding('a'), binding('a', { prefix: '/b/' })]))).toEqual(['traffic.bindings[1].name']);
    const doubled = { ...declared(5, []), services: [service('texts'), service('texts')] };
    expect(paths(doubled)).toEqual(['traffic.services']);
  });
  test('builds on the current version and rises above it', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 8 }), fc.integer({ min: 0, max: 8 }), (basedOn, version) => {
        const expected = [...(basedOn === 4 ? [] : ['traffic.basedOn']), ...(version > 4 ? [] : ['traffic.version'])];
        expect(paths(declared(version, []), basedOn)).toEqual(expected);
      }),
      { numRuns: 100, seed: 20261202 },
    );
    expect(paths(declared(4.5, []))).toEqual(['traffic.version']);
  });
});

describe('a request', () => {
  const part = fc.constantFrom('a', 'b', 'ab');
  const somePrefix = fc.array(part, { maxLength: 3 }).map((parts) => `/${parts.map((each) => `${each}/`).join('')}`);
  const someHost = fc.constantFrom('h', 'h.b');
  test('goes by the longest prefix of its host', () => {
    const someBindings = fc.uniqueArray(fc.tuple(someHost, somePrefix), {
      maxLength: 8,
      selector: (pair) => pair.join(' '),
    });
    fc.assert(
      fc.property(someBindings, someHost, somePrefix, fc.constantFrom('', 'a', 'x'), (pairs, host, prefix, tail) => {
        const all = pairs.map(([at, under], place) => binding(`n${place}`, { host: at, prefix: under }));
        const path = `${prefix}${tail}`;
        // Shortened a letter at a time, the path meets its longest prefix first.
        let oracle: HostBinding | undefined;
        for (let length = path.length; length > 0 && !oracle; length -= 1)
          oracle = all.find((each) => each.host === host && each.prefix === path.slice(0, length));
        expect(traffic.match(declared(1, all), host, path)).toBe(oracle);
      }),
      { numRuns: 1000, seed: 20261202 },
    );
    expect(traffic.match(undefined, 'h', '/')).toBeUndefined();
  });
  test('goes to services by their weights, and never to one of no weight', () => {
    const someWeights = fc.array(fc.integer({ min: 0, max: 5 }), { minLength: 1, maxLength: 5 });
    fc.assert(
      fc.property(someWeights, (weights) => {
        fc.pre(weights.some((weight) => weight > 0));
        const shares = weights.map((weight, place) => ({ service: `s${place}`, weight }));
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        // Chances in the middle of each unit of weight, so that each unit is met once.
        const got = Array.from({ length: total }, (_, unit) =>
          traffic.serviceFor(binding('a', { shares }), (unit + 0.5) / total),
        );
        expect(shares.map(({ service: name }) => got.filter((each) => each === name).length)).toEqual(weights);
      }),
      { numRuns: 300, seed: 20261202 },
    );
  });
  test('finds a service at the ends of chance', () => {
    const shares = [0, 1, 0, 2, 0].map((weight, place) => ({ service: `s${place}`, weight }));
    expect(traffic.serviceFor(binding('a', { shares }), 0)).toBe('s1');
    expect(traffic.serviceFor(binding('a', { shares }), 1 - 2 ** -53)).toBe('s3');
    fc.assert(
      fc.property(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }), (chance) => {
        expect(['s1', 's3']).toContain(traffic.serviceFor(binding('a', { shares }), chance));
      }),
      { numRuns: 300, seed: 20261202 },
    );
  });
});
