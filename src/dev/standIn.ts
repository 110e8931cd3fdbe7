import { Effect, Option, Stream, type Scope } from 'effect';
import type { Address } from '../shared/brands.js';
import { Fault } from '../shared/fault.js';
import { readBody } from '../front/readBody.js';
import { Http, type HttpAsk, type HttpReply } from '../shared/http.js';
import { Timepiece } from '../shared/timepiece.js';
import { textOf } from './textOf.js';

/** What a stand-in saw, for the oracle. */
export type Sight = {
  readonly at: number;
  readonly sampler: string;
  readonly kind: string;
  readonly [field: string]: unknown;
};

/** A stand-in's switches. */
export type Switches = {
  dark: boolean;
  slowBy: number;
  truncate: number;
  bounceWeights: boolean;
  /** How old the cache use is that it reports. */
  lateMs: number;
  /** Tokens of a load that foxdeck does not see. */
  hidden: number;
};

/** How a stand-in is set up. */
export type StandInOptions = {
  readonly name: string;
  readonly service: string;
  readonly kind: 'model' | 'plain';
  readonly address: Address;
  readonly domain: string;
  readonly fronts: ReadonlyArray<Address>;
  readonly budget: number;
  readonly pieceMs: number;
  readonly loadMs: number;
  readonly version: number;
  readonly saw: (sight: Sight) => void;
  /** Called when a front lets this sampler go, so that whoever runs it may replace it. */
  readonly released?: () => void;
};

/** A running stand-in. */
export type StandIn = {
  readonly switches: Switches;
  readonly dropCache: () => void;
  readonly leave: Effect.Effect<void>;
  readonly evictions: () => number;
};

type Session = {
  pieces: Array<{ text: string; tokens: number; version: number }>;
  prompt: number;
  version: number;
  used: number;
  active: number;
};

const json = (status: number, body: unknown): HttpReply => ({
  status,
  headers: { 'content-type': 'application/json' },
  body: Buffer.from(JSON.stringify(body)),
});
const encoder = new TextEncoder();

