import { seatingBasics } from './seatingBasics.js';
import { seatingPlan } from './seatingPlan.js';

/** A generation as the seater sees it. */
export type SeatedItem = {
  readonly key: string;
  readonly lot: string;
  readonly group: string;
  readonly step: number;
  readonly order: number;
  readonly taskType: string;
  readonly minVersion: number;
  readonly singleVersion: boolean;
  readonly staleness: number | undefined;
  readonly promptTokens: number;
  readonly generated: number;
  readonly state: 'waiting' | 'active' | 'paused' | 'done';
  /** Where it runs, or where its prefix was left. */
  readonly sampler: string | undefined;
  readonly holderIncarnation: number;
  readonly holderVersion: number;
  /** The version of the last piece, and of all pieces of a text that may not mix them. */
  readonly version: number;
  readonly pausedAt: number;
  readonly retryAt: number;
};

/** A sampler as the seater sees it. */
export type SeatedSampler = {
  readonly name: string;
  readonly incarnation: number;
  readonly budget: number;
  readonly version: number;
  readonly ready: boolean;
  readonly loading: boolean;
  /** Kept on its version only for texts of a single version that were begun on it. */
  readonly closing: boolean;
  /** Tokens of interactive requests that run on it. */
  readonly interactive: number;
  /** Tokens that the sampler reports and no known item explains. */
  readonly unexplained: number;
  /** How many items may be active there, where it is slow. */
  readonly most?: number;
};

/** All that seating decides from. */
export type Seating = {
  readonly items: ReadonlyMap<string, SeatedItem>;
  readonly samplers: ReadonlyMap<string, SeatedSampler>;
  /** Items of a group that are done, and all of them. */
  readonly groups: ReadonlyMap<
    string,
    { readonly finished: number; readonly size: number; readonly probed: number | undefined }
  >;
  readonly trainerStep: number;
};

/** A decision, with the figures that it rests on. */
export type Decision = {
  readonly kind: 'pause' | 'resume' | 'admit';
  readonly item: string;
  readonly sampler: string;
  /** Whether the sampler still holds the prefix: it goes on by Last-Event-Id, else it prefills afresh. */
  readonly held: boolean;
  readonly cause: string;
  readonly figures: Readonly<Record<string, number>>;
};

/** Continuous Task Batching as a reducer: what to pause, then what to resume, then what to admit. */
export const seating = { plan: seatingPlan, ...seatingBasics };
