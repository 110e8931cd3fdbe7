import type { Voter } from '../core/paxos.js';
import type { StoreSeat } from '../shared/configuration.js';
import { placement } from './placement.js';

/** What the choice of a leader's targets observes. */
export type ReplicationState = {
  /** The sets of copies of which each has to hold a majority of what is acknowledged. */
  readonly sets: ReadonlyArray<ReadonlyArray<StoreSeat>>;
  readonly self: Voter;
  /** False for a copy that is away, or that was late or silent in the last seconds. */
  readonly responsive: (copy: Voter) => boolean;
  /** How many entries a copy is known to hold; below 0 where that is not known. */
  readonly held: (copy: Voter) => number;
};

type Ranked = { readonly key: string; readonly own: boolean; readonly responsive: boolean } & {
  readonly held: number;
  readonly near: boolean;
};

const before = (one: Ranked, other: Ranked): number =>
  Number(other.own) - Number(one.own) ||
  Number(other.responsive) - Number(one.responsive) ||
  other.held - one.held ||
  Number(other.near) - Number(one.near);

/**
 * Chooses the copies to which a leader writes at once: of each set a majority and no more, the leader first, then those
 * that respond, hold most already, stand in the leader's zone, and rank first, in this order. The others get what they
 * lack when a target is late or the lot stays open, so a text crosses zones once or twice instead of up to four times.
 * What is acknowledged stands on a majority either way, so as many disks may be lost as before.
 *
 * Answers the keys of the targets.
 */
export const replicationTargets = ({ sets, self, responsive, held }: ReplicationState): ReadonlySet<string> => {
  const own = placement.key(self);
  const targets = new Set<string>();
  for (const set of sets) {
    const zone = set.find((copy) => placement.key(copy) === own)?.zone;
    const ranked = set.map((copy): Ranked => ({
      key: placement.key(copy),
      own: placement.key(copy) === own,
      responsive: responsive(copy),
      held: held(copy),
      near: zone !== undefined && copy.zone === zone,
    }));
    ranked.sort(before);
    for (const { key } of ranked.slice(0, placement.majority(set))) targets.add(key);
  }
  return targets;
};
