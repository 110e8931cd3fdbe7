import type { NodeContext } from '../node/nodeContext.js';
import { table } from '../shared/table.js';

type Pace = { readonly pieceMs: number; readonly pieces: number; readonly slow: boolean };

const fresh: Pace = { pieceMs: 0, pieces: 0, slow: false };
const slowAt = 4;
const steadyAt = 2;
const floorMs = 10;
/** How many pieces a pace rests on at the least, and how far one late piece counts. */
const piecesLeast = 6;
const outlier = 8;

/**
 * How fast samplers stream. One that is far slower than the median of its service is slow until it is steady again,
 * well below that; one and the same factor for both would have it go to and fro.
 */
export const makePaces = (context: NodeContext) => {
  const paces = table<ReadonlyMap<string, Pace>>(new Map());
  const median = (): number => {
    const known = [...paces.get().values()]
      .filter((pace) => pace.pieces >= piecesLeast)
      .map((pace) => pace.pieceMs)
      .sort((left, right) => left - right);
    return Math.max(floorMs, known[Math.floor((known.length - 1) / 2)] ?? 0);
  };
  return {
    /** A piece came so many ms after the one before it. */
    took: (sampler: string, ms: number): void => {
      const before = paces.get().get(sampler) ?? fresh;
      const usual = median();
      const counted = before.pieces < piecesLeast ? ms : Math.min(ms, outlier * Math.max(usual, before.pieceMs));
      const pieceMs = before.pieces === 0 ? counted : 0.8 * before.pieceMs + 0.2 * counted;
      const share = pieceMs / usual;
      const slow = before.pieces >= piecesLeast && (before.slow ? share > steadyAt : share > slowAt);
      paces.swap((now) => new Map(now).set(sampler, { pieceMs, pieces: before.pieces + 1, slow }));
      if (slow !== before.slow)
        context.log.event(slow ? 'sampler_slow' : 'sampler_steady', { sampler, ms: Math.round(pieceMs), usual });
    },
    slow: (sampler: string): boolean => paces.get().get(sampler)?.slow ?? false,
  };
};
