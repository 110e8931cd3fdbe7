import { afterEach, describe, expect, test } from '@jest/globals';
import { makeSamplerClient, type CallEvents } from '../fleet/samplerClient.js';
import { itemRuns } from './itemRuns.js';
import { spoiltFront } from './spoiltFront.js';
import { standInSampler, type StandInAsk } from './standInSampler.js';

const { before, whole, closing, close } = spoiltFront;
afterEach(close);

const headOf = (statusLine: string, attempt: string): string =>
  `HTTP/1.1 ${statusLine}\r\nattempt: ${attempt}\r\nstamp: s.1\r\ncontent-length: 4\r\n\r\n`;
const soundAnswer = ({ socket, attempt }: StandInAsk): void => void socket.write(whole(attempt));

const routes = [
  ['a repeatable request', { kind: 'idempotent' }],
  ['a once-only request', { kind: 'onceOnly' }],
  ['a stream', { kind: 'streaming', resumable: false }],
  ['a stream that can be taken up', { kind: 'streaming', resumable: true }],
] as const;

describe.each(['000 OK', '099 OK', '101 Switching Protocols', '600 OK', '999 OK'])('an answer of %s', (statusLine) => {
  const answer = ({ socket, attempt }: StandInAsk): void => void socket.write(`${headOf(statusLine, attempt)}well`);

  test.each(routes)('is none: the front lives on and answers %s', async (_what, more) => {
    const { front, asks } = await before(answer, { attempts: 2, ...more });
    const again = more.kind === 'idempotent' || ('resumable' in more && more.resumable);
    expect(await front.ask('q')).toMatchObject(again ? { status: 200, body: 'well' } : { status: 504, broken: false });
    expect(asks()).toEqual([1, again ? 1 : 0]);
  });
});

describe('a success without its stamp', () => {
  const unstamped = ({ socket, attempt }: StandInAsk): void =>
    void socket.write(`HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\nstamq: s.1\r\ncontent-length: 4\r\n\r\nwell`);

  test.each(routes)('is none: %s is tried elsewhere or in doubt', async (_what, more) => {
    const { front, asks } = await before(unstamped, { attempts: 2, ...more });
    const again = more.kind === 'idempotent' || ('resumable' in more && more.resumable);
    expect(await front.ask('q')).toMatchObject(again ? { status: 200, body: 'well' } : { status: 504, broken: false });
    expect(asks()).toEqual([1, again ? 1 : 0]);
  });
  test('is no text of an item', async () => {
    const sampler = await standInSampler(({ socket, attempt }) => {
      const events = 'id: 1\ndata: a\n\n';
      const head = `attempt: ${attempt}\r\nversions: 1\r\ncontent-length: ${events.length}\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${events}`);
    });
    closing.push(sampler.close);
    expect(await itemRuns.once(sampler.address)).toMatchObject({ kind: 'cut', partial: undefined, suspect: false });
  });
  test('is none of a failure: that is passed on as it is', async () => {
    const failure = ({ socket, attempt }: StandInAsk): void =>
      void socket.write(`HTTP/1.1 404 None\r\nattempt: ${attempt}\r\ncontent-length: 4\r\n\r\nnone`);
    const { front } = await before(failure, { attempts: 2, kind: 'streaming' });
    expect(await front.ask('q')).toMatchObject({ status: 404, body: 'none' });
  });
});

test.each(routes)('a front answers %s whichever bit of an answer’s head is spoilt', async (_what, more) => {
  const bitsOfHead = 8 * headOf('200 OK', 'q0000').length;
  let bit = 0;
  const { front } = await before(
    ({ socket, attempt }) => {
      const bytes = whole(attempt);
      bytes[bit >> 3]! ^= 1 << (bit & 7);
      // The end tells that nothing more comes, where the spoilt head promised more.
      socket.end(bytes);
    },
    { attempts: 2, ...more },
  );
  for (; bit < bitsOfHead; bit += 1) {
    const { status } = await front.ask(`q${String(bit).padStart(4, '0')}`);
    expect(status).toBeGreaterThanOrEqual(200);
    expect(status).toBeLessThan(600);
  }
});

describe('an error that is thrown by who is told of a call', () => {
  const ignored = (): undefined => undefined;
  const call = async (events: Partial<CallEvents>) => {
    const sampler = await standInSampler(soundAnswer);
    const thrown: unknown[] = [];
    const client = makeSamplerClient(2, undefined, undefined, undefined, (cause) => thrown.push(cause));
    closing.push(sampler.close, client.close);
    const told = await new Promise<string>((resolve) => {
      const headers = { attempt: 'q', 'content-length': '0' };
      const asked = { attempt: 'q', method: 'POST', path: '/', headers, body: Buffer.alloc(0) };
      const ended = (): void => resolve('ended');
      const failed = (reason: string): void => resolve(reason);
      client.call(sampler.address, asked, 4000, { head: ignored, data: ignored, ended, failed, ...events });
    });
    return { told, thrown };
  };
  const broken = (): never => {
    throw new Error('broken');
  };
  test.each(['head', 'data'] as const)('at its %s ends the call and is reported', async (name) => {
    const { told, thrown } = await call({ [name]: broken });
    expect(told).toMatch(/broken/);
    expect(thrown).toHaveLength(1);
  });
});
