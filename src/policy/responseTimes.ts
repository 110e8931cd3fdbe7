/** What was observed of the response times of one kind of call: smoothed mean and mean deviation, milliseconds. */
export type ResponseTimes = { readonly meanMs: number; readonly deviationMs: number };

/** Gains and the factor of the deviation as in RFC 6298, which computes TCP's retransmission timeout so. */
const meanGain = 1 / 8;
const deviationGain = 1 / 4;
const deviationFactor = 4;

/**
 * Response times as RFC 6298 smooths them. They adapt within some ten responses, and a single slow one moves the limit
 * by an eighth of itself, so that a limit derived from them neither chases outliers nor oscillates.
 */
export const responseTimes = {
  after: (before: ResponseTimes | undefined, tookMs: number): ResponseTimes =>
    before === undefined
      ? { meanMs: tookMs, deviationMs: tookMs / 2 }
      : {
          meanMs: before.meanMs + meanGain * (tookMs - before.meanMs),
          deviationMs: before.deviationMs + deviationGain * (Math.abs(tookMs - before.meanMs) - before.deviationMs),
        },
  /** How long a response may take before it counts as late, within bounds. */
  lateAfterMs: (known: ResponseTimes | undefined, leastMs: number, mostMs: number): number => {
    const expected = known === undefined ? mostMs : known.meanMs + deviationFactor * known.deviationMs;
    return Math.min(mostMs, Math.max(leastMs, expected));
  },
};
