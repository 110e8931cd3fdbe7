import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { seating, type SeatedItem, type SeatedSampler, type Seating } from '../front/seating.js';
import { plainPlan } from './plainPlan.js';
import { configuration } from '../shared/configuration.js';

const rules = configuration.founded([]).seating;
const sampler = (name: string, more: Partial<SeatedSampler> = {}): SeatedSampler => ({
  name,
  incarnation: 1,
  budget: 1000,
  version: 1,
  ready: true,
  loading: false,
  closing: false,
  interactive: 0,
  unexplained: 0,
  ...more,
});
const item = (key: string, more: Partial<SeatedItem> = {}): SeatedItem => ({
  key,
  lot: key.split('/')[0]!,
  group: key.split('/').slice(0, 2).join('/'),
  step: 0,
  order: Number(key.split('/')[2]),
  taskType: 'play',
  minVersion: 0,
  singleVersion: false,
  staleness: undefined,
  promptTokens: 100,
  generated: 0,
  state: 'waiting',
  sampler: undefined,
  holderIncarnation: 1,
  holderVersion: 1,
  version: 1,
  pausedAt: 0,
  retryAt: 0,
  ...more,
});
const stateOf = (
  items: ReadonlyArray<SeatedItem>,
  samplers: ReadonlyArray<SeatedSampler>,
  more: Partial<Seating> = {},
): Seating => {
  const groups = new Map<string, { finished: number; size: number; probed: number | undefined }>();
  for (const each of items) {
    const group = groups.get(each.group) ?? { finished: 0, size: 0, probed: 100 };
    groups.set(each.group, {
      ...group,
      size: group.size + 1,
      finished: group.finished + Number(each.state === 'done'),
    });
  }
  return {
    items: new Map(items.map((each) => [each.key, each])),
    samplers: new Map(samplers.map((each) => [each.name, each])),
    groups,
    trainerStep: 0,
    ...more,
  };
};
const plan = (state: Seating, now = 0) =>
  seating
    .plan(state, rules, now)[1]
    .map((each) => `${each.kind} ${each.item} ${each.sampler}${each.held ? ' held' : ''}`);

const anyItem = (index: number): fc.Arbitrary<SeatedItem> =>
  fc
    .record({
      group: fc.nat({ max: 3 }),
      state: fc.constantFrom('waiting' as const, 'active' as const, 'paused' as const, 'done' as const),
      at: fc.constantFrom('a', 'b', 'c'),
      promptTokens: fc.integer({ min: 10, max: 400 }),
      generated: fc.nat({ max: 500 }),
      minVersion: fc.nat({ max: 3 }),
      singleVersion: fc.boolean(),
      version: fc.integer({ min: 1, max: 3 }),
      holderVersion: fc.integer({ min: 1, max: 3 }),
      pausedAt: fc.nat({ max: 9000 }),
    })
    .map(({ group, at, ...rest }) =>
      item(`lot/${group}/${index}`, { ...rest, ...(rest.state === 'waiting' ? { generated: 0 } : { sampler: at }) }),
    );
const anyState = fc
  .record({
    items: fc.tuple(...Array.from({ length: 12 }, (_, index) => anyItem(index))),
    samplers: fc.tuple(
      ...['a', 'b', 'c'].map((name) =>
        fc
          .record({
            budget: fc.integer({ min: 200, max: 2000 }),
            version: fc.integer({ min: 1, max: 3 }),
            ready: fc.boolean(),
            loading: fc.boolean(),
            interactive: fc.nat({ max: 200 }),
          })
          .map((more) => sampler(name, more)),
      ),
    ),
  })
  .map(({ items, samplers }) => stateOf(items, samplers));

