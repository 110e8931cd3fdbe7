import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { placement, type Candidate, type Wish } from '../cli/placement.js';
import { checked } from '../shared/checked.js';

const machine = (name: string, domain: string, more: Partial<Candidate> = {}): Candidate => ({
  name,
  domain,
  inUse: false,
  budget: 100,
  ...more,
});
const three = [machine('s1', 'a', { inUse: true }), machine('s2', 'a'), machine('s3', 'b'), machine('s4', 'c')];

const range = fc.record({ least: fc.nat({ max: 3 }), most: fc.nat({ max: 5 }) }, { requiredKeys: [] });
const anyWish: fc.Arbitrary<Wish> = fc.record(
  {
    count: range,
    perDomain: range,
    domains: fc.dictionary(fc.constantFrom('a', 'b', 'z'), range, { maxKeys: 2 }),
    keep: fc.array(fc.constantFrom('m0', 'm1', 'gone'), { maxLength: 1 }),
    avoid: fc.array(fc.constantFrom('m0', 'm2'), { maxLength: 1 }),
    leastBudget: fc.nat({ max: 400 }),
  },
  { requiredKeys: [] },
);
const anyMachines = fc
  .array(fc.record({ domain: fc.constantFrom('a', 'b', 'c'), inUse: fc.boolean(), budget: fc.nat({ max: 200 }) }), {
    minLength: 1,
    maxLength: 7,
  })
  .map((all) => all.map((each, place) => ({ name: `m${place}`, ...each })));

/** Whether a choice keeps a wish, word by word. */
const keeps = (wish: Wish, all: ReadonlyArray<Candidate>, chosen: ReadonlyArray<Candidate>): boolean => {
  const within = (given: { least?: number; most?: number } | undefined, count: number): boolean =>
    count >= (given?.least ?? 0) && count <= (given?.most ?? Infinity);
  const inside = (domain: string): number => chosen.filter((each) => each.domain === domain).length;
  const has = (name: string): boolean => chosen.some((each) => each.name === name);
  return (
    within(wish.count ?? { least: 1 }, chosen.length) &&
    [...new Set(all.map((each) => each.domain))].every((domain) => within(wish.perDomain, inside(domain))) &&
    Object.entries(wish.domains ?? {}).every(([domain, given]) => within(given, inside(domain))) &&
    (wish.keep ?? []).every(has) &&
    !(wish.avoid ?? []).some(has) &&
    chosen.reduce((sum, each) => sum + each.budget, 0) >= (wish.leastBudget ?? 0)
  );
};
const cost = (chosen: ReadonlyArray<Candidate>): number =>
  chosen.reduce((sum, each) => sum + (each.inUse ? 1 : 1.5), 0);

describe('a placement', () => {
  test('spreads over the domains and keeps what is in use', () => {
    const found = placement.place('stores', { count: { least: 3, most: 3 }, perDomain: { most: 1 } }, three);
    expect(found).toEqual({ state: 'placed', chosen: ['s1', 's3', 's4'] });
  });
  test('that cannot be is told which constraints clash', () => {
    const wish = { count: { least: 3 }, perDomain: { most: 1 }, avoid: ['s4'] };
    expect(placement.place('stores', wish, three)).toEqual({
      state: 'impossible',
      reasons: ['stores.count least 3', 'stores.perDomain (a) most 1', 'stores.avoid s4 most 0'],
    });
  });
  test('is as good as the best of all choices, and there is one when there is any', () => {
    const run = { put: 0, none: 0 };
    fc.assert(
      fc.property(anyWish, anyMachines, (wish, machines) => {
        const choices = Array.from({ length: 2 ** machines.length }, (_, bits) =>
          machines.filter((__, place) => (bits >> place) & 1),
        ).filter((chosen) => keeps(wish, machines, chosen));
        const found = placement.place('x', wish, machines);
        if (found.state === 'impossible') {
          run.none += 1;
          expect(found.reasons.length).toBeGreaterThan(0);
          expect(choices.length).toBe(0);
          return;
        }
        run.put += 1;
        const chosen = machines.filter((each) => found.chosen.includes(each.name));
        expect(keeps(wish, machines, chosen)).toBe(true);
        expect(cost(chosen)).toBeCloseTo(Math.min(...choices.map(cost)));
      }),
      { seed: 9, numRuns: 400 },
    );
    expect(run.put).toBeGreaterThan(50);
    expect(run.none).toBeGreaterThan(50);
  });
  test.each([
    [{ stores: { count: { least: 3 } } }, 'id'],
    [{ id: 'x', stores: { counts: 3 } }, 'stores'],
    [{ id: 'x', samplers: { a: { count: { least: -1 } } } }, 'samplers.a.count.least'],
  ])('of a malformed file is bounced with its path', (document, path) => {
    const shape = checked(placement.schema, document);
    expect(shape.isErr && shape.error.map((reason) => reason.path)).toContain(path);
  });
});
