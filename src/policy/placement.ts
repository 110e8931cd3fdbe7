import type { Voter } from '../core/paxos.js';
import type { StoreSeat } from '../shared/configuration.js';
import { rendezvous } from '../shared/rendezvous.js';
import type { StoreView } from '../fleet/fleetTypes.js';

/**
 * The copies by rendezvous, no zone with more than its share of them where the zones have stores enough. The zone of
 * the first one, which leads while it can, is filled up first: a majority then spans as few zones as may be lost.
 */
const setOf = (lot: string, members: ReadonlyArray<StoreSeat>, copies: number): ReadonlyArray<StoreSeat> => {
  const byName = new Map(members.map((member) => [member.name, member]));
  const ranked = rendezvous(lot, [...byName.keys()]).map((name) => byName.get(name)!);
  const counts = new Map<string, number>();
  for (const { zone = '' } of ranked) counts.set(zone, 0);
  const most = Math.ceil(copies / counts.size);
  const leaderZone = ranked[0]?.zone;
  const near = leaderZone === undefined ? [] : ranked.filter((store) => store.zone === leaderZone).slice(0, most);
  const ordered = [...near, ...ranked.filter((store) => !near.includes(store))];
  const spread: StoreSeat[] = [];
  const others: StoreSeat[] = [];
  for (const store of ordered) {
    const zone = store.zone ?? '';
    const count = counts.get(zone)!;
    (count < most ? spread : others).push(store);
    counts.set(zone, count + 1);
  }
  const chosen = new Set([...spread, ...others].slice(0, copies));
  return ranked.filter((store) => chosen.has(store));
};

/** Where a lot's copies stand: a set of stores, and the set before it while the view is changing. */
export const placement = {
  /** Twice the machines that may be lost at once, and one. */
  copies: (tolerance: number): number => 2 * tolerance + 1,
  sets: (lot: string, view: StoreView, copies: number): ReadonlyArray<ReadonlyArray<StoreSeat>> => [
    setOf(lot, view.current, copies),
    ...(view.previous.length > 0 ? [setOf(lot, view.previous, copies)] : []),
  ],
  /** How many copies of a set are a majority. */
  majority: (set: ReadonlyArray<Voter>): number => Math.floor(set.length / 2) + 1,
  /** True when a majority of every set is there. */
  quorum: (sets: ReadonlyArray<ReadonlyArray<Voter>>, there: (member: Voter) => boolean): boolean =>
    sets.every((set) => set.length > 0 && set.filter(there).length > set.length / 2),
  key: (member: Voter): string => `${member.name} ${member.disk}`,
  /** The store's name in a key. */
  nameOf: (key: string): string => key.split(' ')[0]!,
};
