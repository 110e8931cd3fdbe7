import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { Grant, LotBody, Partial } from '../fleet/fleetTypes.js';
import { makeLotBoard, type LotBoard } from '../fleet/store/lotBoard.js';

const heldMs = 400;
const graceMs = 2500;
const fronts = ['f0', 'f1'];
const samplers = ['s0', 's1', 's2'];

type Seat = {
  readonly id: string;
  readonly group: string;
  state: 'waiting' | 'out' | 'listed';
  front: string;
  sampler: string;
  begun: boolean;
  outAt: number;
  faults: number;
  failed: { readonly by: string; readonly at: number } | undefined;
};

const bodyOf = (sizes: ReadonlyArray<number>, wanted: number, single: boolean): LotBody => ({
  host: 'h',
  model: 'm',
  step: 1,
  minVersion: 1,
  wanted,
  single,
  handedAt: 0,
  dueMs: 1000,
  waitMs: 1000,
  attempts: 3,
  items: sizes.flatMap((size, group) =>
    Array.from({ length: size }, (_, at) => ({
      id: `${group}.${at}`,
      path: '/p',
      headers: {},
      body: '',
      tokens: 100 * group,
      prompt: 1,
      group: `g${group}`,
    })),
  ),
});
const partialOf = (version: number): Partial => ({ events: ['e'], lastId: 1, versions: [version], version });

/** The plain model: a list of seats, counted anew each time. */
const makeModel = (body: LotBody) => {
  const seats: Seat[] = body.items.map(({ id, group }) => ({
    id,
    group,
    state: 'waiting',
    front: '',
    sampler: '',
    begun: false,
    outAt: 0,
    faults: 0,
    failed: undefined,
  }));
  const groups = [...new Set(seats.map((seat) => seat.group))];
  const of = (group: string): ReadonlyArray<Seat> => seats.filter((seat) => seat.group === group);
  const started = (group: string): boolean => of(group).some((seat) => seat.state !== 'waiting' || seat.begun);
  const left = (group: string): number => of(group).filter((seat) => seat.state === 'waiting').length;
  return {
    seats,
    seat: (id: string): Seat => seats.find((each) => each.id === id)!,
    started,
    begun: (): number => groups.filter(started).length,
    counts: () => {
      let fresh = body.wanted - groups.filter(started).length;
      let [needed, spare] = [0, 0];
      for (const group of groups) {
        if (started(group)) needed += left(group);
        else if (fresh > 0) {
          needed += left(group);
          fresh -= 1;
        } else spare += left(group);
      }
      return { needed, spare };
    },
  };
};
type Model = ReturnType<typeof makeModel>;

const freed = (seat: Seat): void =>
  void Object.assign(seat, { state: 'waiting', front: '', begun: true, failed: undefined });

/** Judges one pull against the model, then notes what it granted. */
const judgePull = (
  model: Model,
  body: LotBody,
  grants: ReadonlyArray<Grant>,
  ask: Parameters<LotBoard['pull']>[0],
  at: number,
): void => {
  expect(grants.length).toBeLessThanOrEqual(ask.most);
  if (ask.version < body.minVersion) expect(grants).toEqual([]);
  const before = model.begun();
  const [needed, spare] = [model.counts().needed, model.counts().spare];
  if (!ask.spare && needed === 0) expect(grants).toEqual([]);
  if (needed + spare === 0) expect(grants).toEqual([]);
  let fresh = false;
  for (const { item, partial } of grants) {
    const seat = model.seat(item.id);
    expect(seat.state).toBe('waiting');
    if (seat.failed?.by === ask.sampler) expect(at - seat.failed.at).toBeGreaterThanOrEqual(heldMs);
    if (partial) expect(seat.begun).toBe(true);
    if (partial && body.single) expect(partial.version).toBe(ask.version);
    // What was broken off goes on before anything of groups that nobody began.
    if (seat.begun) expect(fresh).toBe(false);
    if (!model.started(seat.group)) fresh = true;
    Object.assign(seat, { state: 'out', front: ask.front, sampler: ask.sampler, begun: false, outAt: at });
  }
  if (!ask.spare) expect(model.begun()).toBeLessThanOrEqual(Math.max(before, body.wanted));
};

type Step =
  | { readonly kind: 'pull'; readonly ask: Parameters<LotBoard['pull']>[0] }
  | { readonly kind: 'listed' | 'claim'; readonly item: number; readonly front: number; readonly sampler: number }
  | {
      readonly kind: 'back';
      readonly item: number;
      readonly front: number;
      readonly part: number;
      readonly fault: boolean;
    }
  | { readonly kind: 'release'; readonly front: number; readonly holds: ReadonlyArray<number> | undefined }
  | { readonly kind: 'wait'; readonly ms: number };

const item = fc.nat(11);
const front = fc.nat(1);
const sampler = fc.nat(2);
const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('pull' as const),
      ask: fc.record({
        front: fc.constantFrom(...fronts),
        sampler: fc.constantFrom(...samplers),
        version: fc.integer({ min: 0, max: 3 }),
        most: fc.integer({ min: 0, max: 4 }),
        spare: fc.boolean(),
      }),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constantFrom('listed' as const, 'claim' as const), item, front, sampler }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('back' as const), item, front, part: fc.nat(3), fault: fc.boolean() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      front,
      holds: fc.option(fc.array(item, { maxLength: 4 }), { nil: undefined }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.constantFrom(1, 399, 401, 2600) }) },
);
const lots = fc.record({
  sizes: fc.array(fc.integer({ min: 1, max: 3 }), { minLength: 1, maxLength: 4 }),
  wanted: fc.integer({ min: 1, max: 4 }),
  single: fc.boolean(),
  listed: fc.array(item, { maxLength: 3 }),
});

