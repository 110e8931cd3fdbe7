import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect, type Context } from 'effect';
import { NamesSchema } from '../gen/foxdeck_pb.js';
import { Disk } from '../shared/disk.js';
import type { Fault } from '../shared/fault.js';
import type { Log } from '../shared/log.js';
import { sealedFiles } from '../shared/sealedFiles.js';

/** Tells which names a folder must hold, so that a file that vanished whole is missed. */
export type RecordIndex = {
  readonly has: (name: string) => boolean;
  readonly names: () => ReadonlySet<string>;
  /** Makes names last that were written before; those that come while it writes go with the next file. */
  readonly add: (name: string) => Effect.Effect<void, Fault>;
  readonly remove: (names: ReadonlyArray<string>) => Effect.Effect<void, Fault>;
};

const suffix = '.idx';
const filesMost = 64;

/** Opens a folder's index: one file for each version, folded into one when it is opened and now and then. */
export const openRecordIndex = (
  folder: string,
  log: Context.Tag.Service<typeof Log>,
): Effect.Effect<RecordIndex, Fault, Disk> =>
  Effect.gen(function* () {
    const disk = yield* Disk;
    yield* disk.makeFolder(folder);
    const known = new Set<string>();
    const files = (yield* disk.list(folder)).filter((file) => file.endsWith(suffix)).sort();
    for (const file of files) {
      const body = yield* Effect.either(sealedFiles.read(folder, file));
      if (body._tag === 'Left') {
        log.event('index_damaged', { folder, file, reason: body.left.reason });
        continue;
      }
      const names = fromBinary(NamesSchema, body.right);
      for (const name of names.added) known.add(name);
      for (const name of names.removed) known.delete(name);
    }
    let last = Number.parseInt(files.at(-1) ?? '0', 10);
    let count = files.length;
    let waiting: { added: string[]; removed: string[] } = { added: [], removed: [] };
    const lane = Effect.unsafeMakeSemaphore(1);
    const write = (names: { added: ReadonlyArray<string>; removed: ReadonlyArray<string> }) =>
      Effect.gen(function* () {
        last += 1;
        count += 1;
        const body = toBinary(
          NamesSchema,
          create(NamesSchema, { added: [...names.added], removed: [...names.removed] }),
        );
        yield* sealedFiles
          .write(folder, `${String(last).padStart(12, '0')}${suffix}`, body)
          .pipe(Effect.provideService(Disk, disk));
      });
    const fold = Effect.gen(function* () {
      const before = (yield* disk.list(folder)).filter((file) => file.endsWith(suffix));
      yield* write({ added: [...known], removed: [] });
      yield* Effect.forEach(before, (file) => Effect.ignore(disk.remove(`${folder}/${file}`)));
      count = 1;
    });
    const flush = lane.withPermits(1)(
      Effect.gen(function* () {
        const due = waiting;
        if (due.added.length + due.removed.length === 0) return;
        waiting = { added: [], removed: [] };
        yield* write(due).pipe(
          Effect.tapError(() =>
            Effect.sync(() => {
              waiting = { added: [...due.added, ...waiting.added], removed: [...due.removed, ...waiting.removed] };
            }),
          ),
        );
        for (const name of due.added) known.add(name);
        for (const name of due.removed) known.delete(name);
        if (count > filesMost) yield* Effect.ignore(fold);
      }),
    );
    return {
      has: (name) => known.has(name),
      names: () => known,
      add: (name) =>
        Effect.suspend(() => {
          if (known.has(name)) return Effect.void;
          waiting.added.push(name);
          return Effect.uninterruptible(flush);
        }),
      remove: (names) =>
        Effect.suspend(() => {
          waiting.removed.push(...names);
          return Effect.uninterruptible(flush);
        }),
    };
  });
