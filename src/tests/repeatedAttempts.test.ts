import { afterEach, describe, expect, test } from '@jest/globals';
import { attempts, type Attempted } from '../fleet/front/attempts.js';
import { makeHedgeControl } from '../fleet/front/hedgeControl.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { makeSamplerClient, type SamplerClient } from '../fleet/samplerClient.js';
import { itemRuns } from './itemRuns.js';
import { plainDialect } from './plainDialect.js';
import { spoiltFront } from './spoiltFront.js';
import { standInSampler, type StandInAsk, type StandInSampler } from './standInSampler.js';
import { turns } from './turns.js';
import { virtualSamplers } from './virtualSamplers.js';

const { whole, closing, close } = spoiltFront;
afterEach(close);

const framed = (status: string, attempt: string, more = ''): Buffer =>
  Buffer.from(`HTTP/1.1 ${status}\r\nattempt: ${attempt}\r\n${more}content-length: 0\r\n\r\n`);
const promise = (attempt: string): Buffer => framed('503 Busy', attempt, 'not-run: 1\r\n');
const fault = (attempt: string): Buffer => framed('500 Broken', attempt);
const streamed = (attempt: string): Buffer =>
  Buffer.concat([
    Buffer.from(`HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\nstamp: s.1\r\nversions: 1\r\ncontent-length: 18\r\n\r\n`),
    Buffer.from('id: 1\ndata: text\n\n'),
  ]);

/**
 * A sampler that answers the first request with `first`, and runs what comes after it. A second copy of its first
 * answer comes in the slot of the next answer on that connection, as surplus answers do.
 */
const copying = async (first: (attempt: string) => Buffer, last: (attempt: string) => Buffer = whole) => {
  const ran: string[] = [];
  const copies = new Map<number, Buffer>();
  const sampler: StandInSampler = await standInSampler(({ attempt, connection, socket }: StandInAsk, nth) => {
    const copy = copies.get(connection);
    copies.delete(connection);
    if (copy) socket.write(copy);
    if (nth === 0) {
      copies.set(connection, first(attempt));
      return void socket.write(first(attempt));
    }
    ran.push(attempt);
    // The copy is alone on the wire for a while, as the answer of a request that runs is yet to come.
    setTimeout(() => socket.write(last(attempt)), copy ? 60 : 0);
  });
  closing.push(sampler.close);
  return { sampler, ran };
};
const makeClient = (connections = 4): SamplerClient => {
  const client = makeSamplerClient(connections);
  closing.push(client.close);
  return client;
};
/** Sends a request to the samplers of some addresses, as the front does. */
const send = (
  client: SamplerClient,
  addresses: ReadonlyArray<string>,
  attempt: string,
  rules: { readonly repeatable: boolean; readonly retryFaults?: boolean; readonly most?: number; aimMs?: number },
): Promise<Attempted> => {
  const samplers = new Map(
    addresses.map((address, place) => [`s${place}`, virtualSamplers.announced(`s${place}`, { address })]),
  );
  const view = { members: new Map(), samplers, followed: undefined };
  const [now, chance] = [() => performance.now(), () => 0];
  const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now, chance, idle: client.idle });
  const tools = { client, directory, dialect: plainDialect, hedges: makeHedgeControl(), now, chance };
  const headers = { attempt, 'content-length': '0' };
  const call = () => ({ attempt, method: 'POST', path: '/', headers, body: Buffer.alloc(0) });
  const fixed = { attempt, service: 'texts', most: 4, aimMs: 100, timeLeftMs: 8000, call, allowed: () => true };
  return new Promise((resolve) => attempts(tools, { ...fixed, retryFaults: false, ...rules }, resolve));
};
const connectionsOf = ({ asks }: StandInSampler): ReadonlyArray<number> => asks.map(({ connection }) => connection);

