import { create } from '@bufbuild/protobuf';
import { Effect, type Context } from 'effect';
import { paxos, type Ballots, type Decision, type Electorate, type Voter } from '../core/paxos.js';
import { TargetSchema, type Answer, type Ask, type Checkpoint, type Vote } from '../gen/foxdeck_pb.js';
import type { Presence } from '../node/news.js';
import { answers } from '../shared/answers.js';
import type { Configuration } from '../shared/configuration.js';
import { Fault } from '../shared/fault.js';
import { gather } from '../shared/gather.js';
import type { Links } from '../shared/links.js';
import { rendezvous } from '../shared/rendezvous.js';
import type { Timepiece } from '../shared/timepiece.js';

/** Every record stands on this many store machines, or on all where there are fewer. */
const replicas = 3;

/** Access to what the store machines keep; any node may read and write. */
export type Archive = {
  /** Writes a write-once record and answers what was chosen, which may be another's value. */
  readonly decide: (key: string, value: Uint8Array) => Effect.Effect<Decision, Fault>;
  readonly read: (key: string) => Effect.Effect<Uint8Array | undefined, Fault>;
  /** Puts checkpoints on a majority; a fault with a token means that a later holder of the duty is known. */
  readonly put: (
    shard: string,
    duty: string,
    checkpoints: ReadonlyArray<Checkpoint>,
    /** The same from their beginnings, for a store that lacks what came before. */
    whole?: ReadonlyArray<Checkpoint>,
  ) => Effect.Effect<void, Fault>;
  readonly get: (
    shard: string,
    duty: string,
    token: number,
    keys: ReadonlyArray<string>,
  ) => Effect.Effect<ReadonlyArray<Checkpoint>, Fault>;
  /** Keys on all reachable stores; complete only when no record can be missing from it. */
  readonly list: (
    prefix: string,
  ) => Effect.Effect<{ readonly keys: ReadonlyArray<string>; readonly complete: boolean }, Fault>;
  readonly shardOf: (key: string) => string;
  readonly electorate: (shard: string) => Effect.Effect<Electorate, Fault>;
  readonly ballots: (key: string) => Ballots;
  readonly copies: (
    target: Voter,
    keys: ReadonlyArray<string>,
    duty: string,
  ) => Effect.Effect<ReadonlyArray<Checkpoint>, Fault>;
  /** Has a store take away what it keeps of a lot that was retired. */
  readonly retire: (target: Voter, lot: string) => Effect.Effect<void, Fault>;
  readonly shelve: (target: Voter, checkpoints: ReadonlyArray<Checkpoint>) => Effect.Effect<void, Fault>;
  readonly keysOf: (target: Voter, prefix: string, settled?: boolean) => Effect.Effect<ReadonlyArray<string>, Fault>;
};

const members = <A>(heard: ReadonlyArray<{ readonly member: A }>): ReadonlyArray<A> =>
  heard.map(({ member }) => member);

const shardOf = (key: string): string =>
  key.includes('|') ? key.split('|')[1]!.split('/')[0]! : (key.split('/')[1] ?? key);

