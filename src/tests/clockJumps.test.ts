import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import type { Channels } from '../edge/channels.js';
import { makeWatchServer } from '../fleet/core/watchServer.js';
import { watchers, type WatchRequest, type Watcher } from '../fleet/watcher.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { clockRuns } from './clockRuns.js';
import { memberOf } from './memberOf.js';
import { turns } from './turns.js';
import { virtualSamplers } from './virtualSamplers.js';

// `performance` goes on by the timers alone; `Date.now` is what jumps.
beforeEach(() => {
  jest.useFakeTimers({ now: 1_000_000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask'] });
});
afterEach(() => {
  jest.useRealTimers();
});
const someJump = fc.oneof(
  fc.integer({ min: -30_000, max: 30_000 }),
  fc.constantFrom(-900_000, -3_600_000, 3_600_000, 86_400_000),
);

describe('lots under clocks that jump', () => {
  test('are taken, handed out, listed and ended as under clocks that stand by each other', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(someJump, { minLength: 12, maxLength: 12 }), fc.boolean(), async (jumps, atFront) => {
        const offset = { front: 0, store: 0 };
        let place = 0;
        const jump = (): void => {
          offset[atFront ? 'front' : 'store'] += jumps[(place += 1) % jumps.length]!;
        };
        const fleet = clockRuns.begin({
          front: () => Date.now() + offset.front,
          store: () => Date.now() + offset.store,
        });
        const leases: number[] = [];
        const holds: Array<{ lot: string; id: string; sampler: string }> = [];
        const pass = async (ms: number): Promise<void> => {
          for (let at = 0; at < ms; at += 200) {
            jump();
            jest.advanceTimersByTime(200);
            fleet.tick();
            await turns.pass(3);
          }
        };
        for (const lot of ['l1', 'l2']) {
          jump();
          expect(await fleet.hand(lot)).toBe(202);
        }
        await pass(400);
        const { adverts } = await fleet.watch();
        expect(adverts.map(({ lot, needed }) => [lot, needed])).toEqual([
          ['l1', 6],
          ['l2', 6],
        ]);
        leases.push(...adverts.map((advert) => advert.leaseMs));
        for (const { leftMs } of adverts) expect(Number.isFinite(leftMs) && leftMs <= 5000).toBe(true);
        jump();
        const { grants } = await fleet.pull('l1', 9);
        expect(grants.map((grant) => grant.item.id)).toEqual(clockRuns.items);
        for (const { item } of grants) holds.push({ lot: 'l1', id: item.id, sampler: 's' });
        // Held items stay out over any jump, for as long as the front says that it holds them.
        for (let round = 0; round < 10; round += 1) {
          await pass(400);
          const heard = await fleet.watch(holds);
          expect(heard.adverts.map(({ needed }) => needed)).toEqual([0, 6]);
          leases.push(...heard.adverts.map((advert) => advert.leaseMs));
        }
        expect(fleet.taken).toEqual([]);
        expect(leases.every((ms) => ms >= 0 && ms <= 2000)).toBe(true);
        const waiting = fleet.read('l1', 0, 900);
        await turns.pass(3);
        jump();
        expect(await fleet.say('l1', 'i3')).toEqual(['ok']);
        expect((await waiting).map(({ id }) => id)).toEqual(['i3']);
        for (const id of ['i0', 'i5']) expect(await fleet.say('l1', id)).toEqual(['ok']);
        jump();
        expect((await fleet.read('l1')).map(({ id }) => id)).toEqual(['i3', 'i0', 'i5']);
        expect(await fleet.end('l1')).toBe(200);
        jump();
        const after = await fleet.watch();
        expect([after.adverts.map(({ lot }) => lot), after.ended]).toEqual([['l2'], ['l1']]);
        expect((await fleet.pull('l1', 9)).grants).toEqual([]);
        // A front that says nothing for long loses what it holds, by the time that passed alone.
        expect((await fleet.pull('l2', 2)).grants.length).toBe(2);
        await pass(1600);
        expect(fleet.taken).toEqual([]);
        await pass(600);
        expect(fleet.taken).toEqual(['items_taken_back']);
      }),
      { numRuns: 25, seed: 20261202 },
    );
  });
});

describe('a core’s clock', () => {
  const desk = (name: string, wall: () => number, incarnation = 1) => {
    const self = memberOf(name, 'core', incarnation);
    const now = (): number => performance.now();
    const options = { self: () => self, incarnation, beatMs: 1000, now, wall, followed: () => undefined };
    return makeWatchServer({ ...options, gatherMs: 0 });
  };
  test('that jumps lets it doubt samplers and drop nodes by the time that passed alone', () => {
    let offset = 0;
    const at = desk('core-1', () => Date.now() + offset);
    at.tell(memberOf('front-1', 'front'));
    const { quiet: _quiet, born: _born, ...told } = virtualSamplers.announced('s');
    at.announce(told);
    const names = (): ReadonlyArray<string> => at.members().map(({ name }) => name);
    for (const jump of [60_000, -200_000, 3_600_000, -3_600_000]) {
      offset += jump;
      jest.advanceTimersByTime(500);
      at.tick();
      expect([at.sampler('s')!.quiet, names()]).toEqual([false, ['core-1', 'front-1']]);
    }
    jest.advanceTimersByTime(600);
    at.tick();
    expect([at.sampler('s')!.quiet, names()]).toEqual([false, ['core-1']]);
    jest.advanceTimersByTime(700);
    at.tick();
    expect(at.sampler('s')!.quiet).toBe(true);
  });
  test('that went back lets it be followed in its new life all the same', async () => {
    const lives = [desk('core-1', () => 900_000, 900_000), desk('core-1', () => 500_000, 500_000)];
    const told = (id: string) => {
      const { quiet: _quiet, born: _born, ...rest } = virtualSamplers.announced(id);
      return rest;
    };
    lives[0]!.announce(told('old'));
    lives[1]!.announce(told('new'));
    let life = 0;
    const call = async (_address: string, _name: string, body: unknown): Promise<unknown> => {
      const asked = life;
      const answer = await lives[asked]!.follow(JSON.parse(JSON.stringify(body)) as WatchRequest);
      if (asked !== life) throw new Error('the channel closed');
      return answer;
    };
    const following: Watcher = watchers.make({
      ...{ channels: { call } as unknown as Channels, seeds: ['core-1:1'], self: () => memberOf('front-1', 'front') },
      ...{ now: () => performance.now(), outlive: () => undefined },
    });
    await turns.until(() => following.view().samplers.has('old'));
    life = 1;
    for (let at = 0; at < 3000 && !following.view().samplers.has('new'); at += 100) {
      jest.advanceTimersByTime(100);
      await turns.pass(4);
    }
    expect([...following.view().samplers.keys()]).toEqual(['new']);
    expect(following.view().members.get('core-1')!.incarnation).toBe(500_000);
    following.stop();
  });
  test('that goes on between two lives at one address leaves the later one in force', () => {
    const at = desk('core-1', () => Date.now());
    for (const id of ['former', 'later']) {
      const { quiet: _quiet, born: _born, ...told } = virtualSamplers.announced(id, { address: 's:1' });
      at.announce(told);
      jest.advanceTimersByTime(1);
    }
    const samplers = new Map([...at.samplers()].map((sampler) => [sampler.id, sampler]));
    const view = { members: new Map(), samplers, followed: undefined };
    const [now, chance] = [(): number => performance.now(), (): number => 0];
    const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now, chance, idle: () => true });
    expect(directory.of('texts').map(({ id }) => id)).toEqual(['later']);
  });
});
