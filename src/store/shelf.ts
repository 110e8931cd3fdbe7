import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect, Option, type Context } from 'effect';
import { acceptor } from '../core/acceptor.js';
import type { Records } from '../core/records.js';
import { CheckpointSchema, type Answer, type Ask, type Checkpoint, type Target } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import type { Configuration } from '../shared/configuration.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import type { Log } from '../shared/log.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import { table } from '../shared/table.js';

/** What a store machine answers: write-once records, and progress checkpoints under a duty's fence. */
export type Shelf = {
  readonly handle: (ask: Ask) => Option.Option<Effect.Effect<Answer, Fault>>;
  readonly size: () => { readonly records: number; readonly checkpoints: number; readonly damaged: number };
};

const nameOf = (key: string): string => `${encodeURIComponent(key)}.chk`;
const later = (left: Checkpoint, right: Checkpoint | undefined): boolean =>
  right === undefined || left.token > right.token || (left.token === right.token && left.count >= right.count);

/** Opens a store machine's shelf. */
export const openShelf = (options: {
  readonly disk: string;
  readonly folder: string;
  readonly records: Records;
  readonly configuration: () => Configuration | undefined;
  readonly log: Context.Tag.Service<typeof Log>;
}): Effect.Effect<Shelf, Fault, Disk> =>
  Effect.gen(function* () {
    const { records, folder, log } = options;
    const disk = yield* Disk;
    yield* disk.makeFolder(folder);
    const loaded = new Map<string, Checkpoint>();
    const lost = new Set<string>();
    for (const name of yield* disk.list(folder)) {
      if (!name.endsWith('.chk')) {
        yield* Effect.ignore(disk.remove(`${folder}/${name}`));
        continue;
      }
      const body = yield* Effect.either(sealedFiles.read(folder, name));
      if (body._tag === 'Right') {
        const checkpoint = fromBinary(CheckpointSchema, body.right);
        loaded.set(checkpoint.key, checkpoint);
      } else {
        lost.add(decodeURIComponent(name.slice(0, -4)));
        log.event('checkpoint_damaged', { name, reason: body.left.reason });
      }
    }
    const checkpoints = table<{ readonly kept: ReadonlyMap<string, Checkpoint>; readonly lost: ReadonlySet<string> }>({
      kept: loaded,
      lost,
    });
    const fences = table<ReadonlyMap<string, number>>(new Map());
    const lane = Effect.unsafeMakeSemaphore(1);

    const stranger = (target: Target | undefined): string | undefined => {
      if (target?.disk !== options.disk) return 'meant for another disk';
      const stores = options.configuration()?.stores;
      if (stores === undefined) return 'knows no configuration yet';
      if (target.epoch + 1 < stores.epoch) return `the store set is at epoch ${stores.epoch}`;
      return undefined;
    };
    const fenced = (duty: string, token: number): number | undefined => {
      if (duty === '') return undefined;
      const kept =
        fences.get().get(duty) ??
        Math.max(
          0,
          ...[...checkpoints.get().kept.values()]
            .filter((each) => each.key.startsWith(`${duty}|`))
            .map((each) => each.token),
        );
      if (token < kept) return kept;
      fences.swap((now) => new Map(now).set(duty, token));
      return undefined;
    };
    const put = (checkpoint: Checkpoint): Effect.Effect<void, Fault> =>
      Effect.gen(function* () {
        if (!later(checkpoint, checkpoints.get().kept.get(checkpoint.key))) return;
        if (checkpoint.state === 'gone') {
          if (!checkpoints.get().kept.has(checkpoint.key)) return;
          yield* disk.remove(`${folder}/${nameOf(checkpoint.key)}`);
          checkpoints.swap((now) => ({
            ...now,
            kept: new Map([...now.kept].filter(([key]) => key !== checkpoint.key)),
          }));
          return;
        }
        yield* sealedFiles
          .write(folder, nameOf(checkpoint.key), toBinary(CheckpointSchema, checkpoint))
          .pipe(Effect.provideService(Disk, disk));
        checkpoints.swap((now) => ({
          kept: new Map(now.kept).set(checkpoint.key, checkpoint),
          lost: now.lost.has(checkpoint.key)
            ? new Set([...now.lost].filter((key) => key !== checkpoint.key))
            : now.lost,
        }));
      });

    const guarded = (
      target: Target | undefined,
      work: Effect.Effect<Answer, Fault>,
    ): Option.Option<Effect.Effect<Answer, Fault>> =>
      target !== undefined && target.role !== 'store'
        ? Option.none()
        : Option.some(
            Effect.suspend(() => {
              const no = stranger(target);
              return no === undefined ? work : Effect.succeed(answers.bounce('store', no));
            }),
          );

    return {
      size: () => ({
        records: records.keys().length,
        checkpoints: checkpoints.get().kept.size,
        damaged: records.damaged().length + checkpoints.get().lost.size,
      }),
      handle: ({ kind }) => {
        switch (kind.case) {
          case 'prepare':
            return guarded(
              kind.value.target,
              Effect.map(
                records.apply(kind.value.key, (record) => acceptor.prepare(record, kind.value.ballot!)),
                (vote) => answers.answer({ case: 'vote', value: vote }),
              ),
            );
          case 'accept':
            return guarded(
              kind.value.target,
              Effect.map(
                records.apply(kind.value.key, (record) =>
                  acceptor.accept(record, kind.value.ballot!, kind.value.value),
                ),
                (vote) => answers.answer({ case: 'vote', value: vote }),
              ),
            );
          case 'read':
            return guarded(
              kind.value.target,
              Effect.sync(() =>
                records.damaged().includes(kind.value.key)
                  ? answers.bounce('read', `${kind.value.key} is damaged here`)
                  : answers.answer({
                      case: 'vote',
                      value: acceptor.read(records.get(kind.value.key) ?? acceptor.fresh(kind.value.key)),
                    }),
              ),
            );
          case 'learn':
            if (kind.value.role !== 'store' || kind.value.disk !== options.disk) return Option.none();
            return Option.some(
              Effect.map(
                records.apply(kind.value.key, (record) => acceptor.learn(record, kind.value.ballot!, kind.value.value)),
                () => answers.done(),
              ),
            );
          case 'putCheckpoint':
            return guarded(
              kind.value.target,
              lane.withPermits(1)(
                Effect.gen(function* () {
                  const older = fenced(
                    kind.value.duty,
                    Math.max(0, ...kind.value.checkpoints.map((each) => each.token)),
                  );
                  if (older !== undefined) return answers.bounce('checkpoint', 'an older token', older);
                  yield* Effect.forEach(kind.value.checkpoints, put, { concurrency: 8 });
                  return answers.done();
                }),
              ),
            );
          case 'getCheckpoint':
            return guarded(
              kind.value.target,
              Effect.sync(() => {
                const older = kind.value.token > 0 ? fenced(kind.value.duty, kind.value.token) : undefined;
                if (older !== undefined) return answers.bounce('checkpoint', 'an older token', older);
                const { kept, lost: gone } = checkpoints.get();
                if (kind.value.keys.some((key) => gone.has(key)))
                  return answers.bounce('checkpoint', 'a damaged one is asked for');
                return answers.answer({
                  case: 'checkpoint',
                  value: { checkpoints: kind.value.keys.flatMap((key) => kept.get(key) ?? []), token: 0 },
                });
              }),
            );
          case 'list':
            return guarded(
              kind.value.target,
              Effect.sync(() => {
                const kept = kind.value.settled
                  ? records.keys().filter((key) => records.get(key)?.chosen)
                  : records.keys().filter((key) => records.get(key)?.accepted);
                const all = [...kept, ...checkpoints.get().kept.keys()]
                  .filter((key) => key.startsWith(kind.value.prefix) && key > kind.value.after)
                  .sort();
                return answers.answer({
                  case: 'listing',
                  value: { keys: all.slice(0, kind.value.most), more: all.length > kind.value.most },
                });
              }),
            );
          default:
            return Option.none();
        }
      },
    };
  });
