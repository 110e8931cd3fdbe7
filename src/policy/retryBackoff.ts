const firstMs = 25;
const longestMs = 400;
/** Half of the delay is drawn, so that calls that were refused together don't come back together. */
const jitter = 0.5;

/** The pause before the next round of attempts, doubled up to the aim of the call; `chance` is drawn from 0 to 1. */
export const retryBackoffMs = (round: number, aimMs: number, chance: number): number =>
  Math.max(firstMs, Math.min(longestMs, aimMs, firstMs * 2 ** round)) * (1 - jitter * chance);
