import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import { makeWatchServer } from '../fleet/core/watchServer.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import type { Member } from '../fleet/fleetTypes.js';
import { deskRuns } from './deskRuns.js';
import { greyFront } from './greyFront.js';
import { loopbackFront } from './loopbackFront.js';
import { returningSampler } from './returningSampler.js';
import { standInSampler } from './standInSampler.js';
import { turns } from './turns.js';
import { virtualSamplers } from './virtualSamplers.js';

const lots = Array.from({ length: 20 }, (_, at) => `lot${'x'.repeat(at % 2)}${at}`);
const closing: Array<() => unknown> = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

describe('in virtual time', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
  });
  afterEach(() => {
    jest.useRealTimers();
  });
  test.each(['reset', '500', '503'] as const)('a sampler that failed calls by %s comes back when it is well', (way) => {
    const { run } = greyFront(1, way);
    const well = run(10_000, 10, 0);
    run(10_000, 10, 0.4);
    expect(run(20_000, 10, 0)).toBeGreaterThan(well / 2);
  });
  test.each([1000, 3000])('a sampler that returns gets no more than its slots where calls last %i ms', (workMs) => {
    for (let seed = 1; seed <= 5; seed += 1) expect(returningSampler(seed, 10, workMs).most).toBeLessThanOrEqual(4);
  });
  test('a core whose clock went back between two lives at one address leaves the later one in force', () => {
    let wall = 900_000;
    const place = { name: 'core-1', zone: 'a', peer: 'core-1:1', disk: '' };
    const self: Member = { ...place, role: 'core', state: 'ready', incarnation: 1, sequence: 0, coreFresh: true };
    const now = (): number => Date.now();
    const options = { self: () => self, incarnation: 1, beatMs: 1000, now, wall: () => wall };
    const desk = makeWatchServer({ ...options, followed: () => undefined });
    for (const id of ['former', 'later']) {
      const { quiet: _quiet, born: _born, ...told } = virtualSamplers.announced(id, { address: 's:1' });
      desk.announce(told);
      wall -= 5000;
    }
    const samplers = new Map([...desk.samplers()].map((sampler) => [sampler.id, sampler]));
    const view = { members: new Map(), samplers, followed: undefined };
    const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now, chance: () => 0, idle: () => true });
    expect(directory.of('texts').map(({ id }) => id)).toEqual(['later']);
  });
});

test.each([0.5, 1])('a sampler that answers items by 500 (%d) gets fewer of them, and all are done', async (share) => {
  const { create, results, loads, total, close } = await deskRuns.begin({
    seed: 1,
    samplers: ['s0', 's1', 's2', 's3'].map((id) => virtualSamplers.announced(id, { slots: 2 })),
    answer: (call, chance) =>
      call.address === 's0:1' && chance() < share
        ? { kind: 'answer', status: 500, afterMs: 5 }
        : deskRuns.whole(call, 3, 200),
  });
  closing.push(close);
  await create(lots);
  const states = await results(60_000);
  const calls = [...loads.values()].reduce((sum, load) => sum + load.calls, 0);
  expect(states).toEqual(Array.from({ length: total() }, () => 'completed'));
  expect(loads.get('s0:1')!.calls / calls).toBeLessThan(0.25);
});

test('a stream that can be taken up is sent again at once where a kept connection was forgotten', async () => {
  let forgotten = false;
  const sampler = await standInSampler(({ connection, socket, attempt }) => {
    if (forgotten && connection === 0) return void socket.resetAndDestroy();
    socket.write(`HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\nstamp: s.1\r\ncontent-length: 5\r\n\r\nwhole`);
  });
  closing.push(sampler.close);
  const samplers = [virtualSamplers.announced('s0', { address: sampler.address })];
  const front = await loopbackFront.begin(samplers, { kind: 'streaming', attempts: 1, resumable: true });
  closing.push(front.close);
  expect(await front.ask('first')).toMatchObject({ status: 200, body: 'whole' });
  await turns.until(() => front.client.idle(sampler.address));
  forgotten = true;
  expect(await front.ask('q')).toMatchObject({ status: 200, body: 'whole' });
  expect(front.directory.usable('s0')).toBe(true);
});
