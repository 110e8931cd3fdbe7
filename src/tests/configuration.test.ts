import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { configuration, type Change, type Configuration } from '../shared/configuration.js';

const seen = {
  cores: new Map([
    ['c1', 'd1'],
    ['c2', 'd2'],
  ]),
  stores: new Map([
    ['s1', 'e1'],
    ['s2', 'e2'],
    ['s3', 'e3'],
  ]),
};
const empty = configuration.founded([{ name: 'c1', disk: 'd1' }]);
const names = fc.constantFrom('p', 'q', 'r');
const dictionary = <T>(value: fc.Arbitrary<T>) => fc.dictionary(names, fc.option(value, { nil: null }), { maxKeys: 3 });
const change: fc.Arbitrary<Change> = fc.record(
  {
    id: fc.constant('x'),
    whole: fc.boolean(),
    services: dictionary(fc.record({ kind: fc.constantFrom('model' as const, 'plain' as const) })),
    bindings: dictionary(
      fc.record({ path: fc.constantFrom('/a', '/a/b', '/foxdeck/x'), methods: fc.constant(['GET']), service: names }),
    ),
    weights: dictionary(fc.record({ version: fc.integer({ min: 1, max: 5 }), step: fc.nat({ max: 5 }) })),
  },
  { requiredKeys: ['id'] },
);

describe('configuration', () => {
  test('no sequence of changes leads to a binding without its service, a clash, or older weights', () => {
    fc.assert(
      fc.property(fc.array(change, { maxLength: 12 }), (changes) => {
        changes.reduce<Configuration>((before, each) => {
          const after = configuration.apply(before, each, seen);
          if (after.isErr) {
            expect(after.error.length).toBeGreaterThan(0);
            return before;
          }
          const { services, bindings, weights } = after.value;
          expect(
            Object.values(bindings).every(
              (binding) => services[binding.service] !== undefined && !binding.path.startsWith('/foxdeck'),
            ),
          ).toBe(true);
          expect(new Set(Object.values(bindings).map((binding) => binding.path)).size).toBe(
            Object.keys(bindings).length,
          );
          for (const [name, value] of Object.entries(weights)) {
            expect(services[name]?.kind).toBe('model');
            if (each.whole !== true && each.weights?.[name] !== null && before.weights[name])
              expect(value.version).toBeGreaterThanOrEqual(before.weights[name]!.version);
          }
          return after.value;
        }, empty);
      }),
      { seed: 12, numRuns: 1000 },
    );
  });

  test('a store move keeps the former set until it is settled, and no second one starts', () => {
    const first = configuration.apply(empty, { id: 'a', stores: ['s1', 's2'] }, seen).unwrapOr(empty);
    expect(first.stores).toEqual({
      epoch: 1,
      current: [
        { name: 's1', disk: 'e1' },
        { name: 's2', disk: 'e2' },
      ],
      previous: [],
    });
    const moving = configuration.apply(first, { id: 'b', stores: ['s1', 's3'] }, seen).unwrapOr(empty);
    expect(moving.stores.previous).toEqual(first.stores.current);
    expect(configuration.apply(moving, { id: 'c', stores: ['s3'] }, seen).isErr).toBe(true);
    expect(configuration.apply(moving, { id: 'd', settledEpoch: 1 }, seen).isErr).toBe(true);
    expect(configuration.apply(moving, { id: 'e', settledEpoch: 2 }, seen).unwrapOr(empty).stores.previous).toEqual([]);
  });

  test('a voter is its disk: an emptied core can only be added once its former self is gone', () => {
    const emptied = { ...seen, cores: new Map([['c1', 'new']]) };
    expect(configuration.apply(empty, { id: 'a', voters: { add: 'c1' } }, emptied).isErr).toBe(true);
    const two = configuration.apply(empty, { id: 'b', voters: { add: 'c2' } }, seen).unwrapOr(empty);
    expect(two.formerVoters).toEqual(empty.voters);
    const one = configuration.apply(two, { id: 'c', voters: { remove: 'c1' } }, seen).unwrapOr(empty);
    expect(configuration.apply(one, { id: 'd', voters: { add: 'c1' } }, emptied).unwrapOr(empty).voters).toContainEqual(
      { name: 'c1', disk: 'new' },
    );
  });
});