describe('seating', () => {
  test('admits and resumes only on fit, on open samplers whose version fits, whatever the state', () => {
    fc.assert(
      fc.property(anyState, (before) => {
        const [after, decisions] = seating.plan(before, rules, 10_000);
        for (const decision of decisions) {
          const [moved, target] = [before.items.get(decision.item)!, before.samplers.get(decision.sampler)!];
          if (decision.kind === 'pause') {
            expect(decision.figures['used']!).toBeGreaterThan(Math.min(decision.figures['lotBudget']!, target.budget));
            continue;
          }
          expect(target.ready && !target.loading && seating.versionFits(moved, target)).toBe(true);
          expect(decision.figures['room']!).toBeGreaterThanOrEqual(seating.footprint(moved));
          if (decision.held) expect(moved.sampler === target.name && moved.holderVersion === target.version).toBe(true);
        }
        for (const target of after.samplers.values()) {
          const started = decisions.some((each) => each.kind !== 'pause' && each.sampler === target.name);
          if (started) expect(seating.usage(after, target)).toBeLessThanOrEqual(target.budget);
        }
      }),
      { seed: 11, numRuns: 2000 },
    );
  });

  test('pauses the lowest priority, near-complete groups last', () => {
    const finished = [0, 1, 2].map((index) => item(`near/0/${index}`, { state: 'done' }));
    const near = item('near/0/3', { state: 'active', sampler: 'a', promptTokens: 100, generated: 400 });
    const far = item('far/0/0', { state: 'active', sampler: 'a', promptTokens: 100, generated: 500 });
    expect(plan(stateOf([...finished, near, far], [sampler('a')]))).toEqual(['pause far/0/0 a held']);
  });

  test('resumes before it admits, and on the prefix holder while that one is open', () => {
    const paused = item('lot/0/0', { state: 'paused', sampler: 'a', generated: 300 });
    const fresh = item('lot/1/1');
    expect(plan(stateOf([paused, fresh], [sampler('a')]))).toEqual(['resume lot/0/0 a held', 'admit lot/1/1 a']);
    const full = item('lot/2/2', { state: 'active', sampler: 'a', promptTokens: 800 });
    expect(plan(stateOf([paused, full], [sampler('a'), sampler('b')]))).toEqual([]);
    expect(plan(stateOf([paused, full], [sampler('a', { ready: false }), sampler('b')]))).toEqual(['resume lot/0/0 b']);
    expect(plan(stateOf([paused], [sampler('a', { version: 2 })]))).toEqual(['resume lot/0/0 a']);
  });

  test('a sampler kept for a version takes only what was begun on that version', () => {
    const begun = item('lot/0/0', { state: 'paused', sampler: 'b', singleVersion: true, generated: 5 });
    const free = item('lot/1/1', { state: 'paused', sampler: 'b', generated: 5 });
    expect(plan(stateOf([begun, free, item('lot/2/2')], [sampler('a', { closing: true })]))).toEqual([
      'resume lot/0/0 a',
    ]);
  });

  test('a paused item that starves stops admissions where it could run', () => {
    const paused = item('lot/0/0', { state: 'paused', sampler: 'a', generated: 700 });
    const active = item('lot/2/2', { state: 'active', sampler: 'a', promptTokens: 300 });
    const fresh = item('lot/1/1');
    expect(plan(stateOf([paused, active, fresh], [sampler('a')]), rules.starvationMs)).toEqual(['admit lot/1/1 a']);
    expect(plan(stateOf([paused, active, fresh], [sampler('a')]), rules.starvationMs + 1)).toEqual([]);
  });

  test('probes a group by one item, keeps to versions, staleness and diversity', () => {
    const group = [0, 1].map((index) => item(`lot/0/${index}`));
    const unprobed = { groups: new Map([['lot/0', { finished: 0, size: 2, probed: undefined }]]) };
    expect(plan(stateOf(group, [sampler('a')], unprobed))).toEqual(['admit lot/0/0 a']);
    expect(plan(stateOf([item('lot/0/0', { minVersion: 2 })], [sampler('a')]))).toEqual([]);
    expect(
      plan(
        stateOf(
          [item('lot/0/0', { state: 'paused', singleVersion: true, generated: 5, version: 1 })],
          [sampler('a', { version: 2 })],
        ),
      ),
    ).toEqual([]);
    expect(plan(stateOf([item('lot/0/0', { step: 4, staleness: 3 })], [sampler('a')]))).toEqual([]);
    expect(plan(stateOf([item('lot/0/0', { step: 4, staleness: 3 })], [sampler('a')], { trainerStep: 1 }))).toEqual([
      'admit lot/0/0 a',
    ]);
    const active = item('x/0/0', { state: 'active', sampler: 'a', taskType: 'play' });
    expect(plan(stateOf([active, item('y/0/1'), item('z/0/2', { taskType: 'feeding' })], [sampler('a')]))[0]).toBe(
      'admit z/0/2 a',
    );
  });
});

describe('the quick plan', () => {
  const states = fc.constantFrom('waiting', 'waiting', 'active', 'paused', 'done');
  const drawn = fc.record({
    group: fc.integer({ min: 0, max: 5 }),
    state: states,
    sampler: fc.integer({ min: 0, max: 3 }),
    promptTokens: fc.integer({ min: 1, max: 400 }),
    generated: fc.integer({ min: 0, max: 300 }),
    taskType: fc.constantFrom('a', 'b', 'c'),
    step: fc.integer({ min: 0, max: 2 }),
    minVersion: fc.integer({ min: 0, max: 2 }),
    singleVersion: fc.boolean(),
    version: fc.integer({ min: 1, max: 2 }),
    pausedAt: fc.constantFrom(0, 9000),
    retryAt: fc.constantFrom(0, 0, 0, 20_000),
  });
  const drawnSampler = fc.record({
    budget: fc.integer({ min: 100, max: 2500 }),
    version: fc.integer({ min: 1, max: 2 }),
    ready: fc.boolean(),
    closing: fc.boolean(),
    interactive: fc.constantFrom(0, 0, 150),
    unexplained: fc.constantFrom(0, 0, 200),
  });
  const tables = fc.record({
    items: fc.array(drawn, { maxLength: 24 }),
    samplers: fc.array(drawnSampler, { minLength: 1, maxLength: 4 }),
    probed: fc.array(fc.option(fc.integer({ min: 1, max: 500 }), { nil: undefined }), { minLength: 6, maxLength: 6 }),
    mode: fc.constantFrom('ctb' as const, 'ctb' as const, 'admit-all' as const),
  });
  test('decides as plain sums over all items do', () => {
    let decided = 0;
    fc.assert(
      fc.property(tables, ({ items, samplers, probed, mode }) => {
        const all = items.map((each, order) => {
          const begun = each.state !== 'waiting';
          const more = {
            ...each,
            sampler: undefined,
            group: `lot/${each.group}`,
            order,
            holderVersion: each.version,
          };
          return item(`lot/${each.group}/${order}`, {
            ...more,
            sampler: begun ? `s${each.sampler}` : undefined,
            generated: begun ? each.generated : 0,
          });
        });
        const state = stateOf(
          all,
          samplers.map((each, place) => sampler(`s${place}`, each)),
        );
        const groups = new Map(
          [...state.groups].map(([key, group]) => [key, { ...group, probed: probed[Number(key.slice(4))] }]),
        );
        const given = { ...state, groups };
        const [, quick] = seating.plan(given, { ...rules, mode }, 10_000);
        const [, plain] = plainPlan(given, { ...rules, mode }, 10_000);
        decided += quick.length;
        expect(quick).toEqual(plain);
      }),
      { seed: 31, numRuns: 3000 },
    );
    expect(decided).toBeGreaterThan(2000);
  });
});
