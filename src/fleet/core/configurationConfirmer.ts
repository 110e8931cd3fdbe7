import { Effect } from 'effect';
import type { Register } from '../../core/register.js';
import type { ConfirmedSequence } from '../watcher.js';

/** Finds out, again and again, that no newer configuration was decided than the one that this core knows. */
export type ConfigurationConfirmer = {
  /** Asks a majority of the voters; fails where none answers in time. */
  readonly confirm: () => Promise<void>;
  readonly confirmed: () => ConfirmedSequence | undefined;
};

const make = (options: {
  readonly register: Pick<Register, 'latest'>;
  readonly now: () => number;
  readonly timeoutMs: number;
}): ConfigurationConfirmer => {
  const { register, now, timeoutMs } = options;
  let last: { readonly sequence: number; readonly askedAt: number } | undefined;
  return {
    confirm: async () => {
      const askedAt = now();
      const { sequence } = await Effect.runPromise(Effect.timeout(register.latest, timeoutMs));
      last = { sequence, askedAt };
    },
    confirmed: () => last && { sequence: last.sequence, agoMs: now() - last.askedAt },
  };
};

/** Confirming a core's knowledge of the configuration. Times are in milliseconds, by the steady clock. */
export const configurationConfirmer = { make };
