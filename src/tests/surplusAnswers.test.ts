import { afterEach, describe, expect, test } from '@jest/globals';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { itemRuns } from './itemRuns.js';
import { spoiltFront } from './spoiltFront.js';
import { standInSampler, type StandInAsk } from './standInSampler.js';

const { before, closing, close } = spoiltFront;
afterEach(close);

/** A late copy of the promise that another request did not run, in the place of the answer to this one. */
const surplusPromise = ({ socket }: StandInAsk): void =>
  void socket.write('HTTP/1.1 503 Busy\r\nattempt: earlier\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
const promise = ({ socket, attempt }: StandInAsk): void =>
  void socket.write(`HTTP/1.1 503 Busy\r\nattempt: ${attempt}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`);

describe('the promise of another request, in the place of an answer', () => {
  test.each([
    ['a stream that can’t be taken up', { kind: 'streaming', resumable: false }],
    ['a once-only request', { kind: 'onceOnly' }],
  ] as const)('leaves %s in doubt: it is neither refused nor sent again', async (_what, more) => {
    const { front, asks } = await before(surplusPromise, { attempts: 3, ...more });
    expect(await front.ask('q')).toMatchObject({ status: 504, broken: false });
    expect(asks()).toEqual([1, 0]);
  });
  test.each([
    ['a stream that can be taken up', { kind: 'streaming', resumable: true }],
    ['a repeatable request', { kind: 'idempotent' }],
  ] as const)('sends %s to another sampler', async (_what, more) => {
    const { front, asks } = await before(surplusPromise, { attempts: 3, ...more });
    expect(await front.ask('q')).toMatchObject({ status: 200, body: 'well' });
    expect(asks()).toEqual([1, 1]);
  });
  test('gives its connection up: no later request meets what is still to come on it', async () => {
    const { front } = await before(surplusPromise, { kind: 'streaming', attempts: 1 });
    await front.ask('q');
    expect(front.client.idle(front.directory.of('texts')[0]!.address)).toBe(false);
  });
  test('does not count as an item’s own', async () => {
    const sampler = await standInSampler(surplusPromise);
    const client = makeSamplerClient(4);
    closing.push(sampler.close, client.close);
    const end = await itemRuns.once(sampler.address, client);
    expect(end).toMatchObject({ kind: 'cut', partial: undefined, suspect: false });
    expect(client.idle(sampler.address)).toBe(false);
  });
});

test('a stream’s own promise sends it to another sampler', async () => {
  const { front, asks } = await before(promise, { attempts: 3, kind: 'streaming', resumable: false });
  expect(await front.ask('q')).toMatchObject({ status: 200, body: 'well' });
  expect(asks()).toEqual([1, 1]);
});