/** A sampler for development: it streams deterministic texts within a cache budget and announces itself. */
export const startStandIn = (options: StandInOptions): Effect.Effect<StandIn, Fault, Scope.Scope | Http | Timepiece> =>
  Effect.gen(function* () {
    const [http, time] = [yield* Http, yield* Timepiece];
    const incarnation = time.wall();
    const sessions = new Map<string, Session>();
    const switches: Switches = { dark: false, slowBy: 1, truncate: 0, bounceWeights: false, lateMs: 0, hidden: 0 };
    let state: 'starting' | 'ready' | 'leaving' = 'ready';
    let version = options.version;
    let highestFence = 0;
    let evictions = 0;
    let clock = 0;
    let sequence = 0;
    let letGo = false;
    const saw = (kind: string, fields: Record<string, unknown>): void =>
      options.saw({ at: time.wall(), sampler: options.name, kind, ...fields });
    const sizeOf = (session: Session): number =>
      session.prompt + session.pieces.reduce((sum, piece) => sum + piece.tokens, 0);
    const kvUsed = (): number =>
      [...sessions.values()].reduce((sum, session) => sum + sizeOf(session), switches.hidden);
    let reports: ReadonlyArray<{ readonly at: number; readonly used: number }> = [];
    /** What it reports: its use of some time ago, when it is late. */
    const reported = (): number => {
      const now = time.held();
      reports = [...reports.filter((each) => now - each.at <= 11_000), { at: now, used: kvUsed() }];
      return [...reports].reverse().find((each) => now - each.at >= switches.lateMs)?.used ?? 0;
    };
    const evict = (): void => {
      while (kvUsed() > options.budget) {
        const oldest = [...sessions].sort(
          ([, left], [, right]) => Number(left.active > 0) - Number(right.active > 0) || left.used - right.used,
        )[0];
        if (!oldest) return;
        sessions.delete(oldest[0]);
        evictions += 1;
        saw('evict', { item: oldest[0], active: oldest[1].active > 0 });
      }
    };
    const pause = (ms: number): Effect.Effect<void> =>
      Effect.gen(function* () {
        yield* Effect.sleep(ms * switches.slowBy);
        while (switches.dark) yield* Effect.sleep(50);
      });

    const generate = (ask: HttpAsk): Effect.Effect<HttpReply, Fault, Scope.Scope> =>
      Effect.gen(function* () {
        const body = JSON.parse(Buffer.from(ask.body).toString()) as {
          prompt: string;
          maxTokens?: number;
          from: number;
          prior?: ReadonlyArray<string>;
        };
        const item = ask.headers['foxdeck-item'] ?? '';
        const fence = Number(ask.headers['foxdeck-fence'] ?? 0);
        const wanted = Number(ask.headers['foxdeck-weight-version']);
        const held = ask.headers['last-event-id'] !== undefined;
        if (state === 'leaving') saw('after-leaving', { item });
        if (fence < highestFence) {
          saw('old-fence', { item, fence, highestFence });
        }
        highestFence = Math.max(highestFence, fence);
        if (wanted !== version) return json(409, { error: `version ${version} is loaded` });
        const old = sessions.get(item);
        if (held && (!old || old.pieces.length < body.from)) return json(410, { error: 'no prefix held' });
        if (held && old!.version !== version) saw('stale-prefill', { item, from: old!.version, version });
        const prompt = textOf.promptTokens(body.prompt);
        const prior = (body.prior ?? []).map((text) => ({ text, tokens: textOf.tokens(text), version: 0 }));
        const session: Session = held ? old! : { pieces: prior, prompt, version, used: 0, active: 0 };
        session.active += 1;
        sessions.set(item, session);
        session.used = clock += 1;
        evict();
        yield* Effect.addFinalizer(() =>
          Effect.sync(() => {
            session.active -= 1;
            saw('stop', { item, fence });
          }),
        );
        saw('start', { item, fence, version, held, from: body.from, by: ask.headers['x-sim-from'] });
        yield* pause(held ? options.pieceMs : options.pieceMs + (prompt * options.pieceMs) / 400);
        const total = textOf.length(body.prompt, body.maxTokens);
        const cutAt = switches.truncate > 0 ? body.from + switches.truncate : Infinity;
        const started = version;
        const next = (index: number): Effect.Effect<readonly [Uint8Array, number] | undefined, Fault> =>
          Effect.gen(function* () {
            if (index > total + 1) return undefined;
            if (index > cutAt) return yield* new Fault({ step: 'stand-in', reason: 'cut on purpose' });
            if (index === total + 1) saw('whole', { item, count: total });
            if (index === total + 1)
              return [encoder.encode(`event: done\ndata: ${JSON.stringify({ count: total })}\n\n`), index + 1] as const;
            yield* pause(options.pieceMs);
            if (sessions.get(item) !== session)
              return yield* new Fault({ step: 'stand-in', reason: 'its cache was taken from it' });
            const before = session.pieces
              .slice(0, index - 1)
              .map((piece) => piece.text)
              .join('');
            const piece = textOf.piece(body.prompt, started, before, index);
            if (session.pieces.length < index) session.pieces.push(piece);
            session.used = clock += 1;
            evict();
            return [encoder.encode(`id: ${index}\ndata: ${JSON.stringify(piece)}\n\n`), index + 1] as const;
          });
        const pieces = Stream.unfoldEffect(body.from + 1, (index) => Effect.map(next(index), Option.fromNullable));
        return {
          status: 200,
          headers: {
            'content-type': 'text/event-stream',
            'foxdeck-token-count': String(sizeOf(session)),
            'foxdeck-weight-version': String(version),
          },
          body: pieces,
        };
      });

    const handle = (ask: HttpAsk): Effect.Effect<HttpReply, Fault, Scope.Scope> =>
      Effect.gen(function* () {
        const cameAt = time.held();
        while (switches.dark) yield* Effect.sleep(50);
        if (ask.path === '/generate') return yield* generate(ask);
        if (ask.path === '/weights') {
          const { version: wanted } = JSON.parse(Buffer.from(ask.body).toString()) as { version: number };
          const fence = Number(ask.headers['foxdeck-fence'] ?? 0);
          if (fence < highestFence) {
            saw('old-fence', { item: 'weights', fence, highestFence });
          }
          highestFence = Math.max(highestFence, fence);
          if (switches.bounceWeights) return json(500, { error: 'can not load' });
          saw('load', { version: wanted, fence, by: ask.headers['x-sim-from'] });
          state = 'starting';
          yield* Effect.sleep(options.loadMs);
          version = wanted;
          state = 'ready';
          return json(200, { version });
        }
        if (state === 'leaving') saw('after-leaving', { path: ask.path });
        if (ask.path === '/rate') {
          const { item, text, digest } = JSON.parse(Buffer.from(ask.body).toString()) as {
            item: string;
            text: string;
            digest: string;
          };
          saw('rate', { item, digest, length: text.length, by: ask.headers['x-sim-from'] });
          yield* pause(options.pieceMs);
          return json(200, { score: text.length % 10, digest });
        }
        if (options.kind === 'model' && Number(ask.headers['foxdeck-weight-version']) !== version) {
          const headers = { 'content-type': 'application/json', 'foxdeck-weight-version': String(version) };
          return {
            status: 409,
            headers,
            body: encoder.encode(JSON.stringify({ error: `version ${version} is loaded` })),
          };
        }
        const answer = JSON.stringify({
          sampler: options.name,
          path: ask.path,
          id: ask.headers['x-ask-id'] ?? null,
          text: options.kind === 'model' ? textOf.answer(ask.path, version) : '',
          end: true,
        });
        saw('ran', {
          service: options.service,
          answer,
          waited: time.held() - cameAt,
          by: ask.headers['x-sim-from'],
          path: ask.path,
          method: ask.method,
          id: ask.headers['x-ask-id'],
          key: ask.headers['idempotency-key'],
        });
        yield* Effect.addFinalizer(() => Effect.sync(() => saw('closed', { id: ask.headers['x-ask-id'] })));
        yield* pause(options.pieceMs);
        const bytes = encoder.encode(answer);
        const places = options.kind === 'model' ? [0, 1, 2, 3, 4, 5, 6, 7] : [0, 1];
        const size = Math.ceil(bytes.length / places.length);
        const cutAt = switches.truncate > 0 ? Math.min(switches.truncate, places.length - 1) : Infinity;
        const body = Stream.fromIterable(places).pipe(
          Stream.mapEffect((place) =>
            Effect.gen(function* () {
              if (place >= cutAt) return yield* new Fault({ step: 'stand-in', reason: 'cut on purpose' });
              if (place > 0) yield* pause(options.pieceMs / 2);
              return bytes.slice(place * size, (place + 1) * size);
            }),
          ),
        );
        return { status: 200, headers: { 'content-type': 'application/json' }, body };
      });

    const tell = (front: Address): Effect.Effect<boolean> =>
      Effect.scoped(
        Effect.gen(function* () {
          sequence += 1;
          const body = {
            name: options.name,
            service: options.service,
            address: options.address,
            domain: options.domain,
            state,
            version,
            kvUsed: reported(),
            budget: options.budget,
            incarnation,
            sequence,
          };
          const reply = yield* http.call(front, {
            method: 'POST',
            path: '/foxdeck/samplers',
            headers: { 'content-type': 'application/json' },
            body: Buffer.from(JSON.stringify(body)),
          });
          if (reply.status !== 200) return false;
          const { release } = JSON.parse(Buffer.from(yield* readBody(reply.body)).toString()) as { release?: boolean };
          if (release === true && state === 'ready' && !letGo) {
            letGo = true;
            options.released?.();
          }
          return true;
        }),
      ).pipe(
        Effect.timeout(800),
        Effect.catchAll(() => Effect.succeed(false)),
      );
    let place = Math.floor(time.chance() * options.fronts.length);
    const announce = Effect.gen(function* () {
      if (switches.dark) return false;
      for (let tries = 0; tries < 3; tries += 1) {
        if (yield* tell(options.fronts[place % options.fronts.length]!)) return true;
        place += 1;
      }
      return false;
    });

    yield* http.serve(
      options.address,
      (ask) => handle(ask).pipe(Effect.catchAll((fault) => Effect.succeed(json(500, { error: fault.message })))),
      64 * 1024 * 1024,
    );
    saw('up', {});
    yield* Effect.forkScoped(Effect.forever(Effect.zipRight(announce, Effect.sleep(400))));
    return {
      switches,
      dropCache: () => sessions.clear(),
      evictions: () => evictions,
      leave: Effect.gen(function* () {
        state = 'leaving';
        let told = false;
        while (!told) {
          told = yield* announce;
          if (!told) yield* Effect.sleep(100);
        }
        saw('known-leaving', {});
      }),
    };
  });
