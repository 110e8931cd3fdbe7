import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import type { FleetView } from '../fleet/watcher.js';
import type { Sampler } from '../fleet/fleetTypes.js';
import { attempts, type Attempted, type AttemptRules } from '../fleet/front/attempts.js';
import { makeHedgeControl } from '../fleet/front/hedgeControl.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { plainDialect } from './plainDialect.js';
import { standInSampler, type StandInAsk, type StandInSampler } from './standInSampler.js';
import { turns } from './turns.js';

type Way =
  | 'whole'
  | 'reset'
  | 'close'
  | 'silence'
  | 'cutHead'
  | 'cutLength'
  | 'cutChunks'
  | 'garbled'
  | 'foreign'
  | 'surplus'
  | 'garbageBehind'
  | 'notRun'
  | 'fault'
  | 'unstamped'
  | 'noSuch';

const framed = (status: string, attempt: string, body: string, more = 'stamp: s.1\r\n'): string =>
  `HTTP/1.1 ${status}\r\nattempt: ${attempt}\r\n${more}content-length: ${body.length}\r\n\r\n${body}`;
const whole = (attempt: string): string => framed('200 OK', attempt, `answer to ${attempt}`);
const cut = ({ socket }: StandInAsk, text: string): void => void socket.write(text, () => socket.destroy());
const ways: Readonly<Record<Way, (ask: StandInAsk) => void>> = {
  whole: ({ socket, attempt }) => void socket.write(whole(attempt)),
  reset: ({ socket }) => void socket.resetAndDestroy(),
  close: ({ socket }) => void socket.end(),
  silence: () => undefined,
  cutHead: (ask) => cut(ask, whole(ask.attempt).slice(0, 30)),
  cutLength: (ask) => cut(ask, whole(ask.attempt).slice(0, -3)),
  cutChunks: (ask) =>
    cut(
      ask,
      `HTTP/1.1 200 OK\r\nattempt: ${ask.attempt}\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nansw\r\n`,
    ),
  garbled: ({ socket }) => void socket.write('\u0001\u0002 no answer at all\r\n\r\n'),
  foreign: ({ socket }) => void socket.write(whole('another')),
  surplus: ({ socket, attempt }) => void socket.write(whole(attempt) + whole('another')),
  garbageBehind: ({ socket, attempt }) => void socket.write(`${whole(attempt)}\u0001\u0002 more`),
  notRun: ({ socket, attempt }) => void socket.write(framed('503 Service Unavailable', attempt, '', 'not-run: 1\r\n')),
  fault: ({ socket, attempt }) => void socket.write(framed('500 Internal Server Error', attempt, 'broken')),
  unstamped: ({ socket, attempt }) => void socket.write(framed('200 OK', attempt, 'no stamp', '')),
  noSuch: ({ socket, attempt }) => void socket.write(framed('404 Not Found', attempt, 'none')),
};
/** After these a request may have run although its answer never came whole. */
const doubtful: ReadonlyArray<Way> = ['reset', 'close', 'cutHead', 'cutLength', 'cutChunks', 'garbled', 'foreign'];
/** After these a connection is out of step. */
const odd: ReadonlyArray<Way> = [...doubtful, 'surplus', 'garbageBehind'];

const open: StandInSampler[] = [];
const started = async (script: (ask: StandInAsk, nth: number) => void): Promise<StandInSampler> => {
  const sampler = await standInSampler(script);
  open.push(sampler);
  return sampler;
};
const refusing = async (): Promise<string> => {
  const sampler = await standInSampler(() => undefined);
  await sampler.close();
  return sampler.address;
};
const announced = (address: string, place: number): Sampler => ({
  id: `i-${place}`,
  service: 'texts',
  address,
  zone: 'a',
  slots: 8,
  state: 'ready',
  beat: 1,
  quiet: false,
  models: {},
  born: place,
});
/** A front with samplers in the order in which it tries them. */
const front = (addresses: ReadonlyArray<string>) => {
  const samplers = new Map(addresses.map((address, place) => [`i-${place}`, announced(address, place)]));
  const view: FleetView = { members: new Map(), samplers, followed: undefined };
  const now = (): number => Date.now();
  const client = makeSamplerClient(20);
  const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now, chance: () => 0, idle: () => true });
  const hedges = makeHedgeControl();
  const send = (attempt: string, more: Partial<AttemptRules> = {}) => {
    let told: Attempted | undefined;
    const rules: AttemptRules = {
      attempt,
      service: 'texts',
      repeatable: false,
      most: 4,
      aimMs: 100,
      timeLeftMs: 2000,
      call: () => ({
        attempt,
        method: 'POST',
        path: '/',
        headers: { attempt, 'content-length': '2' },
        body: Buffer.from('hi'),
      }),
      allowed: () => true,
      retryFaults: true,
      ...more,
    };
    attempts({ client, directory, dialect: plainDialect, hedges, now, chance: () => 0 }, rules, (outcome) => {
      if (told) throw new Error('told twice');
      told = outcome;
    });
    const done = async (): Promise<Attempted> => {
      await turns.until(() => told !== undefined);
      return told!;
    };
    return { done, told: () => told };
  };
  return { send, forget: () => addresses.forEach(client.forget) };
};
const once = { repeatable: false };
const repeatable = { repeatable: true };
const bodyOf = (outcome: Attempted): string | undefined =>
  outcome.kind === 'answered' ? outcome.body.toString() : undefined;

