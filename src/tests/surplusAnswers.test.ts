import { afterEach, describe, expect, test } from '@jest/globals';
import type { HostBinding } from '../fleet/fleetTypes.js';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { itemRuns } from './itemRuns.js';
import { loopbackFront } from './loopbackFront.js';
import { standInSampler, type StandInAsk } from './standInSampler.js';
import { virtualSamplers } from './virtualSamplers.js';

const closing: Array<() => unknown> = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

/** A late copy of the promise that another request did not run, in the place of the answer to this one. */
const surplusPromise = ({ socket }: StandInAsk): void =>
  void socket.write('HTTP/1.1 503 Busy\r\nattempt: earlier\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
const promise = ({ socket, attempt }: StandInAsk): void =>
  void socket.write(`HTTP/1.1 503 Busy\r\nattempt: ${attempt}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`);
const whole = ({ socket, attempt }: StandInAsk): void =>
  void socket.write(`HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\nstamp: s.1\r\ncontent-length: 4\r\n\r\nwell`);

/** A front before a sampler that answers by a script, and a sound one that is tried after it. */
const before = async (script: (ask: StandInAsk) => void, more: Partial<HostBinding>) => {
  const [first, second] = [await standInSampler(script), await standInSampler(whole)];
  closing.push(first.close, second.close);
  const announced = [first, second].map(({ address }, place) => virtualSamplers.announced(`s${place}`, { address }));
  const front = await loopbackFront.begin(announced, { attempts: 3, ...more });
  closing.push(front.close);
  return { front, asks: () => [first.asks.length, second.asks.length] };
};

describe('the promise of another request, in the place of an answer', () => {
  test.each([
    ['a stream that can’t be taken up', { kind: 'streaming', resumable: false }],
    ['a once-only request', { kind: 'onceOnly' }],
  ] as const)('leaves %s in doubt: it is neither refused nor sent again', async (_what, more) => {
    const { front, asks } = await before(surplusPromise, more);
    expect(await front.ask('q')).toMatchObject({ status: 504, broken: false });
    expect(asks()).toEqual([1, 0]);
  });
  test.each([
    ['a stream that can be taken up', { kind: 'streaming', resumable: true }],
    ['a repeatable request', { kind: 'idempotent' }],
  ] as const)('sends %s to another sampler', async (_what, more) => {
    const { front, asks } = await before(surplusPromise, more);
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
  const { front, asks } = await before(promise, { kind: 'streaming', resumable: false });
  expect(await front.ask('q')).toMatchObject({ status: 200, body: 'well' });
  expect(asks()).toEqual([1, 1]);
});
