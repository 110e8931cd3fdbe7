import type { FleetKey } from './fleetKeys.js';

/** What somebody outside the fleet saw; times are virtual milliseconds. */
export type Observation =
  /** A declaration of traffic that an operator sent, once or again, and what it was told; status 0 is silence. */
  | {
      readonly kind: 'declared';
      readonly sentAt: number;
      readonly at: number;
      readonly version: number;
      readonly basedOn: number;
      readonly mark: string;
      readonly status: number;
      readonly reason: string;
      readonly again: boolean;
    }
  /** The version that an operator read. */
  | {
      readonly kind: 'read';
      readonly sentAt: number;
      readonly at: number;
      readonly version: number;
      readonly mark: string;
      readonly core: string;
    }
  /** An order that a sampler took. */
  | {
      readonly kind: 'order';
      readonly at: number;
      readonly sampler: string;
      readonly holder: string;
      readonly fence: number;
      readonly calm: boolean;
    }
  /** A request that a sampler began to work on, and whether the front that sent it was in touch with the cores. */
  | {
      readonly kind: 'ran';
      readonly at: number;
      readonly attempt: string;
      readonly sampler: string;
      readonly inTouch: boolean;
      /** The tenant that the front named, and all headers as they came. */
      readonly tenant: string | undefined;
      readonly headers: string;
    }
  /** A sampler's departure was acknowledged. */
  | { readonly kind: 'departed'; readonly at: number; readonly sampler: string; readonly core: string }
  /** A caller's request and its answer; status 0 is silence or a broken connection. */
  | {
      readonly kind: 'asked';
      readonly sentAt: number;
      readonly at: number;
      readonly attempt: string;
      readonly key: FleetKey;
      readonly once: boolean;
      /** No answer came, and the connection stayed open. */
      readonly silent: boolean;
      readonly status: number;
      readonly echoed: string;
    }
  /** A request whose caller left after a moment. */
  | {
      readonly kind: 'quit';
      readonly sentAt: number;
      readonly at: number;
      readonly attempt: string;
      readonly once: boolean;
      readonly status: number;
      readonly echoed: string;
    }
  /** A stream that can't be taken up, asked for on a kept connection; status 0 is silence or a broken answer. */
  | {
      readonly kind: 'streamed';
      readonly sentAt: number;
      readonly at: number;
      readonly attempt: string;
      readonly front: string;
      readonly status: number;
      readonly stamped: boolean;
      readonly text: string;
    }
  /** A process was told to stop, or was disturbed: killed, frozen, or its connections reset. */
  | {
      readonly kind: 'signalled';
      readonly at: number;
      readonly machine: string;
      readonly front: string | undefined;
      readonly how: 'stop' | 'disturb';
    }
  /** A sampler's process ended, and its connections with it. */
  | { readonly kind: 'samplerEnded'; readonly at: number; readonly sampler: string }
  | {
      readonly kind: 'batchTaken';
      readonly at: number;
      readonly batch: string;
      readonly tenant: string;
      readonly items: ReadonlyArray<string>;
    }
  | { readonly kind: 'batchEnded'; readonly at: number; readonly batch: string }
  /** Results of a batch from a position on. */
  | {
      readonly kind: 'results';
      readonly sentAt: number;
      readonly at: number;
      readonly batch: string;
      readonly after: number;
      readonly results: ReadonlyArray<{ readonly id: string; readonly state: string; readonly text: string }>;
    }
  /** A batch that was taken is said not to be there. */
  | { readonly kind: 'batchMissing'; readonly at: number; readonly batch: string };
