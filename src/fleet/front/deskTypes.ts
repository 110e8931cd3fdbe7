import type { Advert, Grant, Sampler } from '../fleetTypes.js';
import type { ItemRun } from './itemRun.js';

/** An item at its desk: it runs, or it is being rated. */
export type Running = {
  readonly grant: Grant;
  readonly sampler: Sampler;
  run: ItemRun | undefined;
  cancel: (() => void) | undefined;
};
/** A sampler that this front owns. */
export type Desk = {
  sampler: Sampler;
  readonly running: Set<string>;
  pulling: number;
  readonly modelBlocked: Map<string, number>;
  readonly learnt: Map<string, number>;
  /** Rises with each item that the sampler answered by a fault of its own, falls with each whole text. */
  faults: number;
};
/** What was last heard of a lot, and what is left of its work beside what is asked for already. */
export type Known = {
  readonly advert: Advert;
  readonly store: string;
  readonly at: number;
  needed: number;
  spare: number;
};
/** What a front asks of a store for one of its samplers. */
export type PullAsk = {
  readonly lot: string;
  readonly sampler: string;
  readonly version: number;
  readonly most: number;
  readonly spare: boolean;
};
