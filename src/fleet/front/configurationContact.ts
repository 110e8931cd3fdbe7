import type { Watcher } from '../watcher.js';

/** What a front may conclude from the configuration that it knows, by how long ago it was told or confirmed. */
export type ConfigurationContact = {
  /** A key that is known may still be honoured. */
  readonly keysHold: () => boolean;
  /** What is not in the configuration is unknown to the operator too, and not only to this front. */
  readonly current: () => boolean;
};

/** Without a word from any core for so long the configuration may have moved on. */
const silentMs = 2600;
/** The share of the time for which a withdrawn key may still be honoured that a front makes use of. */
const revocationShare = 0.9;

const make = (options: {
  readonly watcher: Pick<Watcher, 'heardAt' | 'confirmedAt'>;
  readonly now: () => number;
  readonly revokeMs: number | undefined;
}): ConfigurationContact => {
  const { watcher, now, revokeMs } = options;
  const keysHold = (): boolean => revokeMs === undefined || now() - watcher.confirmedAt() < revokeMs * revocationShare;
  return {
    keysHold,
    current: () => now() - watcher.heardAt() < silentMs && keysHold(),
  };
};

/** Judging a front's knowledge of the configuration; `revokeMs` is the bound for keys, where there is one. */
export const configurationContact = { make };
