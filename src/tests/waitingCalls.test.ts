import { afterEach, describe, expect, test } from '@jest/globals';
import { makeSamplerClient, type SamplerClient } from '../fleet/samplerClient.js';
import { standInSampler, type StandInAsk } from './standInSampler.js';
import { turns } from './turns.js';

const closing: Array<() => unknown> = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

/** A client of so many connections before a sampler that answers when it is told to, and what became of its calls. */
const begin = async (connections: number) => {
  const held: StandInAsk[] = [];
  const sampler = await standInSampler((ask) => void held.push(ask));
  const client: SamplerClient = makeSamplerClient(connections);
  closing.push(sampler.close, client.close);
  const ends = new Map<string, string>();
  const call = (attempt: string): void => {
    const headers = { attempt, 'content-length': '0' };
    client.call(sampler.address, { attempt, method: 'POST', path: '/', headers, body: Buffer.alloc(0) }, 60_000, {
      head: () => undefined,
      data: () => undefined,
      ended: () => ends.set(attempt, 'ended'),
      failed: (_reason, sent) => ends.set(attempt, sent ? 'in doubt' : 'not sent'),
    });
  };
  const answer = (): void => {
    for (const { socket, attempt } of held.splice(0))
      socket.write(`HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\ncontent-length: 0\r\n\r\n`);
  };
  const arrived = (): ReadonlyArray<string> => sampler.asks.map(({ attempt }) => attempt);
  return { client, sampler, ends, call, answer, arrived };
};

describe('an address that is forgotten', () => {
  test('cuts no call that is under way there, and closes its connection after the answer', async () => {
    const { client, sampler, ends, call, answer, arrived } = await begin(2);
    call('a');
    await turns.until(() => arrived().length === 1);
    client.forget(sampler.address);
    await turns.pass(20);
    expect(ends.size).toBe(0);
    const { socket } = sampler.asks[0]!;
    answer();
    await turns.until(() => ends.has('a'));
    expect(ends.get('a')).toBe('ended');
    await turns.until(() => socket.destroyed || socket.readableEnded);
    expect(client.idle(sampler.address)).toBe(false);
  });
  test('has its idle connections closed at once', async () => {
    const { client, sampler, ends, call, answer, arrived } = await begin(2);
    call('a');
    await turns.until(() => arrived().length === 1);
    answer();
    await turns.until(() => ends.has('a'));
    await turns.until(() => client.idle(sampler.address));
    client.forget(sampler.address);
    const { socket } = sampler.asks[0]!;
    await turns.until(() => socket.destroyed || socket.readableEnded);
  });
});

describe('calls that wait for a connection to a sampler that leaves', () => {
  test('are withdrawn, known not to be sent; those under way go on', async () => {
    const { client, sampler, ends, call, answer, arrived } = await begin(1);
    for (const attempt of ['a', 'b', 'c']) call(attempt);
    await turns.until(() => arrived().length === 1);
    client.withdraw(sampler.address);
    expect([...ends]).toEqual([
      ['b', 'not sent'],
      ['c', 'not sent'],
    ]);
    answer();
    await turns.until(() => ends.has('a'));
    expect(ends.get('a')).toBe('ended');
    await turns.until(() => client.idle(sampler.address));
    expect(arrived()).toEqual(['a']);
  });
  test('leave a connection that serves what comes later', async () => {
    const { client, sampler, ends, call, answer, arrived } = await begin(1);
    for (const attempt of ['a', 'b']) call(attempt);
    await turns.until(() => arrived().length === 1);
    client.withdraw(sampler.address);
    call('d');
    answer();
    await turns.until(() => arrived().length === 2);
    answer();
    await turns.until(() => ends.size === 3);
    expect(arrived()).toEqual(['a', 'd']);
    expect(sampler.connections()).toBe(1);
  });
  test('are those of its address alone', async () => {
    const { client, ends, call, arrived } = await begin(1);
    for (const attempt of ['a', 'b']) call(attempt);
    await turns.until(() => arrived().length === 1);
    client.withdraw('127.0.0.1:9');
    expect(ends.size).toBe(0);
  });
});