// TWICE (review/6): the copy of a promise was taken for one about the second send of the same request.
describe('a second copy of an answer, in the slot of the same id’s next answer', () => {
  test.each([1, 4])('a promise: a once-only request runs once, with %i connections at most', async (connections) => {
    const { sampler, ran } = await copying(promise);
    const outcome = await send(makeClient(connections), [sampler.address], 'q', { repeatable: false });
    expect(outcome).toMatchObject({ kind: 'answered', status: 200 });
    expect(ran).toEqual(['q']);
    expect(new Set(connectionsOf(sampler)).size).toBe(sampler.asks.length);
  });
  test('a promise: a repeatable request runs once too', async () => {
    const { sampler, ran } = await copying(promise);
    const outcome = await send(makeClient(), [sampler.address], 'q', { repeatable: true });
    expect(outcome).toMatchObject({ kind: 'answered', status: 200 });
    expect(ran).toEqual(['q']);
  });
  test('a fault of a rating is counted once', async () => {
    const { sampler } = await copying(fault);
    const client = makeClient();
    const rate = (): Promise<Attempted> => send(client, [sampler.address], 'rating', { repeatable: true });
    expect(await rate()).toMatchObject({ kind: 'answered', status: 500 });
    await turns.until(() => client.idle(sampler.address));
    expect(await rate()).toMatchObject({ kind: 'answered', status: 200 });
  });
  test('a fault of an item is counted once', async () => {
    const { sampler } = await copying(fault, streamed);
    const client = makeClient();
    expect(await itemRuns.once(sampler.address, client)).toMatchObject({ kind: 'fault' });
    await turns.until(() => client.idle(sampler.address));
    expect(await itemRuns.once(sampler.address, client)).toMatchObject({ kind: 'whole', text: 'text' });
  });
  test('the answer to an order is not taken for that to the next one', async () => {
    const { sampler } = await copying(
      () => framed('409 Busy', ''),
      () => framed('202 Accepted', ''),
    );
    const client = makeClient();
    const order = (version: number): Promise<number> => {
      const announced = virtualSamplers.announced('s', { address: sampler.address });
      const call = plainDialect.orderCall({ sampler: announced, model: 'm', version, holder: 'front', fence: version });
      return new Promise((resolve, reject) => {
        const headers = { ...call.headers, 'content-length': String(call.body.length) };
        client.call(sampler.address, { ...call, headers }, 4000, {
          head: resolve,
          data: () => undefined,
          ended: () => undefined,
          failed: reject,
        });
      });
    };
    expect(await order(2)).toBe(409);
    await turns.until(() => client.idle(sampler.address));
    expect(await order(3)).toBe(202);
  });
  test('a promise to a hedge: the next send of the request goes over another connection', async () => {
    const { sampler, ran } = await copying(promise);
    const silent = await standInSampler(({ socket }) => void setTimeout(() => socket.resetAndDestroy(), 250));
    closing.push(silent.close);
    const how = { repeatable: true, aimMs: 40 };
    const outcome = await send(makeClient(), [silent.address, sampler.address], 'q', how);
    expect(outcome).toMatchObject({ kind: 'answered', status: 200 });
    expect(ran).toEqual(['q']);
    expect(new Set(connectionsOf(sampler)).size).toBe(sampler.asks.length);
  });
});

describe('an id that goes again to a sampler', () => {
  test('waits for a connection that it has not used, where all are in use', async () => {
    const held: StandInAsk[] = [];
    const sampler = await standInSampler((ask) => void held.push(ask));
    const client = makeClient(1);
    closing.push(sampler.close);
    const ended: string[] = [];
    const call = (attempt: string): void => {
      const headers = { attempt, 'content-length': '0' };
      const asked = { attempt, method: 'POST', path: '/', headers, body: Buffer.alloc(0) };
      const done = (): void => void ended.push(attempt);
      client.call(sampler.address, asked, 8000, {
        head: () => undefined,
        data: () => undefined,
        ended: done,
        failed: done,
      });
    };
    // The second call queues behind the first one, and would get its connection from it.
    call('q');
    call('q');
    for (const count of [1, 2]) {
      await turns.until(() => held.length === count);
      held[count - 1]!.socket.write(whole('q'));
      await turns.until(() => ended.length === count);
    }
    expect(connectionsOf(sampler)).toEqual([0, 1]);
    expect(client.counts().connections).toBe(2);
  });
  test('leaves the connections to other ids: those are used again', async () => {
    const sampler = await standInSampler(({ socket, attempt }) => void socket.write(whole(attempt)));
    closing.push(sampler.close);
    const client = makeClient();
    for (const attempt of ['a', 'b', 'c']) {
      await send(client, [sampler.address], attempt, { repeatable: true });
      await turns.until(() => client.idle(sampler.address));
    }
    expect(connectionsOf(sampler)).toEqual([0, 0, 0]);
  });
});
