import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect, type Context } from 'effect';
import { CheckpointSchema, type Checkpoint } from '../gen/foxdeck_pb.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import type { Log } from '../shared/log.js';
import { sealedFiles } from '../shared/sealedFiles.js';

/** The progress checkpoints of one disk: texts in memory, and on disk what was new, one file for each version. */
export type CheckpointFiles = {
  readonly get: (key: string) => Checkpoint | undefined;
  /** Keys that can be answered for; a damaged one is told again by those that have it. */
  readonly keys: () => ReadonlyArray<string>;
  readonly size: () => number;
  /** Keys of which a file is damaged; they are not answered for until they are told whole again. */
  readonly lost: () => ReadonlySet<string>;
  /** The greatest token under which a duty wrote. */
  readonly token: (duty: string) => number;
  readonly put: (checkpoint: Checkpoint) => Effect.Effect<void, Fault>;
};

type Kept = { readonly whole: Checkpoint; readonly files: ReadonlyArray<string> };

const suffix = '.chk';
const deltasMost = 24;
const fileOf = (key: string, version: number): string =>
  `${encodeURIComponent(key)}~${String(version).padStart(8, '0')}${suffix}`;
const versionOf = (file: string): number => Number(file.slice(file.lastIndexOf('~') + 1, -suffix.length));
const keyOf = (file: string): string => decodeURIComponent(file.slice(0, file.lastIndexOf('~')));

const later = (left: Checkpoint, right: Checkpoint | undefined): boolean =>
  right === undefined || left.token > right.token || (left.token === right.token && left.count >= right.count);

/** Adds what is new to what was known; undefined where that does not reach as far as the new part begins. */
const joined = (before: Checkpoint | undefined, next: Checkpoint): Checkpoint | undefined => {
  if (next.from === 0) return next;
  if (!before || before.token !== next.token || before.pieces.length < next.from) return undefined;
  return create(CheckpointSchema, { ...next, from: 0, pieces: [...before.pieces.slice(0, next.from), ...next.pieces] });
};

/** Opens a folder of checkpoints. */
export const openCheckpointFiles = (
  folder: string,
  log: Context.Tag.Service<typeof Log>,
): Effect.Effect<CheckpointFiles, Fault, Disk> =>
  Effect.gen(function* () {
    const disk = yield* Disk;
    yield* disk.makeFolder(folder);
    const kept = new Map<string, Kept>();
    const lost = new Set<string>();
    const tokens = new Map<string, number>();
    const tokened = (checkpoint: Checkpoint): void => {
      const duty = checkpoint.key.split('|')[0]!;
      tokens.set(duty, Math.max(tokens.get(duty) ?? 0, checkpoint.token));
    };
    const found = (yield* disk.list(folder)).filter((file) => file.endsWith(suffix) && file.includes('~')).sort();
    for (const file of yield* disk.list(folder)) {
      if (!found.includes(file)) yield* Effect.ignore(disk.remove(`${folder}/${file}`));
    }
    for (const file of found) {
      const body = yield* Effect.either(sealedFiles.read(folder, file));
      const key = keyOf(file);
      const before = kept.get(key);
      const next = body._tag === 'Right' ? fromBinary(CheckpointSchema, body.right) : undefined;
      const whole = next && joined(before?.whole, next);
      if (whole) {
        kept.set(key, { whole, files: [...(before?.files ?? []), file] });
        tokened(whole);
        if (next.from === 0) lost.delete(key);
        continue;
      }
      lost.add(key);
      kept.set(key, {
        whole: before?.whole ?? create(CheckpointSchema, { key }),
        files: [...(before?.files ?? []), file],
      });
      log.event('checkpoint_damaged', {
        file,
        reason: body._tag === 'Left' ? body.left.reason : 'what came before is gone',
      });
    }

    const remove = (files: ReadonlyArray<string>) =>
      Effect.forEach(files, (file) => Effect.ignore(disk.remove(`${folder}/${file}`)), { discard: true });
    return {
      get: (key) => (lost.has(key) ? undefined : kept.get(key)?.whole),
      keys: () => [...kept.keys()].filter((key) => !lost.has(key)),
      size: () => kept.size,
      lost: () => lost,
      token: (duty) => tokens.get(duty) ?? 0,
      put: (checkpoint) =>
        Effect.gen(function* () {
          const { key } = checkpoint;
          const before = kept.get(key);
          if (checkpoint.state === 'gone') {
            kept.delete(key);
            lost.delete(key);
            yield* remove(before?.files ?? []);
            return;
          }
          if (!lost.has(key) && !later(checkpoint, before?.whole)) return;
          const whole = joined(lost.has(key) ? undefined : before?.whole, checkpoint);
          if (!whole)
            return yield* new Fault({ step: 'lacking', reason: `${key} is not known up to ${checkpoint.from}` });
          const files = before?.files ?? [];
          const folds = checkpoint.from === 0 || files.length >= deltasMost;
          const file = fileOf(key, files.length === 0 ? 1 : versionOf(files.at(-1)!) + 1);
          yield* sealedFiles
            .write(folder, file, toBinary(CheckpointSchema, folds ? whole : checkpoint))
            .pipe(Effect.provideService(Disk, disk));
          kept.set(key, { whole, files: folds ? [file] : [...files, file] });
          lost.delete(key);
          tokened(whole);
          if (folds) yield* remove(files);
        }),
    };
  });
