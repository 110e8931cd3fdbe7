import { describe, expect, test } from '@jest/globals';
import type { Observation } from '../sim/fleet/observations.js';
import { makeAnswerSpoiler, type SpoiltHow } from '../soak/spoiltAnswers.js';
import { streamChecks } from '../soak/streamChecks.js';
import type { Transport } from '../shared/transport.js';

type Streamed = Extract<Observation, { readonly kind: 'streamed' }>;

const front = 'front:1';
const stream = (attempt: string, more: Partial<Streamed> = {}): Streamed => ({
  kind: 'streamed',
  sentAt: 20_000,
  at: 20_400,
  attempt,
  front,
  status: 200,
  stamped: true,
  text: streamChecks.wholeOf(attempt),
  ...more,
});
const ran = (attempt: string, sampler = 's-1'): Observation => ({
  kind: 'ran',
  at: 20_010,
  attempt,
  sampler,
  inTouch: true,
  tenant: undefined,
  headers: '',
});
const signalled = (how: 'stop' | 'disturb', at: number): Observation => ({
  kind: 'signalled',
  at,
  machine: 'front-1',
  front,
  how,
});
const cut = (attempt: string): Streamed => stream(attempt, { status: 0, stamped: false, text: 'broken off' });
const rules = (...seen: ReadonlyArray<Observation>): ReadonlyArray<string> =>
  streamChecks.violations(seen).map(({ rule }) => rule);

describe('the checks of streams', () => {
  test('find nothing where a stream is whole, refused unrun, or in doubt', () => {
    expect(rules(ran('a'), stream('a'))).toEqual([]);
    expect(rules(stream('a', { status: 503, stamped: false, text: '' }))).toEqual([]);
    expect(rules(ran('a'), stream('a', { status: 504, stamped: false, text: '' }))).toEqual([]);
  });
  test.each<[string, ReadonlyArray<Observation>, string]>([
    ['one that ran twice', [ran('a'), ran('a', 's-2'), stream('a')], 'what runs once at most runs once'],
    ['one that ran and was refused', [ran('a'), stream('a', { status: 503 })], 'what was refused did not run'],
    ['a success without a stamp', [ran('a'), stream('a', { stamped: false })], 'a success bears its stamp'],
    [
      'a text of another',
      [ran('a'), stream('a', { text: streamChecks.wholeOf('b') })],
      'a stream is whole and its own',
    ],
    [
      'one that a front took 4 s after its stop and cut',
      [signalled('stop', 16_000), ran('a'), cut('a')],
      'a front that stops cuts nothing that came late',
    ],
  ])('find %s', (_what, seen, rule) => {
    expect(rules(...seen)).toEqual([rule]);
  });
  test('excuse a cut after a disturbance, at a sampler that ended, before 3 s or after the grace', () => {
    const late = [signalled('stop', 16_000), ran('a'), cut('a')];
    expect(rules(...late, signalled('disturb', 19_000))).toEqual([]);
    expect(rules(...late, { kind: 'samplerEnded', at: 20_200, sampler: 's-1' })).toEqual([]);
    expect(rules(signalled('stop', 18_000), ran('a'), cut('a'))).toEqual([]);
    expect(rules(signalled('stop', 2000), ran('a'), cut('a'))).toEqual([]);
  });
  test('find more than three cuts at fronts that nothing disturbed', () => {
    const cuts = (...attempts: ReadonlyArray<string>) => attempts.flatMap((each) => [ran(each), cut(each)]);
    expect(rules(...cuts('a', 'b', 'c'))).toEqual([]);
    expect(rules(...cuts('a', 'b', 'c', 'd'))).toEqual(['a front cuts no answer of a sound sampler']);
    expect(rules(...cuts('a', 'b', 'c', 'd'), signalled('disturb', 19_000))).toEqual([]);
    // What never reached a sampler was not passed on.
    expect(rules(...['a', 'b', 'c', 'd'].map(cut))).toEqual([]);
  });
});

describe('a sampler that spoils its answers', () => {
  const answered = (how: SpoiltHow, oneIn: number, heads: ReadonlyArray<string>): ReadonlyArray<string> => {
    let now = 0;
    const written: string[] = [];
    const watchers: Array<(socket: unknown) => void> = [];
    const server = { on: (_event: string, watch: (socket: unknown) => void) => void watchers.push(watch) };
    const spoiler = makeAnswerSpoiler({ listenHttp: () => Promise.resolve() } as unknown as Transport, () => now);
    void spoiler.transport.listenHttp(server as never, 'any:1');
    const socket = { write: (chunk: string) => written.push(chunk) };
    for (const watch of watchers) watch(socket);
    spoiler.spoil(how, oneIn, 1000);
    for (const head of heads) socket.write(head);
    now = 2000;
    for (const head of heads) socket.write(head);
    return written;
  };
  const promise = 'HTTP/1.1 503 Busy\r\nfoxdeck-attempt: a\r\n\r\n';
  const success = 'HTTP/1.1 200 OK\r\nfoxdeck-stamp: s\r\n\r\n';

  test('spoils every so many-th, for its time', () => {
    expect(answered('status', 2, [success, success])).toEqual([
      success,
      success.replace('200', '000'),
      success,
      success,
    ]);
  });
  test('sends a late copy of its last promise, or a stamp under a wrong name', () => {
    expect(answered('surplus', 2, [promise, success])[1]).toBe(promise + success);
    expect(answered('stamp', 1, [success])[0]).toBe(success.replace('stamp', 'stamq'));
  });
  test('sends a second copy of a promise in the slot of the next answer', () => {
    expect(answered('copy', 1, [promise, success]).slice(0, 3)).toEqual([promise, promise + success, promise]);
    expect(answered('copy', 1, [success, success])).toEqual([success, success, success, success]);
  });
  test('leaves the bytes of bodies alone', () => {
    expect(answered('status', 1, ['id: 1\ndata: HTTP/1.1 200\n\n'])[0]).toBe('id: 1\ndata: HTTP/1.1 200\n\n');
  });
});
