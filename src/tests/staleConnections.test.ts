import { afterEach, describe, expect, test } from '@jest/globals';
import type { HostBinding } from '../fleet/fleetTypes.js';
import { runItem, type RunEnd } from '../fleet/front/itemRun.js';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { loopbackFront } from './loopbackFront.js';
import { plainDialect } from './plainDialect.js';
import { standInSampler, type StandInAsk } from './standInSampler.js';
import { turns } from './turns.js';
import { virtualSamplers } from './virtualSamplers.js';

const closing: Array<() => unknown> = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

/** A sampler that forgets connections: the next request on one that it forgot is reset, and did not run. */
const forgetful = async () => {
  const forgotten = new Set<number>();
  const ran: string[] = [];
  const told = { keepAlive: '' };
  const sampler = await standInSampler((ask: StandInAsk) => {
    if (forgotten.has(ask.connection)) return void ask.socket.resetAndDestroy();
    ran.push(ask.attempt);
    const keep = told.keepAlive && `keep-alive: ${told.keepAlive}\r\n`;
    const said = `attempt: ${ask.attempt}\r\nstamp: s.1\r\n${keep}`;
    const head = `HTTP/1.1 200 OK\r\n${said}transfer-encoding: chunked\r\n\r\n`;
    ask.socket.write(`${head}a\r\nanswer to \r\n${ask.attempt.length.toString(16)}\r\n${ask.attempt}\r\n0\r\n\r\n`);
  });
  closing.push(sampler.close);
  const open = (): ReadonlyArray<number> => [...new Set(sampler.asks.map(({ connection }) => connection))];
  return {
    sampler,
    ran,
    told,
    forget: () => {
      for (const connection of open()) forgotten.add(connection);
    },
    /** Ends the connections that stand idle, as a server with a short idle time does. */
    end: () => {
      for (const { socket } of sampler.asks) socket.end();
    },
  };
};
/** A front that has kept a connection to each of so many samplers. */
const kept = async (count: number, more: Partial<HostBinding>, now?: () => number) => {
  const samplers: Array<Awaited<ReturnType<typeof forgetful>>> = [];
  for (let place = 0; place < count; place += 1) samplers.push(await forgetful());
  const front = await loopbackFront.begin(
    samplers.map(({ sampler }, place) => virtualSamplers.announced(`s${place}`, { address: sampler.address })),
    more,
    now,
  );
  closing.push(front.close);
  expect(await front.ask('first')).toEqual({ status: 200, body: 'answer to first', broken: false });
  const [used] = samplers.filter(({ ran }) => ran.length > 0);
  await turns.until(() => front.client.idle(used!.sampler.address));
  const runs = (attempt: string): number =>
    samplers.reduce((sum, { ran }) => sum + ran.filter((each) => each === attempt).length, 0);
  const sends = (attempt: string): number =>
    samplers.reduce((sum, { sampler }) => sum + sampler.asks.filter((each) => each.attempt === attempt).length, 0);
  return { front, used: used!, runs, sends };
};
const answered = (attempt: string) => ({ status: 200, body: `answer to ${attempt}`, broken: false });

describe('a kept connection that its sampler forgot', () => {
  test.each([1, 3])('leaves a once-only request in doubt, sent once, before %i samplers', async (count) => {
    const { front, used, runs, sends } = await kept(count, { kind: 'onceOnly', attempts: 5 });
    used.forget();
    expect(await front.ask('q')).toMatchObject({ status: 504, broken: false });
    expect([sends('q'), runs('q')]).toEqual([1, 0]);
    // The connection is given up: what comes next goes out on a new one and is answered.
    expect(await front.ask('r')).toEqual(answered('r'));
    expect([sends('r'), runs('r')]).toEqual([1, 1]);
  });
  test('costs a repeatable request nothing, and its sampler no rest', async () => {
    const { front, used, sends } = await kept(1, { kind: 'idempotent', attempts: 1 });
    used.forget();
    expect(await front.ask('q')).toEqual(answered('q'));
    expect(sends('q')).toBe(2);
    expect(front.directory.usable('s0')).toBe(true);
  });
  test('leaves a stream that can’t be taken up in doubt, sent once', async () => {
    const { front, used, runs, sends } = await kept(2, { kind: 'streaming', attempts: 5, resumable: false });
    used.forget();
    expect(await front.ask('q')).toMatchObject({ status: 504, broken: false });
    expect([sends('q'), runs('q')]).toEqual([1, 0]);
  });
  test('sends a stream that can be taken up to another sampler', async () => {
    const { front, used, runs } = await kept(2, { kind: 'streaming', attempts: 2, resumable: true });
    used.forget();
    expect(await front.ask('q')).toEqual(answered('q'));
    expect(runs('q')).toBe(1);
  });
  test('casts no doubt on the sampler of an item', async () => {
    const { sampler, forget } = await forgetful();
    const client = makeSamplerClient(4);
    closing.push(client.close);
    const run = (id: string): Promise<RunEnd> =>
      new Promise((resolve) =>
        runItem(
          { client, dialect: plainDialect, now: () => performance.now() },
          {
            lot: 'l',
            host: 'h',
            item: { id, path: '/p', headers: {}, body: '', tokens: 10, prompt: 1, group: 'g' },
            single: false,
            minVersion: 0,
            priority: 0,
            near: false,
            partial: { events: ['old'], lastId: 1, versions: [1], version: 1 },
          },
          {
            sampler: virtualSamplers.announced('s', { address: sampler.address }),
            model: 'm',
            version: 1,
            urgency: 5,
            stride: 1,
          },
          resolve,
          () => undefined,
        ),
      );
    await run('first');
    await turns.until(() => client.idle(sampler.address));
    forget();
    expect(await run('q')).toMatchObject({ kind: 'cut', suspect: false, partial: { events: ['old'], lastId: 1 } });
    expect(sampler.asks.map(({ attempt, connection }) => `${attempt} ${connection}`)).toEqual(['first 0', 'q 0']);
  });
});

