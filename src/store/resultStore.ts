import { Effect, Option, type Context } from 'effect';
import { acceptor } from '../core/acceptor.js';
import { openRecords } from '../core/records.js';
import { create } from '@bufbuild/protobuf';
import { CheckpointSchema, type Answer, type Ask, type Target } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import type { Configuration } from '../shared/configuration.js';
import type { Disk } from '../shared/disk.js';
import type { Fault } from '../shared/fault.js';
import type { Log } from '../shared/log.js';
import { table } from '../shared/table.js';
import { openCheckpointFiles } from './checkpointFiles.js';
import { makeResultStoreIndex } from './resultStoreIndex.js';

/** What a store machine answers: write-once records, and progress checkpoints under a duty's fence. */
export type ResultStore = {
  readonly handle: (ask: Ask) => Option.Option<Effect.Effect<Answer, Fault>>;
  readonly size: () => {
    readonly records: number;
    readonly checkpoints: number;
    readonly damaged: number;
    readonly open: number;
  };
};

/** Opens a store machine's result store. */
export const openResultStore = (options: {
  readonly disk: string;
  readonly folder: string;
  readonly configuration: () => Configuration | undefined;
  readonly log: Context.Tag.Service<typeof Log>;
}): Effect.Effect<ResultStore, Fault, Disk> =>
  Effect.gen(function* () {
    const index = makeResultStoreIndex();
    const records = yield* openRecords('records', options.log, index.noted, index.gone);
    const checkpoints = yield* openCheckpointFiles(options.folder, options.log);
    const fences = table<ReadonlyMap<string, number>>(new Map());
    const lane = Effect.unsafeMakeSemaphore(1);

    /** Takes away what is left of texts whose lot is over: a file that was removed may be back after a power loss. */
    const tidy = Effect.suspend(() =>
      Effect.forEach(
        [...checkpoints.keys(), ...checkpoints.lost()].filter((key) => {
          const lot = key.split('|')[1]?.split('/')[0] ?? '';
          return records.head(`end/${lot}`)?.chosen === true || records.head(`retired/${lot}`)?.chosen === true;
        }),
        (key) => checkpoints.put(create(CheckpointSchema, { key, state: 'gone' })),
        { discard: true },
      ),
    );
    yield* tidy;

    const stranger = (target: Target | undefined): string | undefined => {
      if (target?.disk !== options.disk) return 'meant for another disk';
      const stores = options.configuration()?.stores;
      if (stores === undefined) return 'knows no configuration yet';
      if (target.epoch + 1 < stores.epoch) return `the store set is at epoch ${stores.epoch}`;
      return undefined;
    };
    const fenced = (duty: string, token: number): number | undefined => {
      if (duty === '') return undefined;
      const kept = Math.max(fences.get().get(duty) ?? 0, checkpoints.token(duty));
      if (token < kept) return kept;
      fences.swap((now) => new Map(now).set(duty, token));
      return undefined;
    };
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
        records: records.size(),
        checkpoints: checkpoints.size(),
        damaged: records.damaged().size + checkpoints.lost().size,
        open: index.open().length,
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
              Effect.gen(function* () {
                const { key } = kind.value;
                if (records.damaged().has(key)) return answers.bounce('read', `${key} is damaged here`);
                return answers.answer({
                  case: 'vote',
                  value: acceptor.read((yield* records.full(key)) ?? acceptor.fresh(key)),
                });
              }),
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
                  yield* Effect.forEach(kind.value.checkpoints, checkpoints.put, { concurrency: 8 });
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
                const { keys } = kind.value;
                if (keys.some((key) => checkpoints.lost().has(key))) {
                  return answers.bounce('checkpoint', 'a damaged one is asked for');
                }
                const found = keys.flatMap((key) => checkpoints.get(key) ?? []);
                return answers.answer({ case: 'checkpoint', value: { checkpoints: found, token: 0 } });
              }),
            );
          case 'list':
            return guarded(
              kind.value.target,
              Effect.gen(function* () {
                const { prefix, after, most, settled } = kind.value;
                if (settled && after === '') yield* lane.withPermits(1)(tidy);
                const kept = prefix === 'open/' ? index.open().map((id) => prefix + id) : index.keys(prefix, settled);
                const texts = checkpoints.keys().filter((key) => key.startsWith(prefix));
                const all = [...kept, ...texts].filter((key) => key > after).sort();
                return answers.answer({
                  case: 'listing',
                  value: { keys: all.slice(0, most), more: all.length > most },
                });
              }),
            );
          case 'retire':
            return guarded(
              kind.value.target,
              Effect.gen(function* () {
                const { lot } = kind.value;
                if (!records.head(`retired/${lot}`)?.chosen) return answers.bounce('retire', 'not retired here');
                const keys = index.ofLot(lot).filter((key) => key !== `retired/${lot}`);
                yield* records.remove(keys);
                return answers.done();
              }),
            );
          default:
            return Option.none();
        }
      },
    };
  });
