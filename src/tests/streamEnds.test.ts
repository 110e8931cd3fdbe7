import { afterEach, describe, expect, test } from '@jest/globals';
import { makeEventTail } from '../fleet/front/eventTail.js';
import { spoiltFront } from './spoiltFront.js';
import type { StandInAsk } from './standInSampler.js';

const { before, close } = spoiltFront;
afterEach(close);

const type = 'content-type: text/event-stream\r\n';
/** A sampler that sends a head and some text, and ends its connection as the kill of its process does. */
const closes =
  (text: string, head = type) =>
  ({ socket, attempt }: StandInAsk): void =>
    void socket.end(`HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\nstamp: s.1\r\n${head}\r\n${text}`);
/** The same in chunks, with the last one. */
const inChunks =
  (text: string) =>
  ({ socket, attempt }: StandInAsk): void => {
    const head = `HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\nstamp: s.1\r\n${type}transfer-encoding: chunked\r\n\r\n`;
    socket.write(`${head}${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`);
  };
const streaming = { kind: 'streaming', resumable: false, attempts: 2 } as const;
const first = 'id: 1\ndata: one\n\n';

// ORDER (review/9): a stream that a sampler's crash cut inside an event ended as complete for its caller.
describe('a caller’s stream whose sampler ends it', () => {
  test.each([
    ['inside an event’s data', closes(`${first}id: 2\ndata: tw`)],
    ['behind a line of an event', closes(`${first}id: 2\ndata: two\n`)],
    ['behind a line of an event that ends with two bytes', closes('id: 1\r\ndata: one\r\n\r\nid: 2\r\n')],
    ['before any event', closes('')],
    ['inside an event, with a last chunk', inChunks(`${first}id: 2\ndata: tw`)],
  ])('%s is cut for the caller', async (_where, script) => {
    const { front, asks } = await before(script, streaming);
    expect(await front.ask('q')).toMatchObject({ broken: true });
    expect(asks()).toEqual([1, 0]);
    expect(front.directory.usable('s0')).toBe(false);
  });
  test.each([
    ['without a length', closes(first)],
    ['with lines that end with two bytes', closes('id: 1\r\ndata: one\r\n\r\n')],
    ['with a last chunk', inChunks(first)],
    ['that is no stream of events', closes('half a', 'content-type: application/json\r\n')],
  ])('behind a whole event is whole: one %s', async (_what, script) => {
    const { front } = await before(script, streaming);
    expect(await front.ask('q')).toMatchObject({ status: 200, broken: false });
  });
});

test.each(['\n\n', '\r\r', '\r\n\r\n', '\n\r\n'])(
  'the end %j of an event is found wherever its bytes are parted',
  (end) => {
    for (const size of [1, 2, 3, 100]) {
      const tail = makeEventTail();
      expect(tail.place()).toBe('start');
      const feed = (text: string): void => {
        for (let at = 0; at < text.length; at += size) tail.feed(Buffer.from(text.slice(at, at + size)));
      };
      feed('id: 1\r\ndata: x');
      expect(tail.place()).toBe('inside');
      feed(end);
      expect(tail.place()).toBe('behind');
      tail.feed('id: 2\r\n');
      expect(tail.place()).toBe('inside');
    }
  },
);
