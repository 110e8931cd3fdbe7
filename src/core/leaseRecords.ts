import { Effect, type Context } from 'effect';
import { Disk } from '../shared/disk.js';
import { sealedFiles } from '../shared/sealedFiles.js';

/** Who was granted a lease last, and under which token. */
export type LeaseRecord = { readonly holder: string; readonly token: number };

/** What bounds a voter's grants. */
export type GrantBounds = {
  /** The last electorate under which the voter was free to grant. */
  readonly electorate: number;
  /** All tokens are above it. */
  readonly fenceFloor: number;
};

/** What was granted before a start. */
export type KnownLeases = GrantBounds & { readonly leases: ReadonlyMap<string, LeaseRecord> };

/** A voter's grants on its disk. */
export type LeaseRecords = {
  /** Undefined where what was granted is not known any more. */
  readonly known: KnownLeases | undefined;
  /**
   * Answers once a grant lasts; false where it could not be written. Damaged records are whole from then on, so it is
   * called only once all that was lost must have ended.
   */
  readonly keep: (lease: string, record: LeaseRecord, bounds: GrantBounds) => Promise<boolean>;
  /** Notes what the voter is free to grant now; no sooner than `keep`. */
  readonly keepBounds: (bounds: GrantBounds) => Promise<boolean>;
};

type Stored = GrantBounds & { readonly leases: Readonly<Record<string, LeaseRecord>> };

const fileName = 'leases';

/** Opens the records in a data folder; on a disk that was formatted just now there are none. */
export const openLeaseRecords = async (
  disk: Context.Tag.Service<typeof Disk>,
  freshDisk: boolean,
): Promise<LeaseRecords> => {
  const run = <A>(work: Effect.Effect<A, unknown, Disk>): Promise<A> =>
    Effect.runPromise(Effect.provideService(work as Effect.Effect<A, Error, Disk>, Disk, disk));
  const records = new Map<string, LeaseRecord>();
  let bounds: GrantBounds = { electorate: 0, fenceFloor: 0 };
  const write = (): Promise<void> => {
    const stored: Stored = { ...bounds, leases: Object.fromEntries(records) };
    return run(sealedFiles.write('.', fileName, Buffer.from(JSON.stringify(stored))));
  };
  const read = async (): Promise<boolean> => {
    try {
      const text = Buffer.from(await run(sealedFiles.read('.', fileName))).toString();
      const stored = JSON.parse(text) as Stored;
      for (const [lease, record] of Object.entries(stored.leases)) records.set(lease, record);
      bounds = { electorate: stored.electorate, fenceFloor: stored.fenceFloor };
      return true;
    } catch {
      return false;
    }
  };
  const whole = freshDisk || (await read());
  // The file is there from the first start on, so that one that is missing is noticed.
  if (freshDisk) await write();

  let writing: Promise<boolean> | undefined;
  let next: Promise<boolean> | undefined;
  const written = (): Promise<boolean> =>
    write().then(
      () => true,
      () => false,
    );
  /** Grants that come while one write runs share the next one. */
  const flush = (): Promise<boolean> => {
    if (next) return next;
    const before = writing ?? Promise.resolve(true);
    next = before.then(() => {
      writing = next;
      next = undefined;
      return written();
    });
    return next;
  };
  return {
    known: whole ? { ...bounds, leases: new Map(records) } : undefined,
    keep: (lease, record, now) => {
      records.set(lease, record);
      bounds = now;
      return flush();
    },
    keepBounds: (now) => {
      bounds = now;
      return flush();
    },
  };
};