const play = (
  given: { sizes: number[]; wanted: number; single: boolean; listed: number[] },
  script: ReadonlyArray<Step>,
) => {
  const body = bodyOf(given.sizes, Math.min(given.wanted, given.sizes.length), given.single);
  const model = makeModel(body);
  const idOf = (place: number): string => body.items[place % body.items.length]!.id;
  const done = new Set(given.listed.map(idOf));
  for (const id of done) model.seat(id).state = 'listed';
  let time = 1000;
  const board = makeLotBoard({ lot: 'l', body, done, now: () => time });
  const agree = (): void => {
    expect(board.counts()).toEqual(model.counts());
    expect(board.waiting()).toBe(model.seats.filter((seat) => seat.state === 'waiting').length);
  };
  agree();
  for (const step of script) {
    if (step.kind === 'wait') time += step.ms;
    if (step.kind === 'pull') judgePull(model, body, board.pull(step.ask), step.ask, time);
    if (step.kind === 'listed') {
      board.listed(idOf(step.item));
      Object.assign(model.seat(idOf(step.item)), { state: 'listed', begun: false });
    }
    if (step.kind === 'claim') {
      const seat = model.seat(idOf(step.item));
      board.claim(seat.id, fronts[step.front]!, samplers[step.sampler]!);
      if (seat.state === 'waiting')
        Object.assign(seat, {
          state: 'out',
          front: fronts[step.front],
          sampler: samplers[step.sampler],
          begun: false,
          outAt: time,
        });
    }
    if (step.kind === 'back') {
      const seat = model.seat(idOf(step.item));
      const partial = step.part === 0 ? undefined : partialOf(step.part);
      board.back(seat.id, fronts[step.front]!, partial, step.fault);
      if (seat.state === 'out' && seat.front === fronts[step.front]) {
        freed(seat);
        if (step.fault) seat.failed = { by: seat.sampler, at: time };
      }
    }
    if (step.kind === 'release') {
      const holds = step.holds && new Set(step.holds.map(idOf));
      const gone = model.seats.filter(
        (seat) =>
          seat.state === 'out' &&
          seat.front === fronts[step.front] &&
          !(holds && (holds.has(seat.id) || time - seat.outAt < graceMs)),
      );
      expect(board.release(fronts[step.front]!, holds)).toBe(gone.length);
      gone.forEach(freed);
    }
    agree();
  }
  // Whatever happened: what waits is handed out, each item once.
  time += heldMs + 1;
  const waiting = model.seats.filter((seat) => seat.state === 'waiting').map((seat) => seat.id);
  const rest = board.pull({ front: 'f0', sampler: 's0', version: 3, most: 100, spare: true });
  expect(rest.map((grant) => grant.item.id).sort()).toEqual([...waiting].sort());
  expect(board.counts()).toEqual({ needed: 0, spare: 0 });
};

test('the board agrees with a plain model whatever fronts do', () => {
  fc.assert(
    fc.property(lots, fc.array(steps, { maxLength: 40 }), (given, script) => play(given, script)),
    { seed: 20261202, numRuns: 1500 },
  );
});

const boardOf = (sizes: ReadonlyArray<number>, wanted: number, now: () => number): LotBoard =>
  makeLotBoard({ lot: 'l', body: bodyOf(sizes, wanted, false), done: new Set(), now });
const ids = (grants: ReadonlyArray<Grant>): ReadonlyArray<string> => grants.map((grant) => grant.item.id);
const ask = { front: 'f0', version: 1, most: 1, spare: false };

test('a group goes on at the sampler that holds it, before another group begins', () => {
  const board = boardOf([2, 2, 2], 3, () => 0);
  expect(ids(board.pull({ ...ask, sampler: 's0' }))).toEqual(['0.0']);
  expect(ids(board.pull({ ...ask, sampler: 's1' }))).toEqual(['1.0']);
  expect(ids(board.pull({ ...ask, sampler: 's0' }))).toEqual(['0.1']);
  expect(ids(board.pull({ ...ask, sampler: 's1' }))).toEqual(['1.1']);
  expect(ids(board.pull({ ...ask, sampler: 's0' }))).toEqual(['2.0']);
});

test('what was broken off waits a while for its sampler, then goes on anywhere and first', () => {
  let time = 1000;
  const board = boardOf([2, 2], 2, () => time);
  board.pull({ ...ask, sampler: 's0' });
  board.back('0.0', 'f0', partialOf(1), false);
  expect(ids(board.pull({ ...ask, sampler: 's1' }))).toEqual(['1.0']);
  time += heldMs + 1;
  const [grant] = board.pull({ ...ask, sampler: 's1' });
  expect(grant).toMatchObject({ item: { id: '0.0' }, partial: partialOf(1) });
});

test('a fault counts once for each run, however often it is said', () => {
  const board = boardOf([1], 1, () => 1000);
  board.pull({ ...ask, sampler: 's0' });
  expect(board.back('0.0', 'f0', undefined, true)).toBe(1);
  // Its answer was lost, so the front says it again.
  expect(board.back('0.0', 'f0', undefined, true)).toBe(1);
  expect(board.back('0.0', 'f1', undefined, true)).toBe(1);
});

test('more groups than are wanted begin only as spare ones', () => {
  const board = boardOf([1, 1, 1], 1, () => 1000);
  expect(ids(board.pull({ ...ask, sampler: 's0', most: 9 }))).toEqual(['0.0']);
  expect(board.counts()).toEqual({ needed: 0, spare: 2 });
  expect(ids(board.pull({ ...ask, sampler: 's0', most: 9, spare: true }))).toEqual(['1.0', '2.0']);
});
