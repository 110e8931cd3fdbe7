/** How many calls of one kind may be open at once, raised and lowered by what came of them (AIMD). */
export type ConcurrencyLimit = {
  readonly limit: number;
  /** When it was lowered last, in milliseconds. */
  readonly loweredAt: number;
};

const initial = 8;
const least = 1;
const most = 64;
const decrease = 0.7;
/** Calls that were sent before the limit was lowered tell nothing of the lower one. */
const restMs = 200;

/** Additive increase with each call that found room, multiplicative decrease with one that found none. */
export const concurrencyLimit = {
  initial: { limit: initial, loweredAt: -Infinity } as ConcurrencyLimit,
  allows: ({ limit }: ConcurrencyLimit, open: number): boolean => open < Math.floor(limit),
  afterRoom: (now: ConcurrencyLimit): ConcurrencyLimit => ({
    ...now,
    limit: Math.min(most, now.limit + 1 / now.limit),
  }),
  afterOverload: (now: ConcurrencyLimit, atMs: number): ConcurrencyLimit =>
    atMs - now.loweredAt < restMs ? now : { limit: Math.max(least, now.limit * decrease), loweredAt: atMs },
};
