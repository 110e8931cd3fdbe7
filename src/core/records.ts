import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect, type Context } from 'effect';
import { RecordSchema, type Record as Kept, type Vote } from '../gen/foxdeck_pb.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import type { Log } from '../shared/log.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import { table } from '../shared/table.js';
import { acceptor } from './acceptor.js';

type State = { readonly kept: ReadonlyMap<string, Kept>; readonly damaged: ReadonlySet<string> };
type Step = ReturnType<typeof acceptor.read> extends Vote ? ReturnType<typeof acceptor.learn> : never;

/** The write-once values that one disk holds, a file each. */
export type Records = {
  readonly get: (key: string) => Kept | undefined;
  readonly keys: () => ReadonlyArray<string>;
  readonly damaged: () => ReadonlyArray<string>;
  /** Applies a step to a key's record and answers only once its outcome lasts on disk. */
  readonly apply: (key: string, step: (record: Kept) => Step) => Effect.Effect<Vote, Fault>;
};

const nameOf = (key: string): string => `${encodeURIComponent(key)}.rec`;

/** Opens a folder of records; a file whose digest does not fit makes its key abstain until it is learnt anew. */
export const openRecords = (
  folder: string,
  log: Context.Tag.Service<typeof Log>,
): Effect.Effect<Records, Fault, Disk> =>
  Effect.gen(function* () {
    const disk = yield* Disk;
    yield* disk.makeFolder(folder);
    const found = new Map<string, Kept>();
    const damaged = new Set<string>();
    for (const name of yield* disk.list(folder)) {
      if (!name.endsWith('.rec')) {
        yield* Effect.ignore(disk.remove(`${folder}/${name}`));
        continue;
      }
      const key = decodeURIComponent(name.slice(0, -4));
      const body = yield* Effect.either(sealedFiles.read(folder, name));
      if (body._tag === 'Right') found.set(key, fromBinary(RecordSchema, body.right));
      else {
        damaged.add(key);
        log.event('record_damaged', { key, reason: body.left.reason });
      }
    }
    const state = table<State>({ kept: found, damaged });
    const lanes = new Map<string, { readonly lane: Effect.Semaphore; waiting: number }>();
    const inLane = <A>(key: string, work: Effect.Effect<A, Fault>): Effect.Effect<A, Fault> =>
      Effect.suspend(() => {
        const entry = lanes.get(key) ?? { lane: Effect.unsafeMakeSemaphore(1), waiting: 0 };
        lanes.set(key, entry);
        entry.waiting += 1;
        return entry.lane
          .withPermits(1)(work)
          .pipe(
            Effect.ensuring(
              Effect.sync(() => {
                entry.waiting -= 1;
                if (entry.waiting === 0) lanes.delete(key);
              }),
            ),
          );
      });
    return {
      get: (key) => state.get().kept.get(key),
      keys: () => [...state.get().kept.keys()],
      damaged: () => [...state.get().damaged],
      apply: (key, step) =>
        inLane(
          key,
          Effect.uninterruptible(
            Effect.gen(function* () {
              const taken = step(state.get().kept.get(key) ?? acceptor.fresh(key));
              if (state.get().damaged.has(key) && !taken.record.chosen) {
                return yield* new Fault({ step: 'record', reason: `${key} is damaged here; this disk abstains` });
              }
              if (taken.changed) {
                yield* sealedFiles
                  .write(folder, nameOf(key), toBinary(RecordSchema, taken.record))
                  .pipe(Effect.provideService(Disk, disk));
                state.swap((now) => ({
                  kept: new Map(now.kept).set(key, taken.record),
                  damaged: now.damaged.has(key)
                    ? new Set([...now.damaged].filter((other) => other !== key))
                    : now.damaged,
                }));
              }
              return taken.vote;
            }),
          ),
        ),
    };
  });
