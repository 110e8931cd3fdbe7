import type { Reason } from '../shared/checked.js';
import type { HostBinding, LotBody, LotItem, LotResult, Partial, Sampler, Traffic } from './fleetTypes.js';

/** Headers as Node's http gives them: lower-case names. */
export type InHeaders = Readonly<Record<string, string | string[] | undefined>>;
/** Headers to send. */
export type OutHeaders = Record<string, string>;
/** An answer to a caller. */
export type Reply = { readonly status: number; readonly headers?: OutHeaders; readonly body?: string | Uint8Array };
/** A call to a sampler. */
export type SamplerCall = {
  /** The name under which it is counted. */
  readonly kind?: string;
  /**
   * The attempt id that it carries, empty where such calls carry none. By it alone an answer is known, so one id goes
   * at most once over a connection.
   */
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: OutHeaders;
  readonly body: Uint8Array;
};

/** What a caller's request says of itself. */
export type AskHead = {
  /** The attempt's id; it comes back with the answer. */
  readonly attempt: string;
  readonly timeLeftMs: number;
  readonly resumeAfter: number | undefined;
  /** The tenant's key that it carries. It is never logged and never written to a disk. */
  readonly key?: string;
};

/** Who a request comes from, as far as its key tells. */
export type Caller = {
  /** True where the configuration has tenants: what callers send as their key goes to no sampler. */
  readonly keysInUse: boolean;
  readonly tenant?: string;
};

/** What a call of the lots' own interface wants. */
export type LotCall =
  | { readonly kind: 'read'; readonly lot: string; readonly after: number; readonly waitMs: number }
  | { readonly kind: 'item'; readonly lot: string; readonly id: string }
  | { readonly kind: 'end'; readonly lot: string };

/** What a call to the control side wants. */
export type ControlCall =
  | { readonly kind: 'announce'; readonly sampler: Omit<Sampler, 'quiet' | 'born'> }
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'declare'; readonly basedOn: number; readonly whole: boolean; readonly document: unknown }
  | { readonly kind: 'declared' }
  | { readonly kind: 'weights'; readonly model: string; readonly version: number }
  | { readonly kind: 'empty'; readonly store: string }
  | { readonly kind: 'emptied'; readonly store: string }
  | { readonly kind: 'bad'; readonly status: number; readonly reason: string };

/** What a sampler's answer says of itself, beside its status. */
export type SamplerHead = {
  readonly attempt: string;
  readonly stamp: string;
  /** The sampler promises that it did not run the request. */
  readonly notRun: boolean;
  readonly versions: ReadonlyArray<number>;
  readonly running: number | undefined;
  readonly waiting: number | undefined;
};

/** One event of a text's stream. */
export type TextEvent = { readonly id: number; readonly data: string; readonly version: number | undefined };

/** How the outside world is spoken to: names, formats and calls. Nothing here decides. */
export type Dialect = {
  readonly ask: (headers: InHeaders) => AskHead;
  readonly lotCall: (method: string, url: string, headers: InHeaders) => LotCall | undefined;
  readonly lotBody: (
    bytes: Uint8Array,
    host: string,
    binding: HostBinding,
    wall: number,
    caller: Caller,
  ) => LotBody | ReadonlyArray<Reason>;
  readonly lotRead: (total: number, after: number, results: ReadonlyArray<LotResult>) => Reply;
  readonly lotItem: (base64: string) => Reply;
  readonly refusal: (status: number, attempt: string, againMs: number | undefined, cause: string) => Reply;
  readonly controlCall: (method: string, url: string, headers: InHeaders, body: Uint8Array) => ControlCall | undefined;
  /** The whole document after a change of named parts. */
  readonly patched: (document: string, patch: unknown) => unknown;
  readonly traffic: (document: unknown) => Traffic | ReadonlyArray<Reason>;
  readonly said: (fields: Readonly<Record<string, unknown>>) => string;
  readonly emptiedReply: (done: boolean) => Reply;
  /** Headers of a caller's request as they go to a sampler: the caller's tenant by name, and no key. */
  readonly passedOn: (
    raw: ReadonlyArray<string>,
    caller: Caller,
    sampler: Sampler,
    timeLeftMs: number,
    resumeAfter?: number,
  ) => OutHeaders;
  /** Headers of a sampler's answer as they go back. */
  readonly passedBack: (raw: ReadonlyArray<string>) => OutHeaders;
  readonly itemCall: (
    item: LotItem,
    host: string,
    how: {
      readonly sampler: Sampler;
      readonly model: string;
      readonly version: number;
      readonly urgency: number;
      readonly partial: Partial | undefined;
      readonly tenant: string | undefined;
    },
  ) => SamplerCall;
  readonly ratingCall: (item: LotItem, sampler: Sampler, timeLeftMs: number) => SamplerCall;
  readonly orderCall: (how: {
    readonly sampler: Sampler;
    readonly model: string;
    readonly version: number;
    readonly holder: string;
    readonly fence: number;
  }) => SamplerCall;
  readonly samplerHead: (headers: InHeaders) => SamplerHead;
  readonly event: (id: string | undefined, data: string) => TextEvent;
  readonly ready: (url: string) => boolean;
};