beforeEach(() => {
  jest.useFakeTimers({ now: 1000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
});
afterEach(async () => {
  await Promise.all(open.splice(0).map((sampler) => sampler.close()));
  jest.useRealTimers();
});

describe('a once-only request', () => {
  test.each(doubtful)('is not sent again after %s', async (way) => {
    const [one, two] = [await started(ways[way]), await started(ways.whole)];
    expect((await front([one.address, two.address]).send('q', once).done()).kind).toBe('unknown');
    expect([one.asks.length, two.asks.length]).toEqual([1, 0]);
  });
  test('is not sent again after silence', async () => {
    const [one, two] = [await started(ways.silence), await started(ways.whole)];
    const sent = front([one.address, two.address]).send('q', once);
    await turns.until(() => one.asks.length === 1);
    jest.advanceTimersByTime(1990);
    await turns.pass(5);
    expect(sent.told()).toBeUndefined();
    jest.advanceTimersByTime(20);
    expect((await sent.done()).kind).toBe('unknown');
    await turns.pass(5);
    expect([one.asks.length, two.asks.length]).toEqual([1, 0]);
  });
  test('goes to the next sampler after a promise that it did not run', async () => {
    const [one, two] = [await started(ways.notRun), await started(ways.whole)];
    expect(bodyOf(await front([one.address, two.address]).send('q', once).done())).toBe('answer to q');
    expect([one.asks.length, two.asks.length]).toEqual([1, 1]);
  });
  test('goes to the next sampler after a refused connection', async () => {
    const two = await started(ways.whole);
    expect(
      bodyOf(
        await front([await refusing(), two.address])
          .send('q', once)
          .done(),
      ),
    ).toBe('answer to q');
  });
  test('ends as not run where nobody took it, and nothing is sent once no more may be', async () => {
    const sent = front([await refusing()]).send('q', { ...once, timeLeftMs: 60, most: 1 });
    expect((await sent.done()).kind).toBe('notRun');
    const one = await started(ways.whole);
    expect(
      (
        await front([one.address])
          .send('q', { allowed: () => false })
          .done()
      ).kind,
    ).toBe('notRun');
    expect(one.asks.length).toBe(0);
  });
  test.each([
    ['fault', 500],
    ['noSuch', 404],
  ] as const)('has the sampler’s own word of %s', async (way, status) => {
    const [one, two] = [await started(ways[way]), await started(ways.whole)];
    expect(await front([one.address, two.address]).send('q', once).done()).toMatchObject({ kind: 'answered', status });
    expect(two.asks.length).toBe(0);
  });
});

describe('a repeatable request', () => {
  test.each([...doubtful, 'notRun', 'fault', 'unstamped'] as const)('is tried elsewhere after %s', async (way) => {
    const [one, two] = [await started(ways[way]), await started(ways.whole)];
    expect(bodyOf(await front([one.address, two.address]).send('q', repeatable).done())).toBe('answer to q');
    expect([one.asks.length, two.asks.length]).toEqual([1, 1]);
  });
  test('is answered by a second sampler while the first is silent', async () => {
    const [one, two] = [await started(ways.silence), await started(ways.whole)];
    const sent = front([one.address, two.address]).send('q', { ...repeatable, aimMs: 100 });
    await turns.until(() => one.asks.length === 1);
    jest.advanceTimersByTime(39);
    await turns.pass(20);
    expect(two.asks.length).toBe(0);
    jest.advanceTimersByTime(1);
    expect(bodyOf(await sent.done())).toBe('answer to q');
    expect([one.asks.length, two.asks.length]).toEqual([1, 1]);
  });
  test('is sent to no more samplers than it may be, also by a hedge after a failure', async () => {
    const scripts = [ways.reset, ways.silence, ways.whole, ways.whole];
    const all: StandInSampler[] = [];
    for (const script of scripts) all.push(await started(script));
    const sent = front(all.map((each) => each.address)).send('q', { ...repeatable, most: 2, aimMs: 100 });
    await turns.until(() => all[1]!.asks.length === 1);
    jest.advanceTimersByTime(500);
    await turns.pass(40);
    jest.advanceTimersByTime(1500);
    await sent.done();
    expect(all.reduce((sum, each) => sum + each.asks.length, 0)).toBe(2);
  });
});

describe('an answer', () => {
  test.each([
    ['once-only', once],
    ['repeatable', repeatable],
  ])('of 2xx without stamp is no success of a %s request', async (_name, rules) => {
    const all = [await started(ways.unstamped), await started(ways.unstamped)];
    const addresses = all.map((each) => each.address);
    const outcome = await front(addresses)
      .send('q', { ...rules, most: 2 })
      .done();
    expect(outcome.kind === 'answered' && outcome.status < 300).toBe(false);
    expect(outcome.kind).not.toBe('notRun');
  });
  test.each([
    ['surplus', ['answer to q']],
    ['garbageBehind', ['answer to q', undefined]],
  ] as const)('with %s is passed on without it, and its connection is left', async (way, texts) => {
    const one = await started((ask, nth) => ways[nth === 0 ? way : 'whole'](ask));
    const { send } = front([one.address]);
    expect(texts).toContain(bodyOf(await send('q', once).done()));
    expect(bodyOf(await send('r', once).done())).toBe('answer to r');
    expect(one.asks.map((ask) => ask.connection)).toEqual([0, 1]);
  });
  test('that comes late, on an idle connection, ends that connection', async () => {
    const [one, two] = [await started(ways.whole), await started(ways.whole)];
    const { send } = front([one.address, two.address]);
    expect(bodyOf(await send('q', repeatable).done())).toBe('answer to q');
    await turns.pass(3);
    await new Promise<void>((resolve) => one.asks[0]!.socket.write(whole('q'), () => resolve()));
    await turns.pass(20);
    for (const attempt of ['r', 's', 't']) {
      expect(bodyOf(await send(attempt, repeatable).done())).toBe(`answer to ${attempt}`);
      await turns.pass(3);
    }
    // One more may have been sent there before the late bytes came.
    expect(one.asks.filter((ask) => ask.connection === 0).length).toBeLessThanOrEqual(2);
  });
  test('that is whole lets its connection serve the next request', async () => {
    const one = await started(ways.whole);
    const { send } = front([one.address]);
    for (const attempt of ['q', 'r', 's']) {
      expect(bodyOf(await send(attempt, once).done())).toBe(`answer to ${attempt}`);
      await turns.pass(3);
    }
    expect(one.connections()).toBe(1);
  });
});

describe('a kept connection that the sampler ends', () => {
  const ending = async () => {
    const one = await started((ask, nth) => ways[nth === 1 ? 'reset' : 'whole'](ask));
    const { send } = front([one.address]);
    expect(bodyOf(await send('q', once).done())).toBe('answer to q');
    await turns.pass(3);
    return { one, send };
  };
  test('leaves a once-only request in doubt, sent once', async () => {
    const { one, send } = await ending();
    expect((await send('r', once).done()).kind).toBe('unknown');
    expect(one.asks.map((ask) => ask.connection)).toEqual([0, 0]);
  });
  test('costs a repeatable request no attempt', async () => {
    const { one, send } = await ending();
    expect(bodyOf(await send('r', { ...repeatable, most: 1 }).done())).toBe('answer to r');
    expect(one.asks.map((ask) => ask.connection)).toEqual([0, 0, 1]);
  });
  test('costs attempts in the end where all of them have ended', async () => {
    const kept = 6;
    const waiting: StandInAsk[] = [];
    const one = await started((ask, nth) => {
      if (nth >= kept) return ways.reset(ask);
      waiting.push(ask);
      if (waiting.length === kept) waiting.forEach(ways.whole);
    });
    const { send } = front([one.address]);
    await Promise.all(Array.from({ length: kept }, (_, place) => send(`q${place}`, once).done()));
    await turns.pass(3);
    expect((await send('r', { ...repeatable, most: 1 }).done()).kind).toBe('unknown');
    expect(one.asks.length - kept).toBe(3);
  });
});

describe('a call that can’t be made', () => {
  test.each([
    ['to an odd port', '127.0.0.1:99999', {}],
    ['with a broken header', '127.0.0.1:1', { headers: { attempt: 'a\nb' } }],
    ['with a broken path', '127.0.0.1:1', { path: '/a b' }],
  ])('%s is told as failed and unsent, and never thrown', async (_what, address, more) => {
    const told: unknown[] = [];
    const call = { attempt: 'q', method: 'POST', path: '/', headers: {}, body: Buffer.from(''), ...more };
    makeSamplerClient(2).call(address, call, 500, {
      head: () => undefined,
      data: () => undefined,
      ended: () => told.push('ended'),
      failed: (_reason, sent) => told.push(sent),
    });
    await turns.pass(10);
    expect(told).toEqual([false]);
  });
});

test('whatever samplers do, nothing runs twice that may run once, and only whole answers count', async () => {
  const way = fc.constantFrom<Way>('whole', 'notRun', 'fault', 'noSuch', 'surplus', 'garbageBehind', ...doubtful);
  const plan = fc.record({ script: fc.array(way, { maxLength: 5 }), repeats: fc.boolean(), most: fc.nat(3) });
  await fc.assert(
    fc.asyncProperty(fc.array(plan, { minLength: 1, maxLength: 4 }), async (plans) => {
      const taken: Array<{ readonly attempt: string; readonly way: Way; readonly place: string }> = [];
      const spoilt = new Set<string>();
      const usedAgain: string[] = [];
      const samplers: StandInSampler[] = [];
      for (let place = 0; place < 6; place += 1)
        samplers.push(
          await standInSampler((ask) => {
            const number = Number(ask.attempt.slice(1));
            const before = taken.filter((each) => each.attempt === ask.attempt).length;
            const next = plans[number]!.script[before] ?? 'whole';
            const channel = `${place}/${ask.connection}`;
            if (spoilt.has(channel)) usedAgain.push(channel);
            if (odd.includes(next)) spoilt.add(channel);
            taken.push({ attempt: ask.attempt, way: next, place: channel });
            ways[next](ask);
          }),
        );
      const { send } = front(samplers.map((each) => each.address));
      for (const [number, { repeats, most }] of plans.entries()) {
        const attempt = `q${number}`;
        const outcome = await send(attempt, { repeatable: repeats, most: most + 1 }).done();
        const seen = taken.filter((each) => each.attempt === attempt).map((each) => each.way);
        const ran = seen.filter((each) => each !== 'notRun');
        const places = taken.filter((each) => each.attempt === attempt && each.way !== 'notRun');
        const sentTo = new Set(places.map((each) => each.place.split('/')[0]));
        expect(sentTo.size).toBeLessThanOrEqual(repeats ? most + 1 : 1);
        if (!repeats) expect(ran.length).toBeLessThanOrEqual(1);
        if (!repeats && ran.length === 1) expect(seen.at(-1)).toBe(ran[0]);
        if (outcome.kind === 'notRun') expect(ran).toEqual([]);
        if (outcome.kind !== 'answered') {
          expect(ran.filter((each) => !odd.includes(each) && each !== 'fault')).toEqual([]);
          expect(ran).not.toContain('surplus');
          continue;
        }
        const [text, status] = [bodyOf(outcome), outcome.status];
        if (status === 200)
          expect([text, ['whole', 'surplus', 'garbageBehind']]).toEqual([
            `answer to ${attempt}`,
            expect.arrayContaining([seen.at(-1)]),
          ]);
        else
          expect([
            [500, 'broken'],
            [404, 'none'],
          ]).toContainEqual([status, text]);
      }
      expect(usedAgain).toEqual([]);
      await Promise.all(samplers.map((each) => each.close()));
    }),
    { numRuns: 60, seed: 20261202 },
  );
});
