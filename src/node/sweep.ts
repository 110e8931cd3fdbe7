import { Effect } from 'effect';
import { paxos, type Voter } from '../core/paxos.js';
import type { Checkpoint } from '../gen/foxdeck_pb.js';
import { Fault } from '../shared/fault.js';
import type { NodeContext } from './nodeContext.js';

/** What one pass over the stores found and mended. */
export type Swept = {
  readonly records: number;
  readonly mended: number;
  readonly left: number;
  readonly silent: ReadonlyArray<Voter>;
  readonly epoch: number;
};

/** A pass rests so many times as long as a record took, so that copying stays beneath live work on busy stores. */
const busyShare = 2;

/** One pass: every record is brought to each replica that lacks it; what can't be is counted as left. */
export const sweepStores = (
  context: NodeContext,
  held: () => boolean,
  pauseMs: number,
  /** Whether a retired lot's records may go now. */
  forgets: (lot: string) => boolean,
): Effect.Effect<Swept, Fault> =>
  Effect.gen(function* () {
    const { archive, register } = context;
    const set = register.known()?.configuration.stores;
    if (!set || set.current.length === 0)
      return yield* new Fault({ step: 'sweep', reason: 'no store set is configured' });
    const all = paxos.everyone({ groups: [set.current, set.previous] });
    const silent: Voter[] = [];
    const idOf = (store: Voter): string => `${store.name} ${store.disk}`;
    const listings = new Map<string, ReadonlySet<string>>();
    for (const store of all) {
      const keys = yield* Effect.either(archive.keysOf(store, '', true));
      if (keys._tag === 'Right') listings.set(idOf(store), new Set(keys.right));
      else silent.push(store);
    }
    const everyKey = [...new Set([...listings.values()].flatMap((keys) => [...keys]))].sort();
    const retired = new Set(everyKey.filter((key) => key.startsWith('retired/')).map(archive.shardOf));
    for (const lot of retired) {
      const kept = everyKey.some((key) => archive.shardOf(key) === lot && !key.startsWith('retired/'));
      if (!kept || !forgets(lot)) continue;
      yield* Effect.forEach(all, (store) => Effect.ignore(archive.retire(store, lot)));
    }
    let mended = 0;
    let left = 0;
    for (const key of everyKey) {
      if (retired.has(archive.shardOf(key)) && !key.startsWith('retired/')) continue;
      if (!held()) return yield* new Fault({ step: 'sweep', reason: 'the duty is no longer held' });
      const electorate = yield* archive.electorate(archive.shardOf(key));
      const replicas = electorate.groups[0]!;
      const lacking = replicas.filter((store) => listings.has(idOf(store)) && !listings.get(idOf(store))!.has(key));
      left += replicas.filter((store) => !listings.has(idOf(store))).length > 0 && set.previous.length > 0 ? 1 : 0;
      if (lacking.length === 0) continue;
      const startedAt = context.time.held();
      const done = key.includes('|')
        ? yield* mendCheckpoint(context, key, lacking)
        : yield* mendRecord(context, key, lacking);
      if (done) mended += lacking.length;
      else left += 1;
      yield* Effect.sleep(Math.max(pauseMs, busyShare * (context.time.held() - startedAt)));
    }
    return { records: everyKey.length, mended, left, silent, epoch: set.epoch };
  });

const mendRecord = (context: NodeContext, key: string, lacking: ReadonlyArray<Voter>): Effect.Effect<boolean, Fault> =>
  Effect.gen(function* () {
    const { archive, time } = context;
    const electorate = yield* archive.electorate(archive.shardOf(key));
    const ballots = archive.ballots(key);
    const decision = yield* paxos.read({
      electorate,
      ballots,
      proposer: `sweep-${time.identity()}`,
      chance: time.chance,
    });
    if (!decision) return false;
    const told = yield* Effect.forEach(
      lacking,
      (store) => Effect.isSuccess(ballots.learn(store, decision.ballot, decision.value)),
      { concurrency: 4 },
    );
    return told.every(Boolean);
  }).pipe(Effect.catchAll(() => Effect.succeed(false)));

const mendCheckpoint = (
  context: NodeContext,
  key: string,
  lacking: ReadonlyArray<Voter>,
): Effect.Effect<boolean, Fault> =>
  Effect.gen(function* () {
    const { archive } = context;
    const electorate = yield* archive.electorate(archive.shardOf(key));
    const found: Checkpoint[] = [];
    for (const store of paxos.everyone(electorate)) {
      const copies = yield* Effect.either(archive.copies(store, [key], ''));
      if (copies._tag === 'Right') found.push(...copies.right);
    }
    const best = found.sort((one, two) => two.token - one.token || two.count - one.count)[0];
    if (!best) return false;
    const told = yield* Effect.forEach(lacking, (store) => Effect.isSuccess(archive.shelve(store, [best])), {
      concurrency: 4,
    });
    return told.every(Boolean);
  });
