import { Effect } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import type { Fault } from '../shared/fault.js';
import { lotBook } from './lotBook.js';
import type { GrowingText, SeaterState } from './seaterState.js';

/** A text that may be rated, with its digest. */
export type RatedText = { readonly text: string; readonly digest: string };

/** The rules that keep a seater's promises, each in one place. */
export const seaterRules = {
  /** How long a read that found a lot open allows starts. */
  verifiedForMs: 2000,
  /** How many pieces of a text may be shown: those that stand on a majority of stores. */
  shown: (text: GrowingText | undefined): number => text?.confirmed ?? 0,
  /** Items that may be rated: those whose result says that they are complete. */
  ratable: (state: SeaterState): ReadonlyArray<string> =>
    [...state.finished].filter(([, end]) => end === 'complete').map(([key]) => key),
  /** The text that a rating is asked for: that of the result, which is written once and stands on a majority. */
  ratedText: (
    archive: NodeContext['archive'],
    item: string,
    _growing: GrowingText | undefined,
  ): Effect.Effect<RatedText | undefined, Fault> =>
    Effect.map(lotBook(archive).result(item), (result) =>
      result?.state === 'complete'
        ? { text: result.pieces.map((piece) => piece.text).join(''), digest: result.digest }
        : undefined,
    ),
};
