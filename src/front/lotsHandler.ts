import { Effect, Option, Stream } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import { checked } from '../shared/checked.js';
import { Fault } from '../shared/fault.js';
import type { HttpAsk, HttpReply } from '../shared/http.js';
import { lot, type Lot, type TextPiece } from './lot.js';
import { lotBook } from './lotBook.js';
import { replies } from './replies.js';

type Events = { readonly known: boolean; readonly done: boolean; readonly pieces: ReadonlyArray<TextPiece> };

const encoder = new TextEncoder();
const sse = (fields: { id?: number; event?: string; data: unknown }): string =>
  [
    ...(fields.event === undefined ? [] : [`event: ${fields.event}\n`]),
    ...(fields.id === undefined ? [] : [`id: ${fields.id}\n`]),
    `data: ${JSON.stringify(fields.data)}\n\n`,
  ].join('');
const unavailable = (fault: Fault): HttpReply =>
  fault.unknown ? replies.unknown(503, fault.message) : replies.bounce(503, fault.message, 1);

/** Handles trainers' requests: lots, their items, results and streams. */
export const makeLotsHandler = (context: NodeContext) => {
  const book = lotBook(context.archive);

  const hand = (ask: HttpAsk): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      let document: unknown;
      try {
        document = JSON.parse(Buffer.from(ask.body).toString('utf8'));
      } catch {
        return replies.bounce(400, 'the body is not JSON');
      }
      const shape = checked<Lot>(lot.schema, document);
      if (shape.isErr) return replies.bounce(400, 'the lot is not well formed', undefined, { reasons: shape.error });
      const given = shape.value;
      const services = context.register.known()?.configuration.services ?? {};
      const reasons = [
        ...(services[given.service]?.kind === 'model'
          ? []
          : [{ path: 'service', message: `no model service named ${given.service}` }]),
        ...(given.ratingService === undefined || services[given.ratingService]?.kind === 'plain'
          ? []
          : [{ path: 'ratingService', message: `no plain service named ${given.ratingService}` }]),
      ];
      if (reasons.length > 0) return replies.bounce(400, 'the lot names what is not there', undefined, { reasons });
      const id = lot.idOf(given.key);
      if (yield* book.retired(id)) return replies.bounce(410, 'the lot was retired', undefined, { id });
      const chosen = yield* book.once<Lot>(lot.keys.lot(id), given);
      if (JSON.stringify(chosen) !== JSON.stringify(given))
        return replies.bounce(409, `another lot was taken under the key ${given.key}`, undefined, { id });
      const end = yield* book.end(id);
      if (end && end.reason !== 'complete') return replies.bounce(410, 'the lot is ended', undefined, { id });
      yield* Effect.forkDaemon(Effect.ignore(context.seater(given.service, 'lot', { id })));
      context.log.event('lot_accepted', { lot: id, step: given.step, service: given.service });
      return replies.json(201, { id, key: given.key, items: lot.itemsOf(given).length });
    });

  const show = (id: string, found: Lot): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      const end = yield* book.end(id);
      const items = yield* Effect.forEach(
        lot.itemsOf(found),
        (each) =>
          Effect.gen(function* () {
            const key = lot.keys.item(id, each.group, each.item);
            const result = yield* book.result(key);
            return {
              group: each.group,
              item: each.item,
              state: result?.state ?? (end ? 'ended' : 'open'),
              reason: result?.state === 'failed' ? result.reason : undefined,
            };
          }),
        { concurrency: 16 },
      );
      return replies.json(200, {
        id,
        key: found.key,
        service: found.service,
        step: found.step,
        taskType: found.taskType,
        state: end ? (end.reason === 'complete' ? 'complete' : 'ended') : 'open',
        items,
      });
    });

  const showItem = (id: string, found: Lot, key: string): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      const result = yield* book.result(key);
      const [, group, item] = key.split('/').map(Number);
      const place = { lot: id, group, item };
      if (!result) {
        const end = yield* book.end(id);
        if (end) return replies.json(200, { ...place, state: 'ended' });
        const why = yield* Effect.either(context.seater(found.service, 'why', { item: key }));
        return replies.json(200, {
          ...place,
          state: 'open',
          why: why._tag === 'Right' ? why.right : { known: false, obstacle: why.left.message },
        });
      }
      const rating = yield* book.rating(key);
      return replies.json(200, {
        ...place,
        state: result.state,
        text: result.pieces.map((piece) => piece.text).join(''),
        pieces: result.pieces,
        ...(result.state === 'complete'
          ? {
              digest: result.digest,
              promptTokens: result.promptTokens,
              rating: rating?.rating,
              ratedDigest: rating?.digest,
            }
          : { reason: result.reason }),
      });
    });

  const stream = (id: string, found: Lot, key: string, ask: HttpAsk): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      const from = Number(ask.headers['last-event-id'] ?? 0);
      if (!Number.isInteger(from) || from < 0)
        return replies.bounce(400, 'Last-Event-Id must be the number of a piece');
      const already = yield* book.result(key);
      if (!already && (yield* book.end(id))) return replies.bounce(410, 'the lot is ended');
      if (already && from > already.pieces.length)
        return replies.bounce(400, `the text has ${already.pieces.length} pieces`);
      const next = (place: number): Effect.Effect<readonly [string, number | undefined], Fault> =>
        Effect.gen(function* () {
          const asked = yield* Effect.either(context.seater(found.service, 'events', { item: key, from: place }));
          const news = asked._tag === 'Right' ? (asked.right as Events) : { known: false, done: false, pieces: [] };
          const text = news.pieces.map((piece, index) => sse({ id: place + index + 1, data: piece })).join('');
          const reached = place + news.pieces.length;
          if (news.known && !news.done) return [text, reached] as const;
          const result = yield* book.result(key).pipe(Effect.retry({ times: 3 }));
          if (result) {
            const rest = result.pieces
              .slice(reached)
              .map((piece, index) => sse({ id: reached + index + 1, data: piece }))
              .join('');
            const tail = sse({
              event: result.state === 'complete' ? 'done' : 'failed',
              data:
                result.state === 'complete'
                  ? { count: result.pieces.length, digest: result.digest }
                  : { reason: result.reason },
            });
            return [text + rest + tail, undefined] as const;
          }
          const end = yield* book.end(id).pipe(Effect.retry({ times: 3 }));
          if (end) return [text + sse({ event: 'ended', data: { reason: end.reason } }), undefined] as const;
          yield* Effect.sleep(250);
          return [`${text}: waiting\n\n`, reached] as const;
        });
      const body = Stream.unfoldEffect<number | undefined, Uint8Array, Fault, never>(from, (place) =>
        place === undefined
          ? Effect.succeedNone
          : Effect.map(next(place), ([text, reached]) => Option.some([encoder.encode(text), reached] as const)),
      );
      return {
        status: 200,
        headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-store' },
        body: Stream.filter(body, (bytes) => bytes.length > 0),
      };
    });

  const end = (id: string, found: Lot): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      const chosen = yield* book.once(lot.keys.end(id), { reason: 'ended', at: context.time.wall() });
      context.news.tell({
        source: `ended/${id}`,
        incarnation: 1,
        sequence: 1,
        kind: 'ended',
        body: { lot: id },
        left: 60_000,
      });
      yield* Effect.forkDaemon(Effect.ignore(context.seater(found.service, 'ended', { id })));
      context.log.event('lot_ended', { lot: id });
      return replies.json(200, { id, state: chosen.reason === 'complete' ? 'complete' : 'ended' });
    });

  /** Lets a lot that came to its end be forgotten; the sweep takes its records away. */
  const retire = (id: string): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      if (!(yield* book.end(id))) return replies.bounce(409, 'the lot is open; end it first', undefined, { id });
      yield* book.once(lot.keys.retired(id), { reason: 'retired' });
      context.log.event('lot_retired', { lot: id });
      return replies.json(200, { id, state: 'retired' });
    });

  return (ask: HttpAsk): Effect.Effect<HttpReply> =>
    Effect.gen(function* () {
      const [, , , id, part, group, item, last] = ask.path.split('?')[0]!.split('/');
      if (id === undefined)
        return ask.method === 'POST' ? yield* hand(ask) : replies.bounce(405, 'lots are handed over by POST');
      const found = yield* book.lot(id);
      if (!found && (yield* book.retired(id))) return replies.bounce(410, 'the lot was retired', undefined, { id });
      if (!found) return replies.bounce(404, `no lot ${id}`);
      if (part === undefined && ask.method === 'GET') return yield* show(id, found);
      if (part === 'end' && ask.method === 'POST') return yield* end(id, found);
      if (part === 'retire' && ask.method === 'POST') return yield* retire(id);
      if (part === 'items' && ask.method === 'GET') {
        if (found.groups[Number(group)]?.items[Number(item)] === undefined) return replies.bounce(404, 'no such item');
        const key = lot.keys.item(id, Number(group), Number(item));
        if (last === undefined) return yield* showItem(id, found, key);
        if (last === 'stream') return yield* stream(id, found, key, ask);
      }
      return replies.bounce(404, 'no such call');
    }).pipe(Effect.catchAll((fault) => Effect.succeed(unavailable(fault))));
};
