import type { Voter } from '../../core/paxos.js';
import { rendezvous } from '../../shared/rendezvous.js';
import type { StoreView } from '../fleetTypes.js';

const setOf = (lot: string, members: ReadonlyArray<Voter>, copies: number): ReadonlyArray<Voter> => {
  const byName = new Map(members.map((member) => [member.name, member]));
  return rendezvous(lot, [...byName.keys()])
    .slice(0, copies)
    .map((name) => byName.get(name)!);
};

/** Where a lot's copies stand: a set of stores, and the set before it while the view is changing. */
export const placement = {
  /** Twice the machines that may be lost at once, and one. */
  copies: (tolerance: number): number => 2 * tolerance + 1,
  sets: (lot: string, view: StoreView, copies: number): ReadonlyArray<ReadonlyArray<Voter>> => [
    setOf(lot, view.current, copies),
    ...(view.previous.length > 0 ? [setOf(lot, view.previous, copies)] : []),
  ],
  /** True when a majority of every set is there. */
  quorum: (sets: ReadonlyArray<ReadonlyArray<Voter>>, there: (member: Voter) => boolean): boolean =>
    sets.every((set) => set.length > 0 && set.filter(there).length > set.length / 2),
  key: (member: Voter): string => `${member.name} ${member.disk}`,
};
