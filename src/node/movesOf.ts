import { createHash } from 'node:crypto';
import { Effect } from 'effect';
import type { Register } from '../core/register.js';
import type { Configuration, Move } from '../shared/configuration.js';
import type { Fault } from '../shared/fault.js';

/** How a move stands. */
export type MoveState = {
  readonly name: string;
  readonly change: string;
  readonly state: 'planned' | 'due' | 'done' | 'failed';
  readonly startMs: number;
  readonly latestMs: number;
  readonly sequence: number | undefined;
  readonly move: Move;
};

const graceMs = 10 * 60_000;

/** The calendar as it stands; a move's change has an id of its own, so that it is made once at the most. */
export const movesOf = (
  register: Register,
  configuration: Configuration,
  now: number,
): Effect.Effect<ReadonlyArray<MoveState>, Fault> =>
  Effect.forEach(Object.entries(configuration.moves), ([name, move]) =>
    Effect.gen(function* () {
      const change = `move/${name}/${createHash('sha256').update(JSON.stringify(move)).digest('hex').slice(0, 12)}`;
      const latestMs = move.latestMs ?? move.startMs + graceMs;
      const taken = now < move.startMs ? undefined : yield* register.find(change);
      const state = taken ? 'done' : now < move.startMs ? 'planned' : now <= latestMs ? 'due' : 'failed';
      return { name, change, state, startMs: move.startMs, latestMs, sequence: taken?.sequence, move } as const;
    }),
  );
