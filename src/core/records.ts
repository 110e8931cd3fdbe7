import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect, type Context } from 'effect';
import { RecordSchema, type Record as Kept, type Vote } from '../gen/foxdeck_pb.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import type { Log } from '../shared/log.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import { acceptor } from './acceptor.js';
import { openRecordIndex } from './recordIndex.js';

type Step = ReturnType<typeof acceptor.learn>;

/** The write-once values that one disk holds, a file each; memory holds what was voted, and the bodies used of late. */
export type Records = {
  /** A record without its body. */
  readonly head: (key: string) => Kept | undefined;
  readonly full: (key: string) => Effect.Effect<Kept | undefined, Fault>;
  readonly keys: () => Iterable<string>;
  readonly size: () => number;
  readonly damaged: () => ReadonlySet<string>;
  /** Applies a step to a key's record and answers only once its outcome lasts on disk. */
  readonly apply: (key: string, step: (record: Kept) => Step) => Effect.Effect<Vote, Fault>;
  /** Takes records away for good. */
  readonly remove: (keys: ReadonlyArray<string>) => Effect.Effect<void, Fault>;
};

const suffix = '.rec';
const nameOf = (key: string): string => `${encodeURIComponent(key)}${suffix}`;
const headOf = (record: Kept): Kept => create(RecordSchema, { ...record, value: new Uint8Array() });
const bodiesMost = 4 * 1024 * 1024;

/**
 * Opens a folder of records. A file whose digest does not fit, or that the index names and that is not there, makes
 * its key abstain until it is learnt anew. `noted` hears of records found or written, `gone` of those removed.
 */
export const openRecords = (
  folder: string,
  log: Context.Tag.Service<typeof Log>,
  noted: (key: string, record: Kept) => void = () => undefined,
  gone: (key: string) => void = () => undefined,
): Effect.Effect<Records, Fault, Disk> =>
  Effect.gen(function* () {
    const disk = yield* Disk;
    yield* disk.makeFolder(folder);
    const heads = new Map<string, Kept>();
    const damaged = new Set<string>();
    const bodies = new Map<string, Uint8Array>();
    let held = 0;
    const index = yield* openRecordIndex(`${folder}-index`, log);
    const hold = (key: string, body: Uint8Array): void => {
      held += body.length - (bodies.get(key)?.length ?? 0);
      bodies.delete(key);
      bodies.set(key, body);
      for (const [oldest, old] of bodies) {
        if (held <= bodiesMost || oldest === key) break;
        bodies.delete(oldest);
        held -= old.length;
      }
    };
    const note = (key: string, record: Kept): void => {
      heads.set(key, headOf(record));
      hold(key, record.value);
      damaged.delete(key);
      noted(key, record);
    };
    const spoilt = (key: string, reason: string): void => {
      heads.delete(key);
      damaged.add(key);
      log.event('record_damaged', { key, reason });
    };
    for (const name of yield* disk.list(folder)) {
      if (!name.endsWith(suffix)) {
        yield* Effect.ignore(disk.remove(`${folder}/${name}`));
        continue;
      }
      const key = decodeURIComponent(name.slice(0, -suffix.length));
      const body = yield* Effect.either(sealedFiles.read(folder, name));
      if (body._tag === 'Right') note(key, fromBinary(RecordSchema, body.right));
      else spoilt(key, body.left.reason);
    }
    for (const key of index.names()) if (!heads.has(key) && !damaged.has(key)) spoilt(key, 'its file is gone');

    const lanes = new Map<string, { readonly lane: Effect.Semaphore; waiting: number }>();
    const inLane = <A>(key: string, work: Effect.Effect<A, Fault>): Effect.Effect<A, Fault> =>
      Effect.suspend(() => {
        const entry = lanes.get(key) ?? { lane: Effect.unsafeMakeSemaphore(1), waiting: 0 };
        lanes.set(key, entry);
        entry.waiting += 1;
        const leave = Effect.sync(() => {
          entry.waiting -= 1;
          if (entry.waiting === 0) lanes.delete(key);
        });
        return entry.lane.withPermits(1)(work).pipe(Effect.ensuring(leave));
      });
    const full = (key: string): Effect.Effect<Kept | undefined, Fault> =>
      Effect.gen(function* () {
        const head = heads.get(key);
        if (!head) return undefined;
        const body = bodies.get(key);
        if (body) {
          hold(key, body);
          return { ...head, value: body };
        }
        const read = yield* Effect.either(
          sealedFiles.read(folder, nameOf(key)).pipe(Effect.provideService(Disk, disk)),
        );
        if (read._tag === 'Left') {
          if (read.left.step === 'unseal') spoilt(key, read.left.reason);
          return yield* read.left;
        }
        const record = fromBinary(RecordSchema, read.right);
        if (heads.has(key)) hold(key, record.value);
        return record;
      });
    return {
      head: (key) => heads.get(key),
      full,
      keys: () => heads.keys(),
      size: () => heads.size,
      damaged: () => damaged,
      apply: (key, step) =>
        inLane(
          key,
          Effect.uninterruptible(
            Effect.gen(function* () {
              const taken = step((yield* full(key)) ?? acceptor.fresh(key));
              if (damaged.has(key) && !taken.record.chosen) {
                return yield* new Fault({ step: 'record', reason: `${key} is damaged here; this disk abstains` });
              }
              if (taken.changed) {
                yield* sealedFiles
                  .write(folder, nameOf(key), toBinary(RecordSchema, taken.record))
                  .pipe(Effect.provideService(Disk, disk));
                if (!index.has(key)) yield* index.add(key);
                note(key, taken.record);
              }
              return taken.vote;
            }),
          ),
        ),
      remove: (keys) =>
        Effect.gen(function* () {
          const there = keys.filter((key) => heads.has(key) || damaged.has(key));
          if (there.length === 0) return;
          yield* index.remove(there);
          for (const key of there) {
            yield* inLane(key, disk.remove(`${folder}/${nameOf(key)}`));
            heads.delete(key);
            damaged.delete(key);
            held -= bodies.get(key)?.length ?? 0;
            bodies.delete(key);
            gone(key);
          }
        }),
    };
  });
