import { Effect, FiberMap } from 'effect';
import { Fault } from '../shared/fault.js';
import { lot, type ItemResult } from './lot.js';
import type { Desk } from './seaterDesk.js';
import { seaterState } from './seaterState.js';

/** The lots that a seater works on: taken up from the stores, verified, and closed. */
export const makeLots = (desk: Desk) => {
  const { context, service, token, duty, book, held, state, texts, explained, faults, wake } = desk;
  const { time, log } = context;

  const open = (id: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      if (state.get().lots.has(id)) return;
      const startedAt = time.held();
      const end = yield* book.end(id);
      if (end) return;
      const found = yield* book.load(id, duty, token);
      if (!found || found.lot.service !== service || state.get().lots.has(id)) return;
      for (const [key, { pieces, place }] of found.texts) {
        texts.set(key, {
          pieces: [...pieces],
          tokens: pieces.reduce((sum, piece) => sum + piece.tokens, 0),
          confirmed: pieces.length,
          saved: pieces.length + (place.final ? 1 : 0),
          final: place.final,
          stretch: 0,
          promptTokens: place.promptTokens,
          fault: place.fault,
        });
      }
      state.swap((before) => {
        const items = new Map(before.items);
        for (const item of seaterState.openItems(id, found.lot, startedAt)) {
          const text = found.texts.get(item.key);
          const generated = text?.pieces.reduce((sum, piece) => sum + piece.tokens, 0) ?? 0;
          items.set(
            item.key,
            found.results.has(item.key)
              ? { ...item, state: 'done' }
              : text === undefined
                ? item
                : {
                    ...item,
                    state: 'paused',
                    generated,
                    version: text.pieces.at(-1)?.version ?? 0,
                    sampler: text.place.sampler,
                    holderIncarnation: text.place.incarnation,
                    holderVersion: text.place.version,
                    promptTokens: text.place.promptTokens,
                  },
          );
        }
        return {
          ...before,
          items,
          lots: new Map(before.lots).set(id, { id, lot: found.lot, verifiedAt: startedAt, ended: false }),
          finished: new Map([
            ...before.finished,
            ...[...found.results].map(([key, result]): [string, ItemResult['state']] => [key, result.state]),
          ]),
        };
      });
      log.event('lot_opened', {
        lot: id,
        step: found.lot.step,
        items: lot.itemsOf(found.lot).length,
        texts: found.texts.size,
        results: found.results.size,
      });
    });

  const close = (fibers: FiberMap.FiberMap<string>, id: string, cause: string): Effect.Effect<void> =>
    Effect.gen(function* () {
      const keys = [...state.get().items.values()].filter((item) => item.lot === id).map((item) => item.key);
      state.swap((before) => seaterState.dropLot(before, id));
      for (const key of keys) {
        yield* FiberMap.remove(fibers, key);
        yield* FiberMap.remove(fibers, `rating ${key}`);
        texts.delete(key);
        explained.delete(key);
        faults.delete(key);
      }
      wake();
      log.event('lot_closed', { lot: id, cause });
      yield* Effect.forkDaemon(Effect.ignore(book.forget(id, duty, token, keys)));
    });

  const verify = (fibers: FiberMap.FiberMap<string>, rated: Set<string>): Effect.Effect<void> =>
    Effect.suspend(() =>
      Effect.forEach(
        [...state.get().lots.values()],
        (each) =>
          Effect.gen(function* () {
            const startedAt = time.held();
            const end = yield* book.end(each.id);
            if (end) return yield* close(fibers, each.id, end.reason);
            state.swap((before) =>
              before.lots.has(each.id)
                ? {
                    ...before,
                    lots: new Map(before.lots).set(each.id, { ...before.lots.get(each.id)!, verifiedAt: startedAt }),
                  }
                : before,
            );
            const items = [...state.get().items.values()].filter((item) => item.lot === each.id);
            if (items.some((item) => item.state !== 'done')) return;
            const unrated =
              each.lot.ratingService === undefined
                ? []
                : items.filter((item) => !rated.has(item.key) && state.get().finished.get(item.key) === 'complete');
            if (unrated.length === 0 && held())
              yield* book.once(lot.keys.end(each.id), { reason: 'complete', at: time.wall() });
          }).pipe(Effect.ignore),
        { concurrency: 8, discard: true },
      ),
    );

  return { open, close, verify };
};

/** A seater's lots. */
export type SeaterLots = ReturnType<typeof makeLots>;
