import type { LeaderBallot, LotValue } from '../fleetTypes.js';
import type { Journal } from './journal.js';

/** What one store keeps of a lot's log. */
export type ReplicaLog = {
  promised: LeaderBallot;
  /** The ballot and value at each place, without gaps. */
  readonly entries: Array<{ ballot: LeaderBallot; readonly value: LotValue }>;
  /** The epoch of the store view at which the lot was last known to stand where it should. */
  settled: number;
  touchedAt: number;
  /** A write failed: what memory says may not last, so it is written again. */
  dirty: boolean;
};

/** Journal records: a promise, one entry, a new ballot for the first entries, a settled epoch, a lot that went. */
export type ReplicaRecord =
  | { readonly lot: string; readonly k: 'p'; readonly b: LeaderBallot }
  | { readonly lot: string; readonly k: 'e'; readonly b: LeaderBallot; readonly i: number; readonly v: LotValue }
  | { readonly lot: string; readonly k: 's'; readonly b: LeaderBallot; readonly n: number }
  | { readonly lot: string; readonly k: 'z'; readonly e: number }
  | { readonly lot: string; readonly k: 'd' };

/** What a leader sends: entries from a place on, and how many of those before keep their value under its ballot. */
export type AppendPart = {
  readonly lot: string;
  readonly ballot: LeaderBallot;
  readonly stamp: number;
  /** The epoch at which the lot was made by this leader: all of it was written to the sets of that view. */
  readonly born?: number;
  readonly entries: ReadonlyArray<{ readonly i: number; readonly v: LotValue }>;
};

/** The acceptor of lots' logs on one disk. */
export type LotReplica = {
  readonly logs: ReadonlyMap<string, ReplicaLog>;
  readonly prepare: (lot: string, ballot: LeaderBallot) => Promise<boolean>;
  /** True once the entries last; false under a lower ballot or when entries before them are missing. */
  readonly append: (part: AppendPart) => Promise<boolean>;
  readonly settle: (lot: string, epoch: number) => Promise<void>;
  readonly drop: (lot: string) => void;
};

const none: LeaderBallot = { round: 0, by: '' };

const compare = (left: LeaderBallot, right: LeaderBallot): number =>
  left.round - right.round || (left.by < right.by ? -1 : left.by > right.by ? 1 : 0);

/** Applies one record to the logs: the reducer that replay and live work share. */
const applied = (logs: Map<string, ReplicaLog>, record: ReplicaRecord, now: number): void => {
  if (record.k === 'd') {
    // The promise outlives the copy: an old leader must not get its ballot granted here again.
    const kept = logs.get(record.lot);
    if (kept) logs.set(record.lot, { ...kept, entries: [], settled: 0, touchedAt: now, dirty: false });
    return;
  }
  let log = logs.get(record.lot);
  if (!log) logs.set(record.lot, (log = { promised: none, entries: [], settled: 0, touchedAt: now, dirty: false }));
  log.touchedAt = now;
  if (record.k === 'z') return void (log.settled = Math.max(log.settled, record.e));
  if (compare(record.b, log.promised) > 0) log.promised = record.b;
  if (record.k === 'e') {
    if (record.i <= log.entries.length) log.entries[record.i] = { ballot: record.b, value: record.v };
  } else if (record.k === 's')
    for (let i = 0; i < record.n && i < log.entries.length; i += 1) log.entries[i]!.ballot = record.b;
};

/** Whether a lot's end is among its entries; results that were under way may follow it. */
const hasEnded = (entries: ReplicaLog['entries']): boolean => entries.some(({ value }) => value.kind === 'end');

/** Makes the acceptor over logs that a journal told; each answer waits until what it says lasts. */
export const lotReplica = {
  compare,
  none,
  applied,
  hasEnded,
  make: (options: {
    readonly logs: Map<string, ReplicaLog>;
    readonly journal: Journal;
    readonly now: () => number;
  }): LotReplica => {
    const { logs, journal, now } = options;
    const note = (record: ReplicaRecord): Promise<void> => {
      applied(logs, record, now());
      return journal.append(record.lot, record).catch((fault: unknown) => {
        const log = logs.get(record.lot);
        if (log) log.dirty = true;
        throw fault;
      });
    };
    /** After a write that failed, what memory says is written again before anything more is answered for. */
    const mend = async (lot: string): Promise<void> => {
      const log = logs.get(lot);
      if (!log?.dirty) return;
      log.dirty = false;
      const again = (record: ReplicaRecord): Promise<void> => journal.append(lot, record);
      try {
        await Promise.all([
          again({ lot, k: 'p', b: log.promised }),
          again({ lot, k: 'z', e: log.settled }),
          ...log.entries.map((entry, i) => again({ lot, k: 'e', b: entry.ballot, i, v: entry.value })),
        ]);
      } catch (fault) {
        log.dirty = true;
        throw fault;
      }
    };
    return {
      logs,
      prepare: async (lot, ballot) => {
        await mend(lot);
        const promised = logs.get(lot)?.promised ?? none;
        if (compare(ballot, promised) < 0) return false;
        await note({ lot, k: 'p', b: ballot });
        return compare(ballot, logs.get(lot)?.promised ?? none) === 0;
      },
      append: async ({ lot, ballot, stamp, born, entries }) => {
        await mend(lot);
        const log = logs.get(lot);
        if (log && compare(ballot, log.promised) < 0) return false;
        const length = log?.entries.length ?? 0;
        if (stamp > length || entries.some(({ i }, place) => i > length + place)) return false;
        const lasting: Array<Promise<void>> = [];
        const old = (entry: { readonly ballot: LeaderBallot }): boolean => compare(entry.ballot, ballot) !== 0;
        if (stamp > 0 && log!.entries.slice(0, stamp).some(old))
          lasting.push(note({ lot, k: 's', b: ballot, n: stamp }));
        if (born !== undefined && length === 0) lasting.push(note({ lot, k: 'z', e: born }));
        for (const { i, v } of entries) lasting.push(note({ lot, k: 'e', b: ballot, i, v }));
        await Promise.all(lasting);
        return true;
      },
      settle: async (lot, epoch) => {
        if ((logs.get(lot)?.settled ?? epoch) < epoch) await note({ lot, k: 'z', e: epoch });
      },
      drop: (lot) => void note({ lot, k: 'd' }).catch(() => undefined),
    };
  },
};
