import { createParser } from 'eventsource-parser';
import { Effect, Stream, type Context } from 'effect';
import type { Address } from '../shared/brands.js';
import { Fault } from '../shared/fault.js';
import type { Http } from '../shared/http.js';
import type { TextPiece } from './lot.js';

/** How a generation's stretch on a sampler came to its end. */
export type Stretch =
  { readonly end: 'done' } | { readonly end: 'cut' | 'cache lost' | 'version'; readonly reason: string };

type Event = { readonly id: string | undefined; readonly event: string | undefined; readonly data: string };

const parsed = (body: Stream.Stream<Uint8Array, Fault>): Stream.Stream<Event, Fault> => {
  const found: Event[] = [];
  const parser = createParser({
    onEvent: (event) => found.push({ id: event.id, event: event.event, data: event.data }),
  });
  const decoder = new TextDecoder();
  return Stream.mapConcat(body, (bytes) => {
    parser.feed(decoder.decode(bytes, { stream: true }));
    return found.splice(0);
  });
};

const bad = (sampler: string, reason: string): Fault =>
  new Fault({ step: 'generation', cohortMember: sampler, reason });

const pieceOf = (sampler: string, data: string): Effect.Effect<TextPiece, Fault> =>
  Effect.try({
    try: () => {
      const piece = JSON.parse(data) as Partial<TextPiece>;
      if (typeof piece.text !== 'string' || !Number.isInteger(piece.tokens) || !Number.isInteger(piece.version))
        throw new Error('a piece lacks text, tokens or version');
      return { text: piece.text, tokens: piece.tokens!, version: piece.version! };
    },
    catch: (cause) => bad(sampler, String(cause)),
  });

/** How long a sampler may say nothing before it counts as dark. */
const silenceMs = 5000;

/** Runs one stretch of an item on a sampler, handing on its pieces in order; its scope's end closes the connection. */
export const generation = (options: {
  readonly http: Context.Tag.Service<typeof Http>;
  readonly sampler: { readonly name: string; readonly address: Address; readonly version: number };
  readonly item: string;
  readonly group: string;
  readonly token: number;
  readonly prompt: string;
  readonly maxTokens: number | undefined;
  readonly prior: ReadonlyArray<TextPiece>;
  /** Whether the sampler is thought to hold the prefix. */
  readonly held: boolean;
  /** Asked at the last moment before the order leaves. */
  readonly allowed: () => boolean;
  readonly counted: (promptTokens: number) => void;
  readonly took: (piece: TextPiece) => void;
}): Effect.Effect<Stretch, Fault> =>
  Effect.scoped(
    Effect.gen(function* () {
      const { sampler, prior } = options;
      const from = prior.length;
      if (!options.allowed()) return { end: 'cut', reason: 'not allowed any more' } as const;
      const body = {
        prompt: options.prompt,
        maxTokens: options.maxTokens,
        from,
        ...(options.held ? {} : { prior: prior.map((piece) => piece.text) }),
      };
      const reply = yield* Effect.timeoutFail(
        options.http.call(sampler.address, {
          method: 'POST',
          path: '/generate',
          headers: {
            'content-type': 'application/json',
            accept: 'text/event-stream',
            'foxdeck-item': options.item,
            'foxdeck-group': options.group,
            'foxdeck-weight-version': String(sampler.version),
            'foxdeck-fence': String(options.token),
            ...(options.held ? { 'last-event-id': String(from) } : { 'foxdeck-prefill': 'fresh' }),
          },
          body: Buffer.from(JSON.stringify(body)),
        }),
        { duration: silenceMs, onTimeout: () => bad(sampler.name, 'gave no answer in time') },
      );
      if (reply.status === 410) return { end: 'cache lost', reason: 'the sampler holds no prefix of it' } as const;
      if (reply.status === 409) return { end: 'version', reason: 'the sampler has another version' } as const;
      if (reply.status !== 200) return yield* bad(sampler.name, `answered ${reply.status}`);
      const count = Number(reply.headers['foxdeck-token-count']);
      if (Number(reply.headers['foxdeck-weight-version']) !== sampler.version)
        return { end: 'version', reason: 'the sampler answered with another version' } as const;
      if (!Number.isInteger(count) || count < 0) return yield* bad(sampler.name, 'no Foxdeck-Token-Count');
      options.counted(Math.max(0, count - prior.reduce((sum, piece) => sum + piece.tokens, 0)));
      let next = from + 1;
      let done = false;
      const chunks =
        reply.body instanceof Uint8Array
          ? Stream.make(reply.body)
          : Stream.timeoutFail(reply.body, () => bad(sampler.name, 'went silent'), silenceMs);
      yield* Stream.runForEachWhile(parsed(chunks), (event) =>
        Effect.gen(function* () {
          if (event.event === 'done') {
            const total = yield* Effect.try({
              try: () => (JSON.parse(event.data) as { count: number }).count,
              catch: (cause) => bad(sampler.name, String(cause)),
            });
            if (total !== next - 1)
              return yield* bad(sampler.name, `ended after ${total} pieces, but ${next - 1} came`);
            done = true;
            return false;
          }
          if (event.id !== String(next))
            return yield* bad(sampler.name, `piece ${event.id} came where ${next} was due`);
          const piece = yield* pieceOf(sampler.name, event.data);
          if (piece.version !== sampler.version)
            return yield* bad(sampler.name, `a piece of version ${piece.version} came from version ${sampler.version}`);
          options.took(piece);
          next += 1;
          return true;
        }),
      );
      return done ? ({ end: 'done' } as const) : ({ end: 'cut', reason: 'the stream ended early' } as const);
    }),
  );
