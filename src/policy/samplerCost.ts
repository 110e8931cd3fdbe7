/** What a front observes of one sampler when it chooses where a request goes. */
export type SamplerObservation = {
  /** Requests that this front has open there, and how many the sampler works on at once. */
  readonly open: number;
  readonly slots: number;
  /** Smoothed time of its answers, milliseconds. */
  readonly latencyMs: number;
  readonly sameZone: boolean;
  /** Its announcements stopped, and nothing else was heard of it lately. */
  readonly quiet: boolean;
  /** Whether a kept connection to it stands idle. */
  readonly connected: boolean;
  /** A failure or a refusal was so recent that it rests. */
  readonly ejected: boolean;
  /** Share of its answers of late that were faults, 0 to 1. */
  readonly faultShare: number;
};

/** What one millisecond of expected latency costs is 1; factors multiply. */
const baseMs = 5;
const openFactor = 2;
const fullFactor = 3;
/** Bytes between zones cost, and so does the way; a busy or slow sampler nearby still costs more than that. */
const otherZoneFactor = 3;
const quietFactor = 4;
const newConnectionFactor = 2.5;
const ejectedFactor = 50;
const faultFactor = 8;

/** The expected cost of a request at a sampler, in milliseconds of latency; the lowest one is chosen. */
export const samplerCost = (seen: SamplerObservation): number =>
  (seen.latencyMs + baseMs) *
  (1 + (openFactor * seen.open) / Math.max(1, seen.slots)) *
  (seen.open >= seen.slots ? fullFactor : 1) *
  (seen.sameZone ? 1 : otherZoneFactor) *
  (seen.quiet ? quietFactor : 1) *
  (seen.connected ? 1 : newConnectionFactor) *
  (seen.ejected ? ejectedFactor : 1) *
  (1 + faultFactor * seen.faultShare);
