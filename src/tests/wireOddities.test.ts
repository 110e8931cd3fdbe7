import { createServer, type Server, type Socket } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import type { AddressInfo } from 'node:net';
import { makeSamplerClient, type SamplerClient } from '../fleet/samplerClient.js';

const closing: Array<() => void> = [];
afterEach(() => {
  for (const close of closing.splice(0)) close();
});

const listening = async (onSocket: (socket: Socket) => void): Promise<string> => {
  const server: Server = createServer({ noDelay: true }, (socket) => {
    socket.on('error', () => undefined);
    closing.push(() => socket.destroy());
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  closing.push(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};
const answerOf = (body: string): string => `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

type Ended = { readonly status: number; readonly body: string; readonly failed: string; readonly sent: boolean };
const call = (client: SamplerClient, address: string, path: string, body: Buffer): Promise<Ended> =>
  new Promise((resolve) => {
    let [status, text] = [0, ''];
    const headers = { host: 'sampler', 'content-length': String(body.length) };
    client.call(address, { attempt: path, method: 'POST', path, headers, body }, 4000, {
      head: (seen) => (status = seen),
      data: (chunk) => (text += String(chunk)),
      ended: () => resolve({ status, body: text, failed: '', sent: true }),
      failed: (reason, sent) => resolve({ status, body: text, failed: reason, sent }),
    });
  });
const makeClient = (): SamplerClient => {
  const client = makeSamplerClient(2);
  closing.push(client.close);
  return client;
};

describe('a sampler that answers before it has read a long body, keeps the connection and reads on later', () => {
  const bodyBytes = 8 * 1024 * 1024;

  /** Answers as soon as a head came, reads nothing more for a while, then notes all bytes as they come. */
  const earlyAnswerer = async () => {
    const received: Buffer[] = [];
    const sockets: Socket[] = [];
    const address = await listening((socket) => {
      sockets.push(socket);
      let first = true;
      socket.on('data', (chunk: Buffer) => {
        received.push(chunk);
        if (!first) return;
        first = false;
        socket.write(answerOf('early'));
        socket.pause();
        setTimeout(() => socket.resume(), 300);
      });
    });
    return { address, received: () => Buffer.concat(received), sockets };
  };

  test('gets the rest of that body, and nothing else in its place', async () => {
    const sampler = await earlyAnswerer();
    const client = makeClient();
    const body = Buffer.alloc(bodyBytes, 'a');
    expect(await call(client, sampler.address, '/first', body)).toMatchObject({ status: 200, body: 'early' });
    void call(client, sampler.address, '/second', Buffer.from('b'));
    await new Promise((resolve) => setTimeout(resolve, 1500));
    const head = sampler.received().indexOf('\r\n\r\n') + 4;
    const rest = sampler.received().subarray(head, head + bodyBytes);
    // Bytes of the second request may be on a connection of their own, or behind the whole first body.
    const foreign = rest.findIndex((byte) => byte !== 'a'.charCodeAt(0));
    expect(sampler.sockets.length > 1 || foreign === -1).toBe(true);
    expect(rest.length === bodyBytes || sampler.sockets.length > 1).toBe(true);
  });
});

describe('a sampler that half-closes its connection after an answer', () => {
  test('has the next request on another connection, sent once', async () => {
    const paths: string[] = [];
    const address = await listening((socket) => {
      socket.on('data', (chunk: Buffer) => {
        paths.push(chunk.toString().split(' ')[1]!);
        socket.write(answerOf('whole'));
        socket.end();
      });
    });
    const client = makeClient();
    expect(await call(client, address, '/first', Buffer.from('x'))).toMatchObject({ body: 'whole' });
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(await call(client, address, '/second', Buffer.from('x'))).toMatchObject({ body: 'whole' });
    expect(paths).toEqual(['/first', '/second']);
    expect(client.counts().connections).toBe(2);
  });
});

describe('a sampler whose answers come in odd pieces', () => {
  const odd = async (pieces: ReadonlyArray<string>): Promise<Ended> => {
    const address = await listening((socket) => {
      socket.once('data', () => {
        pieces.forEach((piece, place) => setTimeout(() => socket.write(piece), 15 * place));
      });
    });
    return call(makeClient(), address, '/odd', Buffer.from('x'));
  };
  test('is read whole where its chunks are cut anywhere', async () => {
    const whole = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n';
    const pieces = Array.from({ length: Math.ceil(whole.length / 7) }, (_, at) => whole.slice(at * 7, at * 7 + 7));
    expect(await odd(pieces)).toMatchObject({ status: 200, body: 'abcde', failed: '' });
  });
  test('is answered in doubt where the bytes are none of an answer', async () => {
    const { failed, sent } = await odd(['HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd']);
    expect({ failed: failed !== '', sent }).toEqual({ failed: true, sent: true });
  });
  test('ends no answer as whole that is reset before its end', async () => {
    const address = await listening((socket) => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of it');
        setTimeout(() => socket.resetAndDestroy(), 40);
      });
    });
    const ended = await call(makeClient(), address, '/reset', Buffer.from('x'));
    expect(ended.failed).not.toBe('');
  });
  test('ends one without a length with its connection', async () => {
    const address = await listening((socket) => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nall of it');
        setTimeout(() => socket.end(), 40);
      });
    });
    expect(await call(makeClient(), address, '/end', Buffer.from('x'))).toMatchObject({
      body: 'all of it',
      failed: '',
    });
  });
});
