import type { FencedLeaseRequest } from '../gen/foxdeck_pb.js';
import type { GrantBounds, LeaseRecords } from './leaseRecords.js';

/** What a voter answers to a request for a lease. */
export type FencedLeaseAnswer = {
  readonly granted: boolean;
  /** Who holds the lease, where somebody else does. */
  readonly holder: string;
  /** A holder's token has to be greater than this one, or equal to it where the lease is its own. */
  readonly token: number;
  /** Milliseconds until the other holder's lease ends. */
  readonly remaining: number;
};

/** The voters as one value of the configuration log names them, as far as they concern one voter. */
export type Membership = {
  /** Counts the changes of the voters. */
  readonly electorate: number;
  /** Whether this voter is one of them. */
  readonly member: boolean;
  /** The sequence of the value. */
  readonly sequence: number;
};

/** A voter's grants of leases with fencing tokens. */
export type FencedLeases = {
  /** Answers at once, or when a grant lasts on disk. */
  readonly request: (request: FencedLeaseRequest) => FencedLeaseAnswer | Promise<FencedLeaseAnswer>;
  /** Takes what a value that was chosen says of the voters. */
  readonly learnt: (membership: Membership) => void;
  /** Whether tokens were forgotten, so that nothing is granted before `startRecorded`. */
  readonly needsStart: boolean;
  /** A change that this life of the voter proposed was decided at that sequence: all earlier tokens are below it. */
  readonly startRecorded: (sequence: number) => void;
};

type Held = {
  readonly holder: string;
  readonly token: number;
  readonly until: number;
  /** Whether the holder and the token are on disk, so that a renewal needs no write. */
  readonly recorded: boolean;
};

/** How many tokens belong to one sequence of the configuration log, where tokens rest on it. */
const tokensPerSequence = 1000;

/** The machine of a holder: a later life of its process takes over what a former one held. */
const machineOf = (holder: string): string => holder.split('#')[0]!;

/**
 * Makes a voter's grants. What makes them safe:
 *
 * - With `records`, a grant to another holder or under another token is on disk before it is answered. After a restart
 *   each known lease counts as granted for a full lease from the start on, and all others are free.
 * - Without records, or where they are damaged, a voter that restarted grants nothing for a full lease.
 * - A grant is counted under one electorate. A voter grants only under the electorate that the newest value it learnt
 *   names, only as its member, and not once it accepted a value that names a later one. The majority that chose a
 *   change of voters therefore ends all grants under the voters before.
 * - A voter that was no member of the electorate just before, as far as it knows, may form a majority with voters that
 *   granted nothing; it waits a full lease from the moment at which it learnt that it is a member. So does one that
 *   restarted, unless its records tell that it was free to grant under that electorate.
 * - With `records`, tokens stay above a thousand times the sequence of the last change of voters; where records were
 *   damaged, also above that of a change that this life of the voter proposed, before which nothing is granted.
 */
const makeFencedLeases = (options: {
  readonly disk: string;
  readonly restarted: boolean;
  readonly leaseMs: number;
  /** Grants on disk; undefined where the holders' clocks bring tokens and a restart is waited out. */
  readonly records: LeaseRecords | undefined;
  readonly now: () => number;
  /** The greatest electorate that a value accepted here names. */
  readonly acceptedElectorate: () => number;
}): FencedLeases => {
  const { now, leaseMs, records } = options;
  const held = new Map<string, Held>();
  const forgot = options.restarted && records?.known === undefined;
  const needsStart = forgot && records !== undefined;
  for (const [lease, record] of records?.known?.leases ?? [])
    held.set(lease, { ...record, until: now() + leaseMs, recorded: true });
  let membership: Membership = { electorate: 0, member: false, sequence: 0 };
  let grantsFrom = forgot ? now() + leaseMs : now();
  let fenceFloor = records?.known?.fenceFloor ?? 0;
  let startKnown = !needsStart;

  const raiseFloor = (sequence: number): void => {
    if (records) fenceFloor = Math.max(fenceFloor, sequence * tokensPerSequence);
  };
  const bounds = (): GrantBounds => ({ electorate: membership.electorate, fenceFloor });
  const mayGrant = (request: FencedLeaseRequest): boolean =>
    request.disk === options.disk &&
    startKnown &&
    now() >= grantsFrom &&
    membership.member &&
    request.electorate === membership.electorate &&
    options.acceptedElectorate() <= membership.electorate;
  const heldByOther = (known: Held | undefined, holder: string): Held | undefined => {
    if (known === undefined || known.until <= now() || known.holder === holder) return undefined;
    return records && machineOf(known.holder) === machineOf(holder) ? undefined : known;
  };

  return {
    needsStart,
    request: (request) => {
      const { lease, holder, token } = request;
      const known = held.get(lease);
      const other = heldByOther(known, holder);
      const lowest = Math.max(known?.token ?? 0, fenceFloor);
      const same = known !== undefined && known.holder === holder && known.token === token;
      const fits = same ? token >= fenceFloor : token > lowest;
      const granted = token > 0 && other === undefined && fits && mayGrant(request);
      const recorded = !records || (same && known.recorded);
      if (granted) held.set(lease, { holder, token, until: request.release ? now() : now() + leaseMs, recorded });
      const answer: FencedLeaseAnswer = {
        granted,
        holder: other?.holder ?? '',
        token: lowest,
        remaining: other ? Math.ceil(other.until - now()) : 0,
      };
      if (!granted || recorded) return answer;
      return records!.keep(lease, { holder, token }, bounds()).then((lasts) => {
        const current = held.get(lease);
        if (lasts && current?.holder === holder && current.token === token)
          held.set(lease, { ...current, recorded: true });
        return { ...answer, granted: lasts };
      });
    },
    learnt: (next) => {
      if (next.electorate <= membership.electorate) return;
      const founding = next.electorate === 1;
      const continues = membership.member && next.electorate === membership.electorate + 1;
      const wasFree = membership.electorate === 0 && records?.known?.electorate === next.electorate;
      const free = founding || continues || wasFree;
      if (!free) grantsFrom = Math.max(grantsFrom, now() + leaseMs);
      if (!founding) raiseFloor(next.sequence);
      membership = next;
      if (continues && startKnown && now() >= grantsFrom) void records?.keepBounds(bounds());
    },
    startRecorded: (sequence) => {
      raiseFloor(sequence);
      startKnown = true;
    },
  };
};

/** The making of a voter's grants, and how tokens follow from sequences. */
export const fencedLeases = { make: makeFencedLeases, tokensPerSequence };
