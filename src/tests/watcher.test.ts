import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import type { Channels } from '../edge/channels.js';
import { makeWatchServer, type WatchServer } from '../fleet/core/watchServer.js';
import { watchers, type Watcher, type WatchResponse, type WatchRequest } from '../fleet/watcher.js';
import type { Followed, Member, Sampler } from '../fleet/fleetTypes.js';
import { announcedSampler } from './announcedSampler.js';
import { memberOf } from './memberOf.js';
import { turns } from './turns.js';

type Told = Omit<Sampler, 'quiet' | 'born'>;

const beatMs = 1000;
const word = (id: string, beat: number, more: Partial<Sampler> = {}): Sampler => ({
  ...announcedSampler(id, beat),
  quiet: false,
  born: 1,
  ...more,
});
const now = (): number => Date.now();

type Core = {
  readonly desk: WatchServer;
  readonly self: Member;
  followed: Followed | undefined;
  readonly cut: () => void;
};
const core = (name: string, incarnation = 1): Core & { readonly follow: WatchServer['follow'] } => {
  const self = memberOf(name, 'core', incarnation);
  let cut = (): void => undefined;
  const gone = new Promise<never>((_, reject) => (cut = () => reject(new Error('cut'))));
  gone.catch(() => undefined);
  const made: Core = {
    self,
    followed: undefined,
    cut: () => cut(),
    desk: makeWatchServer({
      self: () => self,
      incarnation,
      beatMs,
      now,
      wall: now,
      followed: () => made.followed,
      gatherMs: 0,
    }),
  };
  return Object.assign(made, { follow: (ask: WatchRequest) => Promise.race([made.desk.follow(ask), gone]) });
};
/** Channels that lead to the cores of a map, over JSON as real ones do. */
const channelsTo = (cores: Map<string, ReturnType<typeof core>>, delay = 0): Channels => {
  const call = async (address: string, name: string, body: unknown): Promise<unknown> => {
    const reached = cores.get(address);
    if (!reached) throw new Error('no such core');
    if (name === 'watch.poll') {
      const answer = await reached.follow(JSON.parse(JSON.stringify(body)) as WatchRequest);
      await turns.pass(delay);
      return JSON.parse(JSON.stringify(answer)) as unknown;
    }
    reached.desk.tell((body as { readonly self: Member }).self);
    return {};
  };
  return { call } as unknown as Channels;
};
const followers: Watcher[] = [];
const watcher = (cores: Map<string, ReturnType<typeof core>>, seeds: ReadonlyArray<string>): Watcher => {
  const self = memberOf('front-1', 'front');
  const made = watchers.make({ channels: channelsTo(cores), seeds, self: () => self, now });
  followers.push(made);
  return made;
};
const sorted = (samplers: Iterable<Sampler>): ReadonlyArray<Sampler> =>
  [...samplers].sort((one, other) => (one.id < other.id ? -1 : 1));
/** A beat is not told on by itself. */
const withoutBeats = (samplers: Iterable<Sampler>): unknown => sorted(samplers).map(({ beat: _beat, ...rest }) => rest);

const someState = fc.constantFrom<Sampler['state']>('ready', 'draining', 'gone');
const someWord = fc.record({ beat: fc.nat(3), state: someState, quiet: fc.boolean() });

