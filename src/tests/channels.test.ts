import { createConnection, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import { makeChannels, type AskServer, type Channels } from '../edge/channels.js';
import { packing, type Packed } from '../edge/packing.js';
import type { Answer } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import type { Fault } from '../shared/fault.js';
import { turns } from './turns.js';

const made: Channels[] = [];
const servers: Server[] = [];
const sockets = new Set<Socket>();
const channels = (): Channels => {
  const each = makeChannels();
  made.push(each);
  return each;
};
const addressOf = (server: Server): string => `127.0.0.1:${(server.address() as AddressInfo).port}`;
const noted = (socket: Socket): Socket => {
  sockets.add(socket);
  return socket.on('error', () => undefined).on('close', () => sockets.delete(socket));
};
const listening = async (server: Server): Promise<string> => {
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return addressOf(server);
};
const serving = async (server: AskServer): Promise<string> =>
  addressOf((await channels().serve('127.0.0.1:0', server)) as Server);
const textOf = (call: Packed): string => packing.unpack(call) as string;
const answerOf = (value: unknown): Answer => answers.answer({ case: 'call', value: packing.pack(value) });
/** A peer that answers what a call's body says, with its name before it. */
const echo: AskServer = (ask, reply) => {
  if (ask.kind.case === 'call') reply(answerOf(`${ask.kind.value.name} ${textOf(ask.kind.value)}`));
};
/** Hands bytes on in pieces of the given sizes, one piece a turn. */
const pieces = (from: Socket, to: Socket, sizes: ReadonlyArray<number>): void => {
  let held = Buffer.alloc(0);
  let [place, moving] = [0, false];
  const move = (): void => {
    moving = held.length > 0;
    if (!moving || to.destroyed) return;
    const size = sizes[place % sizes.length]!;
    place += 1;
    to.write(held.subarray(0, size), () => setImmediate(move));
    held = held.subarray(size);
  };
  from.on('data', (chunk: Buffer) => {
    held = Buffer.concat([held, chunk]);
    if (!moving) move();
  });
  from.on('close', () => to.destroy());
};
const between = (address: string, sizes: ReadonlyArray<number>): Promise<string> => {
  const [host, port] = address.split(':');
  return listening(
    createServer({ noDelay: true }, (near) => {
      const far = noted(createConnection({ host: host!, port: Number(port), noDelay: true }));
      pieces(noted(near), far, sizes);
      pieces(far, near, sizes);
    }),
  );
};
const faultOf = (work: Promise<unknown>): Promise<Fault> =>
  work.then(
    (value) => Promise.reject(new Error(`answered with ${JSON.stringify(value)}`)),
    (fault: Fault) => fault,
  );
const settled = async (): Promise<void> => {
  for (const each of made.splice(0)) each.close();
  for (const socket of sockets) socket.destroy();
  await Promise.all(servers.splice(0).map((server) => new Promise((resolve) => server.close(resolve))));
};

beforeEach(() => {
  jest.useFakeTimers({ doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
});
afterEach(async () => {
  await settled();
  jest.useRealTimers();
});

describe('asks', () => {
  test('are answered each with its own answer, wherever their frames are cut', async () => {
    const someAsk = fc.tuple(fc.constantFrom('a', 'b'), fc.string({ unit: 'grapheme', maxLength: 40 }));
    const someSizes = fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1, maxLength: 5 });
    await fc.assert(
      fc.asyncProperty(fc.array(someAsk, { minLength: 1, maxLength: 12 }), someSizes, async (asks, sizes) => {
        const address = await between(await serving(echo), sizes);
        const client = channels();
        const heard = await Promise.all(asks.map(([name, body]) => client.call(address, name, body, 5000)));
        expect(heard).toEqual(asks.map(([name, body]) => `${name} ${body}`));
        await settled();
      }),
      { numRuns: 60, seed: 20261202 },
    );
  });
  test('are many at once on one connection, answered in any order', async () => {
    let connections = 0;
    const held: Array<() => void> = [];
    const server = (await channels().serve('127.0.0.1:0', (ask, reply) => {
      held.push(() => echo(ask, reply));
    })) as Server;
    server.on('connection', () => (connections += 1));
    const client = channels();
    const count = 500;
    const work = Array.from({ length: count }, (_, place) => client.call(addressOf(server), 'n', `${place}`, 5000));
    await turns.until(() => held.length === count);
    held.reverse().forEach((reply) => reply());
    expect(await Promise.all(work)).toEqual(Array.from({ length: count }, (_, place) => `n ${place}`));
    expect(connections).toBe(1);
  });
  test('of a megabyte come whole both ways', async () => {
    const text = 'ß'.repeat(500_000);
    expect(await channels().call(await serving(echo), 'n', text, 5000)).toBe(`n ${text}`);
  });
  test('that are turned away fail with the reason, and may not have been done', async () => {
    const address = await serving((_ask, reply) => reply(answers.bounce('n', 'not here')));
    const fault = await faultOf(channels().call(address, 'n', 1, 5000));
    expect([fault.reason, fault.unknown]).toEqual(['not here', undefined]);
  });
  test('all fail at once when their connection ends, as of unknown end', async () => {
    const held: Socket[] = [];
    const address = await listening(createServer((socket) => void held.push(noted(socket))));
    const client = channels();
    const work = [1, 2, 3].map((place) => faultOf(client.call(address, 'n', place, 5000)));
    await turns.until(() => held.length === 1);
    held[0]!.resetAndDestroy();
    for (const fault of await Promise.all(work)) expect(fault).toMatchObject({ step: 'ask', unknown: true });
  });
  test('to nobody fail', async () => {
    const server = createServer();
    const address = await listening(server);
    await new Promise((resolve) => server.close(resolve));
    expect((await faultOf(channels().call(address, 'n', 1, 5000))).reason).toContain('ECONNREFUSED');
  });
});

describe('a peer', () => {
  test('that says nothing is given up, and the next ask takes a new connection', async () => {
    const held: Socket[] = [];
    const [host, port] = (await serving(echo)).split(':');
    // The first connection leads nowhere, the next ones to the peer.
    const address = await listening(
      createServer((socket) => {
        held.push(noted(socket));
        if (held.length === 1) return void socket.resume();
        const far = noted(createConnection({ host: host!, port: Number(port) }));
        pieces(socket, far, [1000]);
        pieces(far, socket, [1000]);
      }),
    );
    const client = channels();
    const first = faultOf(client.call(address, 'n', 'one', 400));
    const second = faultOf(client.call(address, 'n', 'two', 5000));
    await turns.until(() => held.length === 1);
    jest.advanceTimersByTime(399);
    await turns.pass(3);
    expect(held[0]!.destroyed).toBe(false);
    jest.advanceTimersByTime(1);
    expect(await first).toMatchObject({ unknown: true, cohortMember: address });
    expect(await second).toMatchObject({ unknown: true });
    expect(await client.call(address, 'n', 'three', 5000)).toBe('n three');
    expect(held.length).toBe(2);
  });
  test('that was heard since keeps its connection when an ask runs out of time', async () => {
    let connections = 0;
    const server = (await channels().serve('127.0.0.1:0', (ask, reply) => {
      if (ask.kind.case === 'call' && ask.kind.value.name !== 'silent') echo(ask, reply);
    })) as Server;
    server.on('connection', () => (connections += 1));
    const client = channels();
    const silent = faultOf(client.call(addressOf(server), 'silent', 1, 400));
    expect(await client.call(addressOf(server), 'n', 'one', 5000)).toBe('n one');
    jest.advanceTimersByTime(400);
    expect(await silent).toMatchObject({ unknown: true });
    expect(await client.call(addressOf(server), 'n', 'two', 5000)).toBe('n two');
    expect(connections).toBe(1);
  });
  test('that answers after the time has its answer dropped, not taken for another’s', async () => {
    const held: Array<{ readonly body: string; readonly reply: () => void }> = [];
    const address = await serving((ask, reply) => {
      if (ask.kind.case !== 'call') return;
      const body = textOf(ask.kind.value);
      held.push({ body, reply: () => reply(answerOf(`to ${body}`)) });
    });
    const client = channels();
    const heard: unknown[] = [];
    for (const round of [1, 2, 3]) {
      // Too short to give the connection up; the next ask takes the place of this one.
      const late = faultOf(client.call(address, 'n', `late ${round}`, 100));
      await turns.until(() => held.length === 2 * round - 1);
      jest.advanceTimersByTime(100);
      await late;
      const next = client.call(address, 'n', `next ${round}`, 5000).then((value) => heard.push(value));
      await turns.until(() => held.length === 2 * round);
      held.at(-2)!.reply();
      await turns.pass(10);
      expect(heard.length).toBe(round - 1);
      held.at(-1)!.reply();
      await next;
    }
    expect(heard).toEqual(['to next 1', 'to next 2', 'to next 3']);
  });
  test('that sends bytes of no frame loses its connection, on either side', async () => {
    const garbage = Buffer.from('HTTP/1.1 400 Bad Request\r\n\r\n'.repeat(3));
    const address = await listening(createServer((socket) => void noted(socket).resume().write(garbage)));
    expect(await faultOf(channels().call(address, 'n', 1, 5000))).toMatchObject({ unknown: true });
    const asked: string[] = [];
    const [host, port] = (await serving((ask) => asked.push(ask.kind.case ?? ''))).split(':');
    const socket = noted(createConnection({ host: host!, port: Number(port) }));
    socket.write(garbage);
    await turns.until(() => socket.destroyed);
    expect(asked).toEqual([]);
  });
});
