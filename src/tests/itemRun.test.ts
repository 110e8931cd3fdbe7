import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import type { Grant, Partial as Part, Sampler } from '../fleet/fleetTypes.js';
import { runItem, type RunEnd } from '../fleet/front/itemRun.js';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { plainDialect } from './plainDialect.js';
import { standInSampler, type StandInAsk, type StandInSampler } from './standInSampler.js';
import { turns } from './turns.js';

type Piece = { readonly id: number | undefined; readonly data: string; readonly version?: number };
type Stream = {
  readonly pieces: ReadonlyArray<Piece>;
  /** The version that the head tells. */
  readonly version?: number;
  readonly attempt?: string;
  /** Places in the bytes at which a chunk ends. */
  readonly cuts?: ReadonlyArray<number>;
  readonly end?: 'whole' | 'cut' | 'silence';
  /** Bytes that leave before the cut; all of them otherwise. */
  readonly most?: number;
};

const bytesOf = (pieces: ReadonlyArray<Piece>): Buffer =>
  Buffer.from(
    pieces
      .map(({ id, data, version }) => {
        const lines = [...(version === undefined ? [] : [`version:${version}`]), ...data.split('\n')];
        return `${id === undefined ? '' : `id: ${id}\n`}${lines.map((line) => `data: ${line}\n`).join('')}\n`;
      })
      .join(''),
  );
const write = ({ socket, attempt }: StandInAsk, stream: Stream): void => {
  const all = bytesOf(stream.pieces);
  const bytes = all.subarray(0, stream.most ?? all.length);
  const places = [...new Set([0, ...(stream.cuts ?? []).filter((cut) => cut < bytes.length), bytes.length])];
  places.sort((one, other) => one - other);
  const versions = stream.version === undefined ? '' : `versions: ${stream.version}\r\n`;
  const told = `attempt: ${stream.attempt ?? attempt}\r\nstamp: s.1\r\n${versions}`;
  socket.write(`HTTP/1.1 200 OK\r\n${told}transfer-encoding: chunked\r\n\r\n`);
  places.slice(1).forEach((to, place) => {
    const slice = bytes.subarray(places[place], to);
    socket.write(Buffer.concat([Buffer.from(`${slice.length.toString(16)}\r\n`), slice, Buffer.from('\r\n')]));
  });
  if (stream.end === 'silence') return;
  if (stream.end === 'cut') socket.write('', () => socket.destroy());
  else socket.write('0\r\n\r\n');
};

const open: StandInSampler[] = [];
const grantOf = (more: Partial<Grant>): Grant => ({
  lot: 'l',
  host: 'h',
  item: { id: 'q', path: '/p', headers: {}, body: '', tokens: 10, prompt: 1, group: 'g' },
  single: false,
  minVersion: 0,
  priority: 0,
  near: false,
  ...more,
});
/** Starts a run at a sampler that answers by the script. */
const begin = async (script: (ask: StandInAsk) => void, more: Partial<Grant> = {}) => {
  const standIn = await standInSampler(script);
  open.push(standIn);
  const ends: RunEnd[] = [];
  const seen: number[] = [];
  const sampler: Sampler = {
    id: 'i',
    service: 'texts',
    address: standIn.address,
    zone: 'a',
    slots: 1,
    state: 'ready',
    beat: 1,
    quiet: false,
    models: { m: 3 },
    born: 1,
  };
  const run = runItem(
    { client: makeSamplerClient(4), dialect: plainDialect, now: () => Date.now() },
    grantOf(more),
    { sampler, model: 'm', version: 3, urgency: 5, stride: 50 },
    (end) => ends.push(end),
    (version) => seen.push(version),
  );
  const done = async (): Promise<RunEnd> => {
    await turns.until(() => ends.length > 0);
    await turns.pass(2);
    expect(ends.length).toBe(1);
    return ends[0]!;
  };
  return { run, ends, done, seen, asks: standIn.asks };
};
const finish = async (stream: Stream, more: Partial<Grant> = {}): Promise<RunEnd> =>
  (await begin((ask) => write(ask, stream), more)).done();
const pieces = (...texts: ReadonlyArray<string>): ReadonlyArray<Piece> =>
  texts.map((data, place) => ({ id: place + 1, data }));
const partOf = (lastId: number, versions: ReadonlyArray<number>): Part => ({
  events: Array.from({ length: lastId }, (_, place) => `old ${place + 1}`),
  lastId,
  versions,
  version: versions.at(-1)!,
});
/** What versions made events, by a plain reading. */
const versionsOf = (list: ReadonlyArray<Piece>, head: number, before: ReadonlyArray<number> = []): number[] => {
  const made = new Set(before);
  let version = head;
  for (const piece of list) made.add((version = piece.version ?? version));
  return [...made];
};
const someText = fc.array(fc.constantFrom('a', ' b', 'ß', '漢', '🦊', '\n', ':', 'data', '\u2028'), { maxLength: 5 });
const somePieces = fc
  .array(fc.tuple(someText, fc.option(fc.integer({ min: 1, max: 6 }), { nil: undefined, freq: 3 })), {
    minLength: 1,
    maxLength: 6,
  })
  .map((list) => list.map(([text, version], place): Piece => ({ id: place + 1, data: text.join(''), version })));
