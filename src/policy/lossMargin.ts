import type { Voter } from '../core/paxos.js';
import { placement } from './placement.js';

/**
 * How many more disks a group of replicas may lose before a majority of them is gone. Below 0 none may, and so many
 * machines have to return before the group works.
 */
const ofGroup = (group: ReadonlyArray<Voter>, isPresent: (member: Voter) => boolean): number =>
  group.filter(isPresent).length - placement.majority(group);

/** The same of stores, for the batch whose copies stand on the most of those that are absent. */
const ofStores = (stores: ReadonlyArray<Voter>, isPresent: (member: Voter) => boolean, copies: number): number => {
  const worstFirst = [...stores.filter((store) => !isPresent(store)), ...stores.filter(isPresent)];
  return ofGroup(worstFirst.slice(0, copies), isPresent);
};

/** What may still be lost without losing what was acknowledged. */
export const lossMargin = { ofGroup, ofStores };
