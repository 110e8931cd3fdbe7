import { Effect } from 'effect';
import { Fault } from '../shared/fault.js';
import { lot, type ItemResult } from './lot.js';
import type { Desk, Growing } from './seaterDesk.js';
import { seaterState } from './seaterState.js';

/** How a seater makes its texts last: checkpoints of what grew, and write-once results. */
export const makeTexts = (desk: Desk) => {
  const { context, token, duty, book, held, state, texts, textOf, wake } = desk;
  const { log, archive } = context;

  const flush = (only?: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      const due = [...texts].filter(
        ([key, text]) =>
          (only === undefined || key === only) &&
          state.get().items.has(key) &&
          text.pieces.length + (text.final ? 1 : 0) > text.saved,
      );
      const byLot = new Map<string, ReadonlyArray<readonly [string, Growing]>>();
      for (const each of due) byLot.set(each[0].split('/')[0]!, [...(byLot.get(each[0].split('/')[0]!) ?? []), each]);
      yield* Effect.forEach(
        byLot,
        ([id, entries]) =>
          Effect.gen(function* () {
            const saved = entries.map(([key, text]) => ({
              key,
              text,
              from: text.confirmed,
              count: text.pieces.length,
              final: text.final,
            }));
            const written = (whole: boolean) =>
              saved.map(({ key, text, from, count, final }) => {
                const item = state.get().items.get(key);
                const place = {
                  final,
                  fault: text.fault,
                  sampler: item?.sampler,
                  incarnation: item?.holderIncarnation ?? 0,
                  version: text.pieces.at(-1)?.version ?? 0,
                  promptTokens: text.promptTokens,
                };
                return book.checkpoint(duty, token, key, text.pieces.slice(0, count), place, whole ? 0 : from);
              });
            const checkpoints = written(false);
            yield* archive.put(id, duty, checkpoints, written(true));
            if (!held()) return yield* new Fault({ step: 'checkpoint', reason: 'the duty is no longer held' });
            for (const { text, count, final } of saved) {
              text.confirmed = Math.max(text.confirmed, count);
              text.saved = Math.max(text.saved, count + (final ? 1 : 0));
            }
            context.log.count('checkpoints', checkpoints.length);
            wake();
          }),
        { concurrency: 8 },
      );
    });

  const finish = (key: string, result: ItemResult): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      if (!held()) return yield* new Fault({ step: 'result', reason: 'the duty is no longer held' });
      const chosen = yield* book.once(lot.keys.result(key), result);
      state.swap((now) => seaterState.finish(now, key, chosen.state));
      log.event('item_finished', {
        item: key,
        state: chosen.state,
        reason: chosen.state === 'failed' ? chosen.reason : undefined,
        pieces: chosen.pieces.length,
      });
      wake();
    });

  const complete = (key: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      const text = textOf(key);
      text.final = true;
      yield* flush(key);
      const whole = text.pieces.map((piece) => piece.text).join('');
      yield* finish(key, {
        state: 'complete',
        pieces: [...text.pieces],
        promptTokens: text.promptTokens,
        digest: lot.digestOf(whole),
      });
    });

  /** Ends an item with a reason; like a whole text, what it came to stands on a majority before its result. */
  const giveUp = (key: string, reason: string): Effect.Effect<void, Fault> =>
    Effect.gen(function* () {
      const text = textOf(key);
      if (text.final && text.fault === undefined) return yield* complete(key);
      text.stretch += 1;
      text.final = true;
      text.fault = reason;
      yield* flush(key);
      yield* finish(key, { state: 'failed', reason, pieces: [...text.pieces] });
    });

  return { flush, finish, complete, giveUp };
};

/** A seater's ways to make texts last. */
export type Texts = ReturnType<typeof makeTexts>;
