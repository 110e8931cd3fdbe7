import type { FencedLeaseRequest } from '../gen/foxdeck_pb.js';

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
  readonly request: (request: FencedLeaseRequest) => FencedLeaseAnswer;
  /** Takes what a value that was chosen says of the voters. */
  readonly learnt: (membership: Membership) => void;
  /** A change that this life of the voter proposed was decided at that sequence: all earlier tokens are below it. */
  readonly startRecorded: (sequence: number) => void;
};

type Held = { readonly holder: string; readonly token: number; readonly until: number };

/** How many tokens belong to one sequence of the configuration log, where tokens rest on it. */
const tokensPerSequence = 1000;

/**
 * Makes a voter's grants. Grants live in memory, so what makes them safe is waiting and agreement:
 *
 * - A voter that restarted has forgotten its grants and grants nothing for a full lease.
 * - A grant is counted under one electorate. A voter grants only under the electorate that the newest value it learnt
 *   names, only as its member, and not once it accepted a value that names a later one. The majority that chose a
 *   change of voters therefore ends all grants under the voters before.
 * - A voter that was no member of the electorate just before, as far as it knows, may form a majority with voters that
 *   granted nothing; it waits a full lease from the moment at which it learnt that it is a member.
 * - With `fencesFromLog`, tokens stay above a thousand times the sequence of the last change of voters and of a change
 *   that this life of the voter proposed; until that one is decided, nothing is granted.
 */
const makeFencedLeases = (options: {
  readonly disk: string;
  readonly restarted: boolean;
  readonly leaseMs: number;
  readonly fencesFromLog: boolean;
  readonly now: () => number;
  /** The greatest electorate that a value accepted here names. */
  readonly acceptedElectorate: () => number;
}): FencedLeases => {
  const { now, leaseMs } = options;
  const held = new Map<string, Held>();
  let membership: Membership = { electorate: 0, member: false, sequence: 0 };
  let grantsFrom = options.restarted ? now() + leaseMs : now();
  let fenceFloor = 0;
  let startRecorded = !options.fencesFromLog || !options.restarted;

  const raiseFloor = (sequence: number): void => {
    if (options.fencesFromLog) fenceFloor = Math.max(fenceFloor, sequence * tokensPerSequence);
  };
  const mayGrant = (request: FencedLeaseRequest): boolean =>
    request.disk === options.disk &&
    startRecorded &&
    now() >= grantsFrom &&
    membership.member &&
    request.electorate === membership.electorate &&
    options.acceptedElectorate() <= membership.electorate;

  return {
    request: (request) => {
      const at = now();
      const known = held.get(request.lease);
      const other = known !== undefined && known.until > at && known.holder !== request.holder ? known : undefined;
      const lowest = Math.max(known?.token ?? 0, fenceFloor);
      const own = known !== undefined && known.holder === request.holder && known.token === request.token;
      const fits = own ? request.token >= fenceFloor : request.token > lowest;
      const granted = request.token > 0 && other === undefined && fits && mayGrant(request);
      if (granted)
        held.set(request.lease, {
          holder: request.holder,
          token: request.token,
          until: request.release ? at : at + leaseMs,
        });
      return {
        granted,
        holder: other?.holder ?? '',
        token: lowest,
        remaining: other ? Math.ceil(other.until - at) : 0,
      };
    },
    learnt: (next) => {
      if (next.electorate <= membership.electorate) return;
      const founding = next.electorate === 1;
      const continues = membership.member && next.electorate === membership.electorate + 1;
      if (!founding && !continues) grantsFrom = Math.max(grantsFrom, now() + leaseMs);
      if (!founding) raiseFloor(next.sequence);
      membership = next;
    },
    startRecorded: (sequence) => {
      raiseFloor(sequence);
      startRecorded = true;
    },
  };
};

/** The making of a voter's grants, and how tokens follow from sequences. */
export const fencedLeases = { make: makeFencedLeases, tokensPerSequence };