describe('a kept connection that its sampler ended in good order', () => {
  test.each([
    ['a once-only request', { kind: 'onceOnly' }],
    ['a repeatable request', { kind: 'idempotent' }],
    ['a stream', { kind: 'streaming' }],
  ] as const)('is not used for %s', async (_what, more) => {
    const { front, used, runs, sends } = await kept(1, more);
    used.end();
    await turns.until(() => !front.client.idle(used.sampler.address));
    expect(await front.ask('q')).toEqual(answered('q'));
    expect([sends('q'), runs('q'), used.sampler.connections()]).toEqual([1, 1, 2]);
  });
});

test('a kept connection ends before the time that its sampler names for idle ones', async () => {
  const { front, used, sends } = await kept(1, { kind: 'onceOnly' });
  used.told.keepAlive = 'timeout=2';
  expect(await front.ask('q')).toEqual(answered('q'));
  await turns.until(() => front.client.idle(used.sampler.address));
  // The sampler has not ended it, and never would.
  await turns.until(() => !front.client.idle(used.sampler.address));
  expect(await front.ask('r')).toEqual(answered('r'));
  expect([sends('q'), sends('r'), used.sampler.connections()]).toEqual([1, 1, 2]);
});

describe('a kept connection that may be forgotten', () => {
  const clock = () => {
    const state = { skipped: 0 };
    return { state, now: (): number => performance.now() + state.skipped };
  };
  test.each([
    ['a once-only request', { kind: 'onceOnly' }],
    ['a stream that can’t be taken up', { kind: 'streaming', resumable: false }],
  ] as const)('is not used for %s', async (_what, more) => {
    const { state, now } = clock();
    const { front, used, runs, sends } = await kept(1, more, now);
    used.forget();
    state.skipped = 2000;
    expect(await front.ask('q')).toEqual(answered('q'));
    expect([sends('q'), runs('q'), used.sampler.connections()]).toEqual([1, 1, 2]);
  });
  test.each([
    ['a repeatable request', { kind: 'idempotent' }],
    ['a stream that can be taken up', { kind: 'streaming', resumable: true }],
  ] as const)('serves %s', async (_what, more) => {
    const { state, now } = clock();
    const { front, used } = await kept(1, more, now);
    state.skipped = 2000;
    expect(await front.ask('q')).toEqual(answered('q'));
    expect(used.sampler.connections()).toBe(1);
  });
  test('is told by how soon its sampler forgot another, for a minute', async () => {
    const { state, now } = clock();
    const sampler = await forgetful();
    const client = makeSamplerClient(4, now);
    closing.push(client.close);
    const { address } = sampler.sampler;
    const ask = async (attempt: string, once: boolean): Promise<string> => {
      const said = await new Promise<string>((resolve) => {
        const headers = { attempt, 'content-length': '0' };
        const call = { attempt, method: 'POST', path: '/', headers, body: Buffer.from('') };
        const events = {
          head: () => undefined,
          data: () => undefined,
          ended: () => resolve('ended'),
          failed: () => resolve('failed'),
        };
        client.call(address, call, 60_000, events, once);
      });
      if (said === 'ended') await turns.until(() => client.idle(address));
      return said;
    };
    expect(await ask('a', true)).toBe('ended');
    state.skipped += 1000;
    expect(client.idle(address, true)).toBe(true);
    sampler.forget();
    expect(await ask('b', false)).toBe('failed');
    expect(await ask('c', true)).toBe('ended');
    state.skipped += 900;
    expect([client.idle(address), client.idle(address, true)]).toEqual([true, false]);
    sampler.forget();
    expect(await ask('d', true)).toBe('ended');
    state.skipped += 59_000;
    expect(await ask('e', false)).toBe('ended');
    state.skipped += 900;
    expect(client.idle(address, true)).toBe(true);
  });
});
