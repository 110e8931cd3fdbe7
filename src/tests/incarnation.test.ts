import { afterEach, beforeEach, expect, jest, test } from '@jest/globals';
import type { Channels } from '../edge/channels.js';
import { makeWatchServer, type WatchServer } from '../fleet/core/watchServer.js';
import { watchers, type WatchRequest } from '../fleet/watcher.js';
import { memberOf } from './memberOf.js';

const desks = (names: ReadonlyArray<string>): ReadonlyMap<string, WatchServer> =>
  new Map(
    names.map((name) => {
      const options = { self: () => memberOf(name, 'core', 1), incarnation: 1, beatMs: 1000, now: () => Date.now() };
      return [`${name}:1`, makeWatchServer({ ...options, wall: () => 1, followed: () => undefined, gatherMs: 0 })];
    }),
  );

beforeEach(() => {
  jest.useFakeTimers({ now: 10_000 });
});
afterEach(() => {
  jest.useRealTimers();
});

test('a life whose clock is behind that of the former one is known at once, at every core', async () => {
  const cores = desks(['core-1', 'core-2', 'core-3']);
  for (const desk of cores.values()) desk.tell(memberOf('store-1', 'store', 900_000));
  let asks = 0;
  const call = (address: string, _name: string, body: unknown): Promise<unknown> => {
    asks += 1;
    return cores.get(address)!.follow(JSON.parse(JSON.stringify(body)) as WatchRequest);
  };
  let incarnation = 500_000;
  const watcher = watchers.make({
    channels: { call } as unknown as Channels,
    seeds: [...cores.keys()],
    self: () => ({ ...memberOf('store-1', 'store', incarnation), disk: 'another' }),
    outlive: (former) => (incarnation = Math.max(incarnation, former) + 1),
    now: () => Date.now(),
  });
  await jest.advanceTimersByTimeAsync(50);
  for (const desk of cores.values())
    expect(desk.members().find(({ name }) => name === 'store-1')).toMatchObject({ incarnation, disk: 'another' });
  expect(incarnation).toBe(900_001);
  expect(watcher.view().members.get('store-1')).toMatchObject({ disk: 'another' });
  // To each core: the word that is not taken, the next one, the news of itself, the long pull.
  expect(asks).toBeLessThanOrEqual(3 * 4);
  watcher.stop();
});

test('a core says so only of an older incarnation, and takes nothing of that word', () => {
  const [desk] = [...desks(['core-1']).values()];
  expect(desk!.tell(memberOf('front-1', 'front', 7))).toBeUndefined();
  expect(desk!.tell(memberOf('front-1', 'front', 7))).toBeUndefined();
  expect(desk!.tell({ ...memberOf('front-1', 'front', 6), state: 'leaving' })).toBe(7);
  expect(desk!.members().find(({ name }) => name === 'front-1')).toMatchObject({ incarnation: 7, state: 'ready' });
  expect(desk!.tell(memberOf('front-1', 'front', 8))).toBeUndefined();
});