/** Makes a node's access to the stores. */
export const makeArchive = (options: {
  readonly proposer: string;
  readonly configuration: () => Configuration | undefined;
  readonly nodes: () => ReadonlyArray<Presence>;
  readonly links: Context.Tag.Service<typeof Links>;
  readonly time: Context.Tag.Service<typeof Timepiece>;
}): Archive => {
  const { links, time } = options;
  const stores = Effect.suspend(() => {
    const set = options.configuration()?.stores;
    return set && set.current.length > 0
      ? Effect.succeed(set)
      : Effect.fail(new Fault({ step: 'stores', reason: 'no store set is configured' }));
  });
  const replicasOf = (shard: string, set: ReadonlyArray<Voter>): ReadonlyArray<Voter> => {
    const chosen = rendezvous(
      shard,
      set.map((store) => store.name),
    ).slice(0, replicas);
    return set.filter((store) => chosen.includes(store.name));
  };
  const electorate = (shard: string): Effect.Effect<Electorate, Fault> =>
    Effect.map(stores, (set) => ({
      groups: [set.current, set.previous].filter((group) => group.length > 0).map((group) => replicasOf(shard, group)),
    }));
  const target = (store: Voter) =>
    create(TargetSchema, { role: 'store', disk: store.disk, epoch: options.configuration()?.stores.epoch ?? 0 });
  const asked = <A>(store: Voter, ask: Ask, read: (answer: Answer) => A | undefined): Effect.Effect<A, Fault> =>
    Effect.gen(function* () {
      const node = options.nodes().find((each) => each.name === store.name && each.disk === store.disk);
      if (!node) return yield* new Fault({ step: 'store', cohortMember: store.name, reason: 'not present' });
      const answer = yield* links.ask(node.peer, ask, 1500);
      const value = read(answer);
      if (value !== undefined) return value;
      const bounce = answer.kind.case === 'bounce' ? answer.kind.value : undefined;
      if (bounce?.step === 'lacking') return yield* new Fault({ ...bounce, step: 'lacking', cohortMember: store.name });
      return yield* new Fault({
        step: bounce && bounce.token > 0 ? `fence ${bounce.token}` : 'store',
        cohortMember: store.name,
        reason: bounce?.reason ?? 'odd answer',
      });
    });
  const vote = (answer: Answer): Vote | undefined => (answer.kind.case === 'vote' ? answer.kind.value : undefined);
  const ballots = (key: string): Ballots => ({
    prepare: (store, ballot) =>
      asked(store, answers.ask({ case: 'prepare', value: { target: target(store), key, ballot } }), vote),
    accept: (store, ballot, value) =>
      asked(store, answers.ask({ case: 'accept', value: { target: target(store), key, ballot, value } }), vote),
    read: (store) => asked(store, answers.ask({ case: 'read', value: { target: target(store), key } }), vote),
    learn: (store, ballot, value) =>
      asked(
        store,
        answers.ask({ case: 'learn', value: { role: 'store', disk: store.disk, key, ballot, value } }),
        (answer) => (answer.kind.case === 'done' ? true : undefined),
      ),
  });
  const proposing = (key: string) =>
    Effect.map(electorate(shardOf(key)), (group) => ({
      electorate: group,
      ballots: ballots(key),
      proposer: options.proposer,
      chance: time.chance,
    }));
  const done = (answer: Answer): true | undefined => (answer.kind.case === 'done' ? true : undefined);
  const checkpointsOf = (answer: Answer): ReadonlyArray<Checkpoint> | undefined =>
    answer.kind.case === 'checkpoint' ? answer.kind.value.checkpoints : undefined;
  const worst = (step: string, faults: ReadonlyArray<Fault>): Fault =>
    faults.find((fault) => fault.step.startsWith('fence')) ??
    new Fault({ step, reason: faults.map((fault) => fault.message).join('; ') || 'no majority' });
  const keysOf = (store: Voter, prefix: string, settled = false): Effect.Effect<ReadonlyArray<string>, Fault> =>
    Effect.gen(function* () {
      let found: ReadonlyArray<string> = [];
      for (;;) {
        const listing = yield* asked(
          store,
          answers.ask({
            case: 'list',
            value: { target: target(store), prefix, after: found.at(-1) ?? '', most: 2000, settled },
          }),
          (answer) => (answer.kind.case === 'listing' ? answer.kind.value : undefined),
        );
        found = [...found, ...listing.keys];
        if (!listing.more) return found;
      }
    });

  return {
    electorate,
    ballots,
    keysOf,
    shardOf,
    decide: (key, value) =>
      Effect.flatMap(proposing(key), (how) => Effect.map(paxos.decide({ ...how, value }), (decision) => decision!)),
    read: (key) => Effect.flatMap(proposing(key), (how) => Effect.map(paxos.read(how), (decision) => decision?.value)),
    put: (shard, duty, checkpoints, whole) =>
      Effect.gen(function* () {
        const group = yield* electorate(shard);
        const sent = (store: Voter, all: ReadonlyArray<Checkpoint>) => {
          const value = { target: target(store), duty, checkpoints: [...all] };
          return asked(store, answers.ask({ case: 'putCheckpoint', value }), done);
        };
        const { answers: heard, faults } = yield* gather(
          paxos.everyone(group),
          (store) =>
            Effect.catchAll(sent(store, checkpoints), (fault) =>
              fault.step === 'lacking' && whole ? sent(store, whole) : Effect.fail(fault),
            ),
          (all) => paxos.quorum(group, members(all)),
        );
        if (!paxos.quorum(group, members(heard))) return yield* worst('checkpoint', faults);
      }),
    get: (shard, duty, token, keys) =>
      Effect.gen(function* () {
        const group = yield* electorate(shard);
        const { answers: heard, faults } = yield* gather(
          paxos.everyone(group),
          (store) =>
            asked(
              store,
              answers.ask({ case: 'getCheckpoint', value: { target: target(store), duty, token, keys: [...keys] } }),
              checkpointsOf,
            ),
          (all) => paxos.quorum(group, members(all)),
        );
        if (!paxos.quorum(group, members(heard))) return yield* worst('checkpoint', faults);
        const best = new Map<string, Checkpoint>();
        for (const each of heard.flatMap(({ answer }) => answer)) {
          const known = best.get(each.key);
          if (!known || each.token > known.token || (each.token === known.token && each.count > known.count))
            best.set(each.key, each);
        }
        return [...best.values()];
      }),
    list: (prefix) =>
      Effect.gen(function* () {
        const set = yield* stores;
        const all = paxos.everyone({ groups: [set.current, set.previous] });
        const { answers: heard } = yield* gather(
          all,
          (store) => keysOf(store, prefix),
          () => false,
        );
        const basis = set.previous.length > 0 ? set.previous : set.current;
        const missing = basis.filter((store) => !heard.some(({ member }) => paxos.same(member, store))).length;
        return {
          keys: [...new Set(heard.flatMap(({ answer }) => answer))].sort(),
          complete: missing <= Math.floor(Math.min(replicas, basis.length) / 2),
        };
      }),
    retire: (store, lot) =>
      Effect.asVoid(asked(store, answers.ask({ case: 'retire', value: { target: target(store), lot } }), done)),
    copies: (store, keys, duty) =>
      asked(
        store,
        answers.ask({ case: 'getCheckpoint', value: { target: target(store), duty, token: 0, keys: [...keys] } }),
        checkpointsOf,
      ),
    shelve: (store, checkpoints) =>
      Effect.asVoid(
        asked(
          store,
          answers.ask({
            case: 'putCheckpoint',
            value: { target: target(store), duty: '', checkpoints: [...checkpoints] },
          }),
          done,
        ),
      ),
  };
};
