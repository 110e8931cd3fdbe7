import type { Context, Effect } from 'effect';
import type { Register } from '../core/register.js';
import type { Fault } from '../shared/fault.js';
import type { Http } from '../shared/http.js';
import type { Links } from '../shared/links.js';
import type { Log } from '../shared/log.js';
import type { Settings } from '../shared/settings.js';
import type { Timepiece } from '../shared/timepiece.js';
import type { Archive } from '../store/archive.js';
import type { Leases } from './leases.js';
import type { News, Presence } from './news.js';

/** What the parts of one node share. */
export type NodeContext = {
  readonly settings: Settings;
  readonly news: News;
  readonly register: Register;
  readonly leases: Leases;
  readonly archive: Archive;
  readonly state: () => Presence['state'];
  /** Bounces new work and hands duties on, or takes that back. */
  readonly draining: (on: boolean) => Effect.Effect<void>;
  /** Asks a service's seater, wherever it is. */
  readonly seater: (service: string, call: string, body: unknown) => Effect.Effect<unknown, Fault>;
  /** The fleet's events, with the nodes that did not answer. */
  readonly events: (filter: {
    from: number;
    until: number;
    about: string;
    most: number;
  }) => Effect.Effect<{ readonly lines: ReadonlyArray<string>; readonly silent: ReadonlyArray<string> }>;
  /** A table of fleet state for operators' queries. */
  readonly table: (
    name: string,
    filter: { readonly about: string; readonly from: number; readonly until: number },
  ) => Effect.Effect<{ readonly rows: ReadonlyArray<unknown>; readonly silent: ReadonlyArray<string> } | undefined>;
  readonly facts: () => Readonly<Record<string, unknown>>;
  readonly http: Context.Tag.Service<typeof Http>;
  readonly links: Context.Tag.Service<typeof Links>;
  readonly log: Context.Tag.Service<typeof Log>;
  readonly time: Context.Tag.Service<typeof Timepiece>;
};