beforeEach(() => {
  jest.useFakeTimers({ now: 10_000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
});
afterEach(() => {
  for (const each of followers.splice(0)) each.stop();
  jest.useRealTimers();
});

describe('of two words on a sampler', () => {
  test('an end is final, then the higher beat counts, then a doubt', () => {
    fc.assert(
      fc.property(someWord, someWord, (one, other) => {
        const [left, right] = [word('s', one.beat, one), word('s', other.beat, other)];
        const later = watchers.later(left, right);
        expect([left, right]).toContain(later);
        if (left.state === 'gone' || right.state === 'gone') return expect(later.state).toBe('gone');
        expect(later.beat).toBe(Math.max(left.beat, right.beat));
        if (left.beat === right.beat) expect(later.quiet).toBe(left.quiet || right.quiet);
        return undefined;
      }),
      { seed: 20261202 },
    );
  });
  test('the same one counts in whichever order they come', () => {
    const both = (one: Sampler, other: Sampler): void =>
      expect(watchers.later(one, other)).toEqual(watchers.later(other, one));
    both(word('s', 1), word('s', 2, { state: 'draining' }));
    both(word('s', 2, { quiet: true }), word('s', 2));
    both(word('s', 2, { state: 'gone' }), word('s', 3));
  });
});

/** What a desk is told, in any order, and what it then has to hold by a plain reading. */
const plain = (words: ReadonlyArray<Told>): ReadonlyArray<Told> => {
  const kept = new Map<string, Told>();
  for (const each of words) {
    const known = kept.get(each.id);
    if (known?.state === 'gone') continue;
    if (!known || each.state === 'gone' || each.beat > known.beat) kept.set(each.id, each);
  }
  return [...kept.values()].sort((one, other) => (one.id < other.id ? -1 : 1));
};
const someTold = fc
  .record({
    id: fc.constantFrom('s1', 's2', 's3'),
    beat: fc.integer({ min: 1, max: 9 }),
    state: fc.constantFrom<Sampler['state']>('ready', 'ready', 'ready', 'draining', 'gone'),
    version: fc.nat(2),
  })
  .map(({ id, beat, state, version }) => announcedSampler(id, beat, { state, models: { m: version } }));

describe('a desk', () => {
  test('holds what a plain reading of its words holds, whatever their order', () => {
    fc.assert(
      fc.property(fc.array(someTold, { maxLength: 30 }), (words) => {
        const { desk } = core('core-1');
        words.forEach((each, place) => {
          const before = JSON.stringify(plain(words.slice(0, place)).map(({ beat: _beat, ...rest }) => rest));
          const after = JSON.stringify(plain(words.slice(0, place + 1)).map(({ beat: _beat, ...rest }) => rest));
          expect(desk.announce(each)).toBe(before !== after);
        });
        expect(sorted(desk.samplers()).map(({ quiet: _quiet, born: _born, ...rest }) => rest)).toEqual(plain(words));
      }),
      { numRuns: 200, seed: 20261202 },
    );
  });
  test('doubts a sampler that falls silent, and no more once it speaks', () => {
    const { desk } = core('core-1');
    desk.announce(announcedSampler('s', 1));
    jest.advanceTimersByTime(beatMs * 3);
    desk.tick();
    expect(desk.sampler('s')?.quiet).toBe(false);
    jest.advanceTimersByTime(beatMs);
    desk.tick();
    expect(desk.sampler('s')?.quiet).toBe(true);
    desk.announce(announcedSampler('s', 2));
    expect(desk.sampler('s')?.quiet).toBe(false);
  });
  test('drops a node that is silent, and takes no older life of a node', () => {
    const { desk } = core('core-1');
    const names = () => desk.members().map(({ name, incarnation }) => `${name}#${incarnation}`);
    desk.tell(memberOf('front-1', 'front', 5));
    desk.tell(memberOf('front-1', 'front', 4));
    expect(names()).toEqual(['core-1#1', 'front-1#5']);
    jest.advanceTimersByTime(2500);
    desk.tick();
    expect(names()).toEqual(['core-1#1']);
  });
  test('tells news that comes close together in one answer, and the first at once', async () => {
    const self = memberOf('core-1', 'core');
    const desk = makeWatchServer({
      self: () => self,
      incarnation: 1,
      beatMs,
      now,
      wall: now,
      followed: () => undefined,
    });
    const ask = { self: memberOf('front-1', 'front'), incarnation: 0, revision: 0, sequence: 0, trafficVersion: 0 };
    let { revision } = await desk.follow(ask);
    const answers: WatchResponse[] = [];
    const again = async (): Promise<void> => {
      const answer = await desk.follow({ ...ask, incarnation: 1, revision });
      revision = answer.revision;
      answers.push(answer);
      if (answers.length < 3) void again();
    };
    await turns.pass(3);
    jest.advanceTimersByTime(200);
    void again();
    desk.announce(announcedSampler('s0', 1));
    await turns.until(() => answers.length === 1);
    for (let at = 1; at <= 9; at += 1) desk.announce(announcedSampler(`s${at}`, 1));
    await turns.pass(5);
    expect(answers.length).toBe(1);
    jest.advanceTimersByTime(100);
    await turns.until(() => answers.length === 2);
    expect(answers[1]!.samplers?.length).toBe(9);
  });
  test('answers a watcher at once when there is news, and holds it otherwise', async () => {
    const { desk } = core('core-1');
    const ask = { self: memberOf('front-1', 'front'), incarnation: 0, revision: 0, sequence: 0, trafficVersion: 0 };
    const first = await desk.follow(ask);
    // What the first ask told of its node wakes those who wait.
    await turns.pass(3);
    let second: WatchResponse | undefined;
    void desk.follow({ ...ask, incarnation: 1, revision: first.revision }).then((answer) => (second = answer));
    await turns.pass(5);
    expect(second).toBeUndefined();
    desk.announce(announcedSampler('s', 1));
    await turns.until(() => second !== undefined);
    expect(second!.samplers?.map((each) => each.id)).toEqual(['s']);
    expect(second!.members).toBeUndefined();
    let third: WatchResponse | undefined;
    void desk.follow({ ...ask, incarnation: 1, revision: second!.revision }).then((answer) => (third = answer));
    await turns.pass(5);
    expect(third).toBeUndefined();
    jest.advanceTimersByTime(1000);
    await turns.until(() => third !== undefined);
    expect(third).toEqual({ core: 'core-1', incarnation: 1, revision: second!.revision });
  });
});

describe('a watcher', () => {
  const step = fc.oneof(
    { weight: 6, arbitrary: someTold.map((sampler) => ({ kind: 'announce' as const, sampler })) },
    { weight: 2, arbitrary: fc.constant({ kind: 'tick' as const }) },
    { weight: 2, arbitrary: fc.nat(3).map((count) => ({ kind: 'turns' as const, count })) },
    { weight: 1, arbitrary: fc.constant({ kind: 'register' as const }) },
    { weight: 1, arbitrary: fc.constant({ kind: 'restart' as const }) },
  );
  test('ends with the tables of its core, also after the core begins anew', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 30 }), async (steps) => {
        let [sequence, life] = [0, 1];
        let at = core('core-1', life);
        const cores = new Map([['core-1:1', at]]);
        const following = watcher(cores, ['core-1:1']);
        for (const each of steps) {
          if (each.kind === 'announce') at.desk.announce(each.sampler);
          if (each.kind === 'turns') await turns.pass(each.count);
          if (each.kind === 'tick') {
            jest.advanceTimersByTime(700);
            at.desk.tick();
          }
          if (each.kind === 'register') {
            sequence += 1;
            const stores = { epoch: sequence, current: [], previous: [] };
            at.followed = { sequence, models: { m: sequence }, stores, voters: [], electorate: 1, traffic: undefined };
            at.desk.wake();
          }
          if (each.kind === 'restart') {
            const before = at;
            life += 1;
            at = core('core-1', life);
            at.followed = before.followed;
            cores.set('core-1:1', at);
            before.cut();
          }
        }
        // A watcher that was cut off pauses before it asks again; a held ask ends.
        for (let round = 0; round < 3; round += 1) {
          await turns.pass(6);
          jest.advanceTimersByTime(300);
        }
        await turns.pass(6);
        const view = following.view();
        expect(withoutBeats(view.samplers.values())).toEqual(withoutBeats(at.desk.samplers()));
        expect([...view.members.keys()].sort()).toEqual(['core-1', 'front-1']);
        expect(view.members.get('core-1')!.incarnation).toBe(life);
        expect(view.followed?.sequence ?? 0).toBe(sequence);
        expect(view.followed?.models ?? {}).toEqual(sequence > 0 ? { m: sequence } : {});
        following.stop();
        at.cut();
      }),
      { numRuns: 60, seed: 20261202 },
    );
  });
  test('loses a sampler that its core gave up', async () => {
    const at = core('core-1');
    const following = watcher(new Map([['core-1:1', at]]), ['core-1:1']);
    at.desk.announce(announcedSampler('s', 1));
    await turns.until(() => following.view().samplers.has('s'));
    for (let second = 0; second < 100; second += 1) {
      jest.advanceTimersByTime(1000);
      at.desk.tick();
      await turns.pass(4);
    }
    const there = (samplers: Iterable<Sampler>) => [...samplers].filter((sampler) => sampler.state !== 'gone');
    expect(there(at.desk.samplers())).toEqual([]);
    expect(there(following.view().samplers.values())).toEqual([]);
  });
  test.each([
    ['draining', 'core-1', 'core-2'],
    ['draining', 'core-2', 'core-1'],
    ['gone', 'core-1', 'core-2'],
    ['gone', 'core-2', 'core-1'],
  ] as const)('has a sampler %s when %s says so, whatever older word %s has', async (state, one, other) => {
    const cores = new Map([one, other].sort().map((name) => [`${name}:1`, core(name)]));
    const following = watcher(cores, [...cores.keys()]);
    const at = (name: string) => cores.get(`${name}:1`)!.desk;
    at(other).announce(announcedSampler('s', 4));
    at(one).announce(announcedSampler('s', 5, { state }));
    await turns.until(() => following.view().samplers.get('s')?.state === state);
    // The older core says something new of it all the same.
    at(other).announce(announcedSampler('s', 4));
    at(other).announce(announcedSampler('s2', 1));
    await turns.until(() => following.view().samplers.has('s2'));
    expect(following.view().samplers.get('s')?.state).toBe(state);
  });
  test.each([1, 2, 3, 5, 6, 9])('of %i cores, any two nodes follow more in common than may be lost', (cores) => {
    for (let tolerance = 0; 2 * tolerance < cores; tolerance += 1) {
      const width = watchers.width(cores, tolerance);
      expect(width).toBeLessThanOrEqual(cores);
      expect(2 * width - cores).toBeGreaterThan(tolerance);
    }
    expect(watchers.width(cores, undefined)).toBe(cores);
  });
  test('goes on with the other core when one falls silent', async () => {
    const cores = new Map(['core-1', 'core-2'].map((name) => [`${name}:1`, core(name)]));
    const following = watcher(cores, [...cores.keys()]);
    const [one, two] = [...cores.values()];
    one!.desk.announce(announcedSampler('s1', 1));
    two!.desk.announce(announcedSampler('s2', 1));
    await turns.until(() => following.view().samplers.size === 2);
    cores.delete('core-1:1');
    one!.cut();
    for (let round = 0; round < 20; round += 1) {
      await turns.pass(4);
      jest.advanceTimersByTime(300);
    }
    expect([...following.view().samplers.keys()]).toEqual(['s2']);
    expect(following.heard()).toBe(true);
  });
});

