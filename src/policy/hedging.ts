import type { ResponseTimes } from './responseTimes.js';

/** What the hedging of a repeatable request observes. */
export type HedgingState = {
  /** The time within which its answer is wanted, milliseconds. */
  readonly aimMs: number;
  /** Response times of requests of the same binding; undefined before the first. */
  readonly seen: ResponseTimes | undefined;
};

/** Before anything was seen, and the bounds of what is derived: shares of the aim. */
const unseenShare = 0.4;
const leastShare = 0.25;
const mostShare = 0.7;
/** So many mean deviations above the mean, some one in thirty responses are still to come. */
const deviations = 2.5;

/**
 * How long a repeatable request waits for its answer before a second sampler gets it too, milliseconds. It follows what
 * requests of the binding took: a tail is cut off where it begins, and a service that is slow as a whole raises the
 * delay up to a bound that leaves a second answer time within the aim, so hedges do not feed on overload.
 */
export const hedgingDelayMs = ({ aimMs, seen }: HedgingState): number => {
  if (seen === undefined) return aimMs * unseenShare;
  const expected = seen.meanMs + deviations * seen.deviationMs;
  return Math.min(aimMs * mostShare, Math.max(aimMs * leastShare, expected));
};