const someCuts = fc.array(fc.nat(300), { maxLength: 40 });
const settled = async (): Promise<void> => {
  await Promise.all(open.splice(0).map((sampler) => sampler.close()));
};

beforeEach(() => {
  jest.useFakeTimers({ now: 1000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
});
afterEach(async () => {
  await settled();
  jest.useRealTimers();
});

describe('a whole text', () => {
  test('is the same wherever its bytes are parted, with the versions that made its events', async () => {
    await fc.assert(
      fc.asyncProperty(somePieces, someCuts, fc.integer({ min: 1, max: 6 }), async (list, cuts, version) => {
        expect(await finish({ pieces: list, cuts, version })).toEqual({
          kind: 'whole',
          text: list.map((piece) => piece.data).join('\n'),
          versions: versionsOf(list, version),
        });
        await settled();
      }),
      { numRuns: 120, seed: 20261202 },
    );
  });
  test('is parted at every byte of a many-byte character', async () => {
    const list = pieces('🦊漢', 'ß');
    const cuts = Array.from({ length: bytesOf(list).length }, (_, place) => place);
    expect(await finish({ pieces: list, cuts })).toMatchObject({ kind: 'whole', text: '🦊漢\nß' });
  });
  test('lists no version of the head when its first event names another, and tells of each it meets', async () => {
    const list = [{ id: 1, data: 'a', version: 5 }, ...pieces('a', 'b').slice(1), { id: 3, data: 'c', version: 6 }];
    const { done, seen } = await begin((ask) => write(ask, { pieces: list, version: 4 }));
    expect(await done()).toMatchObject({ kind: 'whole', versions: [5, 6] });
    expect(seen).toEqual([4, 5, 6]);
  });
  test('has the asked version where the head names none', async () => {
    expect(await finish({ pieces: pieces('a') })).toMatchObject({ kind: 'whole', versions: [3] });
  });
  test('is taken up at its last id and joined', async () => {
    await fc.assert(
      fc.asyncProperty(somePieces, someCuts, fc.integer({ min: 1, max: 4 }), async (list, cuts, lastId) => {
        const partial = partOf(lastId, [2]);
        const rest = list.map((piece, place) => ({ ...piece, id: lastId + 1 + place }));
        const { done, asks } = await begin((ask) => write(ask, { pieces: rest, cuts, version: 4 }), { partial });
        expect(await done()).toEqual({
          kind: 'whole',
          text: [...partial.events, ...rest.map((piece) => piece.data)].join('\n'),
          versions: versionsOf(rest, 4, [2]),
        });
        expect(asks.map((ask) => ask.headers['last-event-id'])).toEqual([String(lastId)]);
        await settled();
      }),
      { numRuns: 40, seed: 20261203 },
    );
  });
});

describe('a text is discarded', () => {
  const discarded = { kind: 'cut', partial: undefined };
  test('at a gap, a repeat or a step back in its ids', async () => {
    const change = fc.record({ at: fc.nat(3), by: fc.constantFrom(-2, -1, 1, 2, 7) });
    await fc.assert(
      fc.asyncProperty(change, fc.nat(3), async ({ at, by }, lastId) => {
        const resumed = lastId > 0 ? { partial: partOf(lastId, [3]) } : {};
        // Before the first event of a fresh text nothing can be missing below 1.
        fc.pre(lastId > 0 || at > 0 || by > 0);
        const list = pieces('a', 'b', 'c', 'd').map((piece, place) => ({
          ...piece,
          id: piece.id! + lastId + (place === at ? by : 0),
        }));
        expect(await finish({ pieces: list, version: 3 }, resumed)).toMatchObject(discarded);
        await settled();
      }),
      { numRuns: 40, seed: 20261204 },
    );
  });
  test('that begins after its first event', async () => {
    const list = pieces('a', 'b', 'c').slice(1);
    expect(await finish({ pieces: list, version: 3 })).toMatchObject(discarded);
  });
  test('at an event without an id', async () => {
    expect(
      await finish({
        pieces: [
          { id: 1, data: 'a' },
          { id: undefined, data: 'b' },
        ],
      }),
    ).toMatchObject(discarded);
    expect(await finish({ pieces: [{ id: undefined, data: 'a' }] })).toMatchObject(discarded);
  });
  test('at a second version where it must have one', async () => {
    const list = [...pieces('a', 'b'), { id: 3, data: 'c', version: 4 }];
    expect(await finish({ pieces: list, version: 3 }, { single: true })).toMatchObject(discarded);
    const same = [...pieces('a', 'b'), { id: 3, data: 'c', version: 3 }];
    expect(await finish({ pieces: same, version: 3 }, { single: true })).toMatchObject({ versions: [3] });
    const resumed = { single: true, partial: partOf(2, [2]) };
    expect(await finish({ pieces: [{ id: 3, data: 'c' }], version: 3 }, resumed)).toMatchObject(discarded);
    expect(await finish({ pieces: [{ id: 3, data: 'c' }], version: 2 }, resumed)).toMatchObject({ versions: [2] });
  });
  test('below its oldest version, but not for a head that made no event', async () => {
    expect(await finish({ pieces: pieces('a'), version: 3 }, { minVersion: 4 })).toMatchObject(discarded);
    const back = [...pieces('a'), { id: 2, data: 'b', version: 3 }];
    expect(await finish({ pieces: back, version: 4 }, { minVersion: 4 })).toMatchObject(discarded);
    const raised = [{ id: 1, data: 'a', version: 4 }];
    expect(await finish({ pieces: raised, version: 3 }, { minVersion: 4 })).toMatchObject({ versions: [4] });
  });
  test('with the answer of another request', async () => {
    expect(await finish({ pieces: pieces('a'), attempt: 'another' })).toMatchObject(discarded);
  });
});

describe('a text that breaks off', () => {
  test('keeps a beginning of its events and is never whole, wherever the cut is', async () => {
    await fc.assert(
      fc.asyncProperty(somePieces, someCuts, fc.nat(1000), async (list, cuts, at) => {
        const all = bytesOf(list);
        const most = at % (all.length + 1);
        const end = await finish({ pieces: list, cuts, version: 3, end: 'cut', most });
        expect(end).toMatchObject({ kind: 'cut', suspect: true });
        const came = list.filter((_, place) => bytesOf(list.slice(0, place + 1)).length <= most);
        const versions = versionsOf(came, 3);
        expect(end.kind === 'cut' ? end.partial : 'none').toEqual(
          came.length === 0
            ? undefined
            : {
                events: came.map((piece) => piece.data),
                lastId: came.length,
                versions,
                version: came.reduce((version, piece) => piece.version ?? version, 3),
              },
        );
        await settled();
      }),
      { numRuns: 80, seed: 20261205 },
    );
  });
  test('inside an event is not whole, also where the answer ends as if it were', async () => {
    const list = pieces('a', 'b');
    const end = await finish({ pieces: list, version: 3, end: 'whole', most: bytesOf(list).length - 4 });
    expect(end).toMatchObject({ kind: 'cut', partial: { events: ['a'], lastId: 1 } });
  });
  test('behind a line of an event that ends with two bytes is not whole', async () => {
    const text = 'id: 1\r\ndata: a\r\n\r\nid: 2\r\n';
    const { done } = await begin(({ socket, attempt }) => {
      const head = `HTTP/1.1 200 OK\r\nattempt: ${attempt}\r\nstamp: s.1\r\ncontent-length: ${text.length}`;
      socket.write(`${head}\r\n\r\n${text}`);
    });
    expect(await done()).toMatchObject({ kind: 'cut', partial: { events: ['a'], lastId: 1 } });
  });
  test('keeps what it had when its next run brings nothing', async () => {
    const partial = partOf(2, [3]);
    const end = await finish({ pieces: [], version: 3, end: 'cut' }, { partial });
    expect(end).toMatchObject({ kind: 'cut', partial: { events: partial.events, lastId: 2, versions: [3] } });
  });
  test('by silence keeps what came', async () => {
    const { run, ends, done, seen } = await begin((ask) => write(ask, { pieces: pieces('a', 'b'), end: 'silence' }));
    await turns.until(() => run.made() === 2 * 50);
    expect(seen).toEqual([3]);
    jest.advanceTimersByTime(1000);
    expect(ends).toEqual([]);
    jest.advanceTimersByTime(1000);
    expect(await done()).toMatchObject({ kind: 'cut', partial: { events: ['a', 'b'], lastId: 2 } });
  });
  test('by a stop is handed back and told no more', async () => {
    const { run, ends, asks } = await begin((ask) => write(ask, { pieces: pieces('a', 'b'), end: 'silence' }));
    await turns.until(() => run.made() === 2 * 50);
    expect(run.stop()).toEqual({ events: ['a', 'b'], lastId: 2, versions: [3], version: 3 });
    expect(run.stop()).toBeUndefined();
    await turns.until(() => asks[0]!.socket.destroyed);
    jest.advanceTimersByTime(5000);
    expect(ends).toEqual([]);
  });
});

describe('an answer without a text', () => {
  const answer =
    (status: number, promised: boolean) =>
    ({ socket }: StandInAsk): void =>
      void socket.write(
        `HTTP/1.1 ${status} No\r\nattempt: q\r\n${promised ? 'not-run: 1\r\n' : ''}content-length: 0\r\n\r\n`,
      );
  test.each([
    [503, true, { kind: 'notRun', status: 503 }],
    [421, true, { kind: 'notRun', status: 421 }],
    [422, false, { kind: 'never' }],
    [500, false, { kind: 'fault' }],
    [200, false, { kind: 'cut', partial: undefined }],
    [502, false, { kind: 'cut', partial: undefined }],
  ] as const)('of %i, promised not to have run: %p, is told as it is', async (status, promised, end) => {
    expect(await (await begin(answer(status, promised))).done()).toMatchObject(end);
  });
});
