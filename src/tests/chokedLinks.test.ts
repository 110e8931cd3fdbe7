import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { createConnection, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import { makeChannels, type Channels } from '../edge/channels.js';
import { packing } from '../edge/packing.js';
import { answers } from '../shared/answers.js';
import type { Fault } from '../shared/fault.js';
import { turns } from './turns.js';
import { virtualSamplers } from './virtualSamplers.js';

const made: Channels[] = [];
const servers: Server[] = [];
const accepted: Socket[] = [];
/** Sockets that this process opened, so that what they hold unsent can be counted. */
const opened = new Set<Socket>();
const noted = (message: unknown): void => void opened.add((message as { readonly socket: Socket }).socket);
const channels = (): Channels => {
  const each = makeChannels();
  made.push(each);
  return each;
};
const addressOf = (server: Server): string => `127.0.0.1:${(server.address() as AddressInfo).port}`;
const listening = async (server: Server): Promise<string> => {
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return addressOf(server);
};
/** A peer that takes connections and reads nothing of them. */
const choked = (): Promise<string> =>
  listening(
    createServer({ pauseOnConnect: true }, (socket) => void accepted.push(socket.on('error', () => undefined))),
  );
const serving = async (answered: (text: string) => string): Promise<{ address: string; server: Server }> => {
  const server = (await channels().serve('127.0.0.1:0', (ask, reply) => {
    if (ask.kind.case !== 'call') return;
    const text = packing.unpack(ask.kind.value) as string;
    reply(answers.answer({ case: 'call', value: packing.pack(answered(text)) }));
  })) as Server;
  return { address: addressOf(server), server };
};
const endOf = (work: Promise<unknown>): Promise<unknown> =>
  work.catch((fault: Fault) => (fault.unknown ? 'unknown' : 'failed'));
/** Bytes that sockets to an address hold, which no kernel took. */
const heldFor = (address: string): number =>
  [...opened]
    .filter((socket) => !socket.destroyed && `${socket.remoteAddress}:${socket.remotePort}` === address)
    .reduce((sum, socket) => sum + socket.writableLength, 0);

beforeEach(() => {
  jest.useFakeTimers({ doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
  subscribe('net.client.socket', noted);
});
afterEach(async () => {
  for (const each of made.splice(0)) each.close();
  for (const socket of accepted.splice(0)) socket.destroy();
  await Promise.all(servers.splice(0).map((server) => new Promise((resolve) => server.close(resolve))));
  unsubscribe('net.client.socket', noted);
  opened.clear();
  jest.useRealTimers();
});

/** Text that no packing makes small. */
const generated = virtualSamplers.generator(7);
const large = Buffer.from(Array.from({ length: 600_000 }, () => Math.floor(256 * generated()))).toString('base64');

describe('a peer that reads nothing', () => {
  test('holds up no call to another peer', async () => {
    const [chokedAt, { address }] = [await choked(), await serving((text) => `to ${text}`)];
    const client = channels();
    const stuck = Array.from({ length: 30 }, () => endOf(client.call(chokedAt, 'n', large, 2500)));
    await turns.until(() => heldFor(chokedAt) > large.length);
    // No time passes here: all of these are answered while the others wait.
    for (let at = 0; at < 50; at += 1) expect(await client.call(address, 'n', `${at}`, 500)).toBe(`to ${at}`);
    expect(await client.call(address, 'n', large, 500)).toBe(`to ${large}`);
    jest.advanceTimersByTime(2500);
    expect(new Set(await Promise.all(stuck))).toEqual(new Set(['unknown']));
  });
  test('loses its connection with all that was held for it once a call ran out of time', async () => {
    const chokedAt = await choked();
    const client = channels();
    const stuck = [400, 2500, 2500].map((ms) => endOf(client.call(chokedAt, 'n', large.repeat(8), ms)));
    await turns.until(() => heldFor(chokedAt) > large.length);
    const socket = [...opened].find((each) => each.writableLength > 0)!;
    jest.advanceTimersByTime(399);
    await turns.pass(3);
    expect(socket.destroyed).toBe(false);
    jest.advanceTimersByTime(1);
    expect([socket.destroyed, heldFor(chokedAt)]).toEqual([true, 0]);
    // The longer calls fail with it, at once.
    expect(await Promise.all(stuck)).toEqual(['unknown', 'unknown', 'unknown']);
  });
  test('is held no more for than what was asked within the time of a call, however long it chokes', async () => {
    const chokedAt = await choked();
    const client = channels();
    const ends: unknown[] = [];
    const [everyMs, leftMs, rounds] = [50, 500, 60];
    let [calls, most] = [0, 0];
    for (let round = 0; round < rounds; round += 1) {
      calls += 1;
      void endOf(client.call(chokedAt, 'n', large, leftMs)).then((end) => ends.push(end));
      await turns.pass(3);
      most = Math.max(most, heldFor(chokedAt));
      jest.advanceTimersByTime(everyMs);
    }
    // Calls of one time left, and the one that is being made; frames add little.
    expect(most).toBeLessThan((leftMs / everyMs + 2) * (large.length + 1000));
    expect(most).toBeGreaterThan(large.length);
    jest.advanceTimersByTime(leftMs);
    await turns.until(() => ends.length === calls);
    expect(new Set(ends)).toEqual(new Set(['unknown']));
    expect(heldFor(chokedAt)).toBe(0);
    // Each connection carried the calls of one time left and no more.
    expect(accepted.length).toBeGreaterThanOrEqual(Math.floor((rounds * everyMs) / (leftMs + everyMs)) - 1);
  });
  test('that reads again in time answers all that waited', async () => {
    const { address } = await serving((text) => `to ${text.length}`);
    const [host, port] = address.split(':') as [string, string];
    const chokedAt = await choked();
    const client = channels();
    const work = Array.from({ length: 20 }, () => client.call(chokedAt, 'n', large, 2500));
    await turns.until(() => accepted.length === 1 && heldFor(chokedAt) > large.length);
    jest.advanceTimersByTime(2400);
    const far = createConnection({ host, port: Number(port) });
    accepted.push(far.on('error', () => undefined));
    accepted[0]!.pipe(far).pipe(accepted[0]!);
    expect(new Set(await Promise.all(work))).toEqual(new Set([`to ${large.length}`]));
    expect([accepted.length, heldFor(chokedAt)]).toEqual([2, 0]);
  });
});

describe('a peer that asks and reads no answer', () => {
  test('is held nothing for any more once its calls ran out of time', async () => {
    const asks: string[] = [];
    const { address, server } = await serving((text) => {
      asks.push(text);
      return large;
    });
    const served: Socket[] = [];
    server.on('connection', (socket: Socket) => served.push(socket));
    const [host, port] = address.split(':') as [string, string];
    // Asks pass; answers are read by nobody. Where the asker ends, the way on ends too.
    const oneWay = await listening(
      createServer((near) => {
        const far = createConnection({ host, port: Number(port) }).pause();
        accepted.push(
          near.on('error', () => undefined),
          far.on('error', () => undefined),
        );
        near.on('data', (chunk) => far.write(chunk));
        near.on('close', () => far.destroy());
      }),
    );
    const client = channels();
    const ends = Array.from({ length: 40 }, (_, at) => endOf(client.call(oneWay, 'n', `${at}`, 600)));
    await turns.until(() => asks.length === 40 && served.length === 1 && served[0]!.writableLength > large.length);
    const asker = [...opened].find((socket) => `${socket.remoteAddress}:${socket.remotePort}` === oneWay)!;
    jest.advanceTimersByTime(600);
    expect(asker.destroyed).toBe(true);
    expect(new Set(await Promise.all(ends))).toEqual(new Set(['unknown']));
    await turns.until(() => served[0]!.destroyed);
    expect(served.length).toBe(1);
    // What serves it is there for others all the same.
    expect(await client.call(address, 'n', 'other', 600)).toBe(large);
  });
});
