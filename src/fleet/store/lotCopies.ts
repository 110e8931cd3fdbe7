import type { Voter } from '../../core/paxos.js';
import type { Channels } from '../../edge/channels.js';
import type { StoreSeat } from '../../shared/configuration.js';
import { Fault } from '../../shared/fault.js';
import type { LeaderBallot, LotResult, LotValue, Member, StoreView } from '../fleetTypes.js';
import { placement } from '../../policy/placement.js';
import type { CopyProgress } from './copyProgress.js';
import type { LotReplica } from './lotReplica.js';
import type { LotState } from './lotState.js';

/** A lot that this store leads. */
export type Led = {
  readonly lot: string;
  readonly ballot: LeaderBallot;
  readonly values: LotValue[];
  /** The ballots that the first entries were found under. */
  readonly origin: ReadonlyArray<LeaderBallot>;
  /** How many entries each copy holds under this ballot. */
  readonly progress: CopyProgress;
  /** How many entries were found when the leading began; until they all stand again, nothing may be handed out. */
  readonly found: number;
  /** Whether its end was among them. */
  readonly endFound: boolean;
  /** The epoch at which it was made, where this leader made it. */
  readonly born: number | undefined;
  /** How many entries a majority holds. */
  chosen: number;
  readonly state: LotState;
  /** When a majority last said that nobody else leads, by this process's clock at the time of asking. */
  confirmedAt: number;
  readonly heard: Map<string, number>;
  settledAt: number;
  /** Since when an entry waits for its majority, or Infinity. */
  waitingSince: number;
  /** When the leading began. */
  readonly begunAt: number;
  /** The copies that entries go to at once, and the sets that they were chosen of. */
  targets: { readonly sets: ReadonlyArray<ReadonlyArray<StoreSeat>>; readonly keys: ReadonlySet<string> } | undefined;
  waiting: ReadonlyArray<{
    readonly index: number;
    readonly done: () => void;
    readonly failed: (fault: Fault) => void;
  }>;
  open: boolean;
};

/** What the parts of one store's leading share. */
export type LeaderOptions = {
  readonly self: Voter;
  /** This life of this store, as it signs ballots. */
  readonly owner: string;
  readonly copies: number;
  readonly replica: LotReplica;
  readonly channels: Channels;
  readonly view: () => StoreView;
  readonly member: (name: string) => Member | undefined;
  readonly now: () => number;
  /** True once this store is told to stop: it leads nothing any more. */
  readonly leaving: () => boolean;
  readonly chosen: (led: Led, value: LotValue, result: LotResult | undefined) => void;
  readonly deposed: (led: Led) => void;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
};

/** What a copy answers to a leader. */
export type CopyAnswer = {
  readonly ok: boolean;
  readonly promised: LeaderBallot;
  /** How many entries it holds and whether the end is one of them, where it was asked whom it lets lead. */
  readonly held?: number;
  readonly ended?: boolean;
};
/** What a copy answers to a leader that begins. */
export type Prepared = CopyAnswer & { readonly ballots: ReadonlyArray<LeaderBallot> };

/** How a store reaches the copies of lots. */
export type LotCopies = {
  readonly own: string;
  readonly sets: (lot: string) => ReadonlyArray<ReadonlyArray<StoreSeat>>;
  readonly of: (lot: string) => ReadonlyArray<Voter>;
  readonly address: (voter: Voter) => string | undefined;
  readonly alive: (name: string) => boolean;
  /** Calls a copy; it bounces what is meant for another disk or comes from an older epoch. */
  readonly call: (voter: Voter, name: string, body: object, timeLeftMs?: number) => Promise<unknown>;
};

/** Makes a store's view of the copies. */
export const makeLotCopies = (options: LeaderOptions): LotCopies => {
  const { self, channels, view, member } = options;
  let [known, knownOf]: [Map<string, ReturnType<typeof placement.sets>>, unknown] = [new Map(), undefined];
  const sets = (lot: string): ReturnType<typeof placement.sets> => {
    const stores = view();
    if (stores !== knownOf) [known, knownOf] = [new Map(), stores];
    const found = known.get(lot) ?? placement.sets(lot, stores, options.copies);
    known.set(lot, found);
    return found;
  };
  const address = (voter: Voter): string | undefined => {
    const there = member(voter.name);
    return there && there.disk === voter.disk ? there.peer : undefined;
  };
  return {
    own: placement.key(self),
    sets,
    of: (lot) => [...new Map(sets(lot).flatMap((set) => set.map((each) => [placement.key(each), each]))).values()],
    address,
    alive: (name) => (name === self.name ? !options.leaving() : member(name)?.state === 'ready'),
    call: async (voter, name, body, timeLeftMs = 900) => {
      const to = address(voter);
      if (!to) throw new Fault({ step: name, cohortMember: voter.name, reason: 'not present' });
      return channels.call(to, name, { ...body, disk: voter.disk, epoch: view().epoch }, timeLeftMs);
    },
  };
};