describe('cores that hear each other', () => {
  /** Each core takes the other's words, as the core program has it. */
  const linked = () => {
    const names = ['core-1', 'core-2'];
    const cores = new Map(names.map((name) => [`${name}:1`, core(name)]));
    let heard = 0;
    for (const [address, { desk, self }] of cores) {
      const seeds = [...cores.keys()].filter((each) => each !== address);
      const made = watchers.make({ channels: channelsTo(cores, 3), seeds, self: () => self, now });
      followers.push(made);
      made.onChange((before, after) => {
        for (const sampler of after.samplers.values())
          if (before.samplers.get(sampler.id) !== sampler) {
            heard += 1;
            desk.hear(sampler);
          }
      });
    }
    const [one, two] = [...cores.values()].map(({ desk }) => desk);
    return { one: one!, two: two!, heard: () => heard };
  };
  test('do not doubt a sampler that now speaks to the other', async () => {
    const { one, two } = linked();
    await turns.pass(10);
    one.announce(announcedSampler('s', 1));
    await turns.until(() => two.sampler('s') !== undefined);
    const doubts: string[] = [];
    for (let beat = 2; beat < 12; beat += 1) {
      two.announce(announcedSampler('s', beat));
      for (let quarter = 0; quarter < 4; quarter += 1) {
        jest.advanceTimersByTime(beatMs / 4);
        one.tick();
        two.tick();
        await turns.pass(8);
        if (two.sampler('s')!.quiet) doubts.push(`${beat}.${quarter}`);
      }
    }
    expect(doubts).toEqual([]);
  });
  test('come to rest when a sampler spoke to both', async () => {
    const { one, two, heard } = linked();
    await turns.pass(10);
    one.announce(announcedSampler('s', 1));
    jest.advanceTimersByTime(1);
    two.announce(announcedSampler('s', 2));
    await turns.pass(30);
    const before = heard();
    await turns.pass(60);
    expect(heard()).toBe(before);
    expect(one.sampler('s')).toEqual(two.sampler('s'));
  });
});
