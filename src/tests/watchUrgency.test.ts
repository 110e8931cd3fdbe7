import { afterEach, beforeEach, expect, jest, test } from '@jest/globals';
import { makeWatchServer, type WatchServer } from '../fleet/core/watchServer.js';
import type { Followed, Sampler } from '../fleet/fleetTypes.js';
import type { WatchRequest, WatchResponse } from '../fleet/watcher.js';
import { announcedSampler } from './announcedSampler.js';
import { memberOf } from './memberOf.js';
import { turns } from './turns.js';

const holdMs = 900;
const front = memberOf('front-1', 'front');
const announced = (beat: number, version: number, state: Sampler['state'] = 'ready') =>
  announcedSampler('s1', beat, { models: { m0: version }, state });

let server: WatchServer;
let followed: Followed | undefined;
beforeEach(() => {
  jest.useFakeTimers({ now: 10_000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
  followed = undefined;
  const core = memberOf('core-1', 'core');
  server = makeWatchServer({
    self: () => core,
    incarnation: 1,
    beatMs: 1200,
    now: Date.now,
    wall: Date.now,
    followed: () => followed,
    gatherMs: 0,
  });
});
afterEach(() => {
  jest.useRealTimers();
});
const ask = (revision: number): WatchRequest => ({
  self: front,
  incarnation: revision === 0 ? 0 : 1,
  revision,
  sequence: 0,
  trafficVersion: 0,
});
/** A watcher that knows of the sampler and polls again. */
const following = async (): Promise<{ readonly answer: () => WatchResponse | undefined }> => {
  server.announce(announced(1, 1));
  const { revision } = await server.follow(ask(0));
  await turns.pass(3);
  let answer: WatchResponse | undefined;
  void server.follow(ask(revision)).then((heard) => (answer = heard));
  await turns.pass(3);
  return { answer: () => answer };
};

test('a sampler that drains is told at once, and its newer weights with it', async () => {
  const { answer } = await following();
  server.announce(announced(2, 2));
  await turns.pass(3);
  expect(answer()).toBeUndefined();
  server.announce(announced(3, 2, 'draining'));
  await turns.pass(3);
  expect(answer()?.samplers).toMatchObject([{ id: 's1', state: 'draining', models: { m0: 2 } }]);
});

test('newer weights wait for the end of the poll, and do not end the one after it', async () => {
  const { answer } = await following();
  server.announce(announced(2, 2));
  jest.advanceTimersByTime(holdMs + 1);
  await turns.pass(3);
  expect(answer()?.samplers).toMatchObject([{ models: { m0: 2 } }]);
  server.announce(announced(3, 3));
  let next: WatchResponse | undefined;
  void server.follow(ask(answer()!.revision)).then((heard) => (next = heard));
  await turns.pass(3);
  expect(next).toBeUndefined();
  jest.advanceTimersByTime(holdMs + 1);
  await turns.pass(3);
  expect(next?.samplers).toMatchObject([{ models: { m0: 3 } }]);
});

test('a beat alone is told to nobody', async () => {
  const { answer } = await following();
  server.announce(announced(2, 1));
  jest.advanceTimersByTime(holdMs + 1);
  await turns.pass(3);
  expect(answer()).toBeDefined();
  expect(answer()?.samplers).toBeUndefined();
});

const stores = (epoch: number): Followed['stores'] => ({ epoch, current: [{ name: 's', disk: 'd' }], previous: [] });
test('stores and voters come once, and again when they changed', async () => {
  followed = { sequence: 1, models: { m0: 1 }, stores: stores(1), voters: [], electorate: 1, traffic: undefined };
  const first = await server.follow(ask(0));
  expect(first.followed).toEqual({ sequence: 1, models: { m0: 1 }, stores: stores(1), voters: [], electorate: 1 });
  const next = (sequence: number): Promise<WatchResponse> => server.follow({ ...ask(first.revision), sequence });
  followed = { ...followed, sequence: 2, models: { m0: 2 } };
  expect((await next(1)).followed).toEqual({ sequence: 2, models: { m0: 2 } });
  followed = { ...followed, sequence: 3, stores: stores(2) };
  expect((await next(2)).followed).toMatchObject({ sequence: 3, stores: { epoch: 2 } });
  // Whoever missed sequences gets what changed in them.
  followed = { ...followed, sequence: 4 };
  expect((await next(2)).followed).toMatchObject({ sequence: 4, stores: { epoch: 2 } });
  expect((await next(3)).followed).toEqual({ sequence: 4, models: { m0: 2 } });
});

test('a node that a core does not know by its brief word is asked for the whole of it', async () => {
  const brief = { name: front.name, incarnation: front.incarnation };
  const { self: _self, ...withoutSelf } = ask(0);
  expect((await server.follow({ ...withoutSelf, brief })).selfUnknown).toBe(true);
  const { revision } = await server.follow(ask(0));
  await turns.pass(3);
  const names = (): ReadonlyArray<string> => server.members().map(({ name }) => name);
  const briefly = (): Promise<WatchResponse> => server.follow({ ...withoutSelf, incarnation: 1, revision, brief });
  // Brief words keep it present for as long as they come.
  for (let at = 0; at < 5; at += 1) {
    const polled = briefly();
    jest.advanceTimersByTime(holdMs + 1);
    expect((await polled).selfUnknown).toBeUndefined();
    server.tick();
    expect(names()).toContain(front.name);
  }
  jest.advanceTimersByTime(4000);
  server.tick();
  expect(names()).not.toContain(front.name);
  expect((await briefly()).selfUnknown).toBe(true);
});
