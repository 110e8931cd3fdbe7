import { Effect } from 'effect';
import { lot } from '../front/lot.js';
import { lotBook } from '../front/lotBook.js';
import type { Fault } from '../shared/fault.js';
import type { NodeContext } from './nodeContext.js';

type Kept = { readonly shard: string; readonly at: number | undefined };

/** At most so many are retired in one pass. */
const passMost = 200;

/** Retires what operators keep only for a time: lots by when they ended, keys by when they were last claimed. */
export const makeRetention = (context: NodeContext) => {
  const { archive, log, register, time } = context;
  const book = lotBook(archive);
  /** When records were written, which does not change. */
  const known = new Map<string, number | undefined>();
  const atOf = (key: string): Effect.Effect<number | undefined, Fault> =>
    known.has(key)
      ? Effect.succeed(known.get(key))
      : Effect.map(book.read<{ readonly at?: number }>(key), (record) => {
          if (record) known.set(key, record.at);
          return record?.at;
        });

  /** The newest record of each shard under a prefix, for those that are not retired. */
  const newest = (prefix: string, retired: ReadonlySet<string>): Effect.Effect<ReadonlyArray<Kept>, Fault> =>
    Effect.gen(function* () {
      const { keys } = yield* archive.list(prefix);
      const shards = new Map<string, number | undefined>();
      for (const key of keys) {
        const shard = archive.shardOf(key);
        if (retired.has(shard)) {
          known.delete(key);
          continue;
        }
        const at = yield* atOf(key);
        const before = shards.get(shard);
        const unknown = at === undefined || (shards.has(shard) && before === undefined);
        shards.set(shard, unknown ? undefined : Math.max(before ?? 0, at));
      }
      return [...shards].map(([shard, at]) => ({ shard, at }));
    });

  /** One pass; answers how many were retired. */
  return (held: () => boolean): Effect.Effect<number, Fault> =>
    Effect.gen(function* () {
      const { lotsMs = 0, keysMs = 0 } = register.known()?.configuration.retention ?? {};
      const wanted = [
        { prefix: 'end/', mostMs: lotsMs, keys: false },
        { prefix: 'claim/', mostMs: keysMs, keys: true },
      ].filter((each) => each.mostMs > 0);
      if (wanted.length === 0) return 0;
      const retired = new Set((yield* archive.list('retired/')).keys.map(archive.shardOf));
      let count = 0;
      for (const { prefix, mostMs, keys } of wanted) {
        for (const { shard, at } of yield* newest(prefix, retired)) {
          if (at === undefined || time.wall() - at <= mostMs || count >= passMost) continue;
          if (!held()) return count;
          yield* book.once(lot.keys.retired(shard), { reason: 'retention' });
          log.event(keys ? 'key_retired' : 'lot_retired', { [keys ? 'key' : 'lot']: shard, afterMs: time.wall() - at });
          count += 1;
        }
      }
      return count;
    });
};
