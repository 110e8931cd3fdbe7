import { create, fromBinary } from '@bufbuild/protobuf';
import { Effect, Option, type Context } from 'effect';
import {
  ChosenSchema,
  GrantSchema,
  RegisterValueSchema,
  VoteSchema,
  type Answer,
  type Ask,
  type Ballot,
  type FencedLeaseRequest,
  type Grant,
  type Vote,
} from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import type { Configuration } from '../shared/configuration.js';
import { Fault } from '../shared/fault.js';
import type { Log } from '../shared/log.js';
import { table } from '../shared/table.js';
import type { Timepiece } from '../shared/timepiece.js';
import { acceptor } from './acceptor.js';
import { fencedLeases } from './fencedLeases.js';
import type { LeaseRecords } from './leaseRecords.js';
import type { Records } from './records.js';
import type { VoterIndex } from './voterIndex.js';

type Granted = { readonly address: string; readonly sequence: number; readonly until: number };

/** A core's vote: its records of the configuration log, and the leases that it granted. */
export type Voter = {
  readonly handle: (ask: Ask) => Option.Option<Effect.Effect<Answer, Fault>>;
  /** The newest decided value on this disk; to be read once before the voter serves. */
  readonly chosen: Effect.Effect<{ readonly sequence: number; readonly value: Uint8Array } | undefined, Fault>;
  readonly sequence: () => number;
  readonly missing: () => ReadonlyArray<number>;
  readonly fresh: () => boolean;
  /** Whether leases rest until a change that this life proposed is decided. */
  readonly needsStart: boolean;
  /** A change that this life proposed was decided at that sequence; see `FencedLeases`. */
  readonly startRecorded: (sequence: number) => void;
};

/** Records are taken away when so many more than are to be kept have gathered. */
const compactionSlack = 8;

const keyOf = (sequence: number): string => `config/${sequence}`;
const sequenceOf = (key: string): number => Number(key.slice('config/'.length));

/** Opens a core's vote over its records. */
export const makeVoter = (options: {
  readonly disk: string;
  readonly records: Records;
  readonly index: VoterIndex;
  readonly restarted: boolean;
  readonly leaseMs: number;
  readonly fencedLeaseMs: number;
  /** Grants of fenced leases on disk; without them a restart is waited out. */
  readonly leaseRecords?: LeaseRecords;
  /** How many of the newest decided sequences are kept; each of them holds the whole state. */
  readonly keepSequences: number;
  readonly time: Context.Tag.Service<typeof Timepiece>;
  readonly log: Context.Tag.Service<typeof Log>;
  readonly learnt: (value: Uint8Array) => void;
}): Voter => {
  const { records, index, time } = options;
  const grants = table<ReadonlyMap<string, Granted>>(new Map());
  const pending = table<ReadonlyArray<number>>([]);
  const startedAt = time.granted();
  const learntAt = new Map<number, number>();
  /** A restarted voter has forgotten what it granted, so it waits until all of that must have ended. */
  const silent = (lengthMs: number): boolean => options.restarted && time.granted() < startedAt + lengthMs;
  /** Sequences up to this one are decided and their records may be gone: the newest value stands for them. */
  const compacted = (): number => Math.max(0, index.highestChosen() - options.keepSequences);
  /** A sequence whose record was lost here counts as accepted: what was vouched for is not known any more. */
  const accepted = (): number =>
    Math.max(index.highestAccepted(), ...pending.get(), ...[...records.damaged()].map(sequenceOf));
  const chosenSequence = index.highestChosen;
  const acceptedElectorate = (): number =>
    [...records.damaged()].some((key) => sequenceOf(key) > chosenSequence()) ? Infinity : index.undecidedElectorate();
  const leases = fencedLeases.make({
    disk: options.disk,
    restarted: options.restarted,
    leaseMs: options.fencedLeaseMs,
    records: options.leaseRecords,
    now: time.granted,
    acceptedElectorate,
  });
  let knownElectorate = 0;
  const tookIn = (value: Uint8Array): void => {
    const { sequence, electorate, configuration } = fromBinary(RegisterValueSchema, value);
    if (electorate <= knownElectorate) return;
    knownElectorate = electorate;
    const { voters } = JSON.parse(configuration) as Configuration;
    const member = voters.some((voter) => voter.disk === options.disk);
    leases.learnt({ electorate, member, sequence });
  };

  const reported = (sequence: number): ReadonlyArray<Grant> =>
    [...grants.get()]
      .filter(([, grant]) => grant.sequence < sequence && grant.until > time.granted())
      .map(([holder, grant]) =>
        create(GrantSchema, {
          holder,
          address: grant.address,
          sequence: grant.sequence,
          remaining: Math.ceil(grant.until - time.granted()),
        }),
      );
  const voted = (vote: Vote, sequence: number): Answer =>
    answers.answer({
      case: 'vote',
      value: create(VoteSchema, { ...vote, highest: accepted(), grants: [...reported(sequence)] }),
    });

  const mayVote = (sequence: number, value: Uint8Array | undefined): Effect.Effect<string | undefined, Fault> =>
    Effect.gen(function* () {
      if (sequence <= compacted()) return `sequence ${sequence} was decided and is compacted here`;
      if (silent(options.leaseMs)) return 'restarted; waits out a full lease before it votes';
      if (sequence === 1) {
        if (chosenSequence() > 0 && !records.head(keyOf(1))) return 'founded already';
        const named =
          value && (JSON.parse(fromBinary(RegisterValueSchema, value).configuration) as Configuration).voters;
        return named && !named.some((voter) => voter.disk === options.disk) ? 'not among the founders' : undefined;
      }
      const before = yield* records.full(keyOf(sequence - 1));
      if (!before?.chosen) return `has not learnt sequence ${sequence - 1}`;
      const configuration = JSON.parse(fromBinary(RegisterValueSchema, before.value).configuration) as Configuration;
      if (!configuration.voters.some((voter) => voter.disk === options.disk)) return 'is no voter for this sequence';
      const since = learntAt.get(sequence - 1) ?? startedAt;
      return configuration.formerVoters.length > 0 && time.granted() < since + options.leaseMs
        ? 'the voters changed; waits out a full lease'
        : undefined;
    });

  const voting = (
    disk: string,
    key: string,
    value: Uint8Array | undefined,
    work: Effect.Effect<Vote, Fault>,
  ): Effect.Effect<Answer, Fault> =>
    Effect.gen(function* () {
      if (disk !== options.disk) return answers.bounce('vote', 'meant for another disk');
      const no = records.head(key)?.chosen ? undefined : yield* mayVote(sequenceOf(key), value);
      return no === undefined ? voted(yield* work, sequenceOf(key)) : answers.bounce('vote', no);
    });

  const accept = (key: string, ballot: Ballot, value: Uint8Array): Effect.Effect<Vote, Fault> => {
    const sequence = sequenceOf(key);
    return Effect.acquireUseRelease(
      Effect.sync(() => pending.swap((now) => [...now, sequence])),
      () => records.apply(key, (record) => acceptor.accept(record, ballot, value)),
      () =>
        Effect.sync(() =>
          pending.swap((now) => {
            const place = now.indexOf(sequence);
            return [...now.slice(0, place), ...now.slice(place + 1)];
          }),
        ),
    );
  };

  let compacting = false;
  /** Takes away what the newest values stand for; files that a loss of power brings back go with the next pass. */
  const compact = Effect.suspend(() => {
    const upTo = compacted();
    const old = [...records.keys(), ...records.damaged()].filter((key) => sequenceOf(key) <= upTo);
    if (compacting || old.length < compactionSlack) return Effect.void;
    compacting = true;
    index.compact(upTo);
    for (const sequence of learntAt.keys()) if (sequence <= upTo) learntAt.delete(sequence);
    return Effect.ensuring(
      Effect.ignore(records.remove(old)),
      Effect.sync(() => (compacting = false)),
    );
  });
  const learn = (key: string, ballot: Ballot, value: Uint8Array): Effect.Effect<Answer, Fault> =>
    Effect.gen(function* () {
      const sequence = sequenceOf(key);
      if (sequence > compacted() && !records.head(key)?.chosen) {
        yield* records.apply(key, (record) => acceptor.learn(record, ballot, value));
        learntAt.set(sequence, time.granted());
        tookIn(value);
        yield* compact;
      }
      options.learnt(value);
      return answers.done();
    });

  const lease = (ask: { disk: string; holder: string; address: string; sequence: number }): Answer => {
    const granted = ask.disk === options.disk && !silent(options.leaseMs) && ask.sequence >= accepted();
    if (granted) {
      grants.swap((now) =>
        new Map([...now].filter(([, grant]) => grant.until > time.granted())).set(ask.holder, {
          address: ask.address,
          sequence: ask.sequence,
          until: time.granted() + options.leaseMs,
        }),
      );
    }
    return answers.answer({ case: 'lease', value: { granted, highest: accepted(), chosen: chosenSequence() } });
  };

  const fencedLease = (request: FencedLeaseRequest): Effect.Effect<Answer> =>
    Effect.suspend(() => {
      const answered = leases.request(request);
      const value = answered instanceof Promise ? Effect.promise(() => answered) : Effect.succeed(answered);
      return Effect.map(value, (answer) => answers.answer({ case: 'fencedLease', value: answer }));
    });

  const told = (sequence: number | undefined, none: string): Effect.Effect<Answer, Fault> =>
    Effect.gen(function* () {
      const record = sequence === undefined ? undefined : yield* records.full(keyOf(sequence));
      if (sequence === undefined || !record) return answers.bounce('chosen', none);
      return answers.answer({ case: 'chosen', value: create(ChosenSchema, { sequence, value: record.value }) });
    });

  return {
    chosen: Effect.gen(function* () {
      const sequence = chosenSequence();
      const record = sequence === 0 ? undefined : yield* records.full(keyOf(sequence));
      if (record) tookIn(record.value);
      return record && { sequence, value: record.value };
    }),
    sequence: chosenSequence,
    missing: () => index.missing(compacted()),
    fresh: () => chosenSequence() === 0,
    needsStart: leases.needsStart,
    startRecorded: leases.startRecorded,
    handle: (ask) => {
      const { kind } = ask;
      switch (kind.case) {
        case 'prepare':
          if (kind.value.target?.role !== 'core') return Option.none();
          return Option.some(
            voting(
              kind.value.target.disk,
              kind.value.key,
              undefined,
              records.apply(kind.value.key, (record) => acceptor.prepare(record, kind.value.ballot!)),
            ),
          );
        case 'accept':
          if (kind.value.target?.role !== 'core') return Option.none();
          return Option.some(
            voting(
              kind.value.target.disk,
              kind.value.key,
              kind.value.value,
              accept(kind.value.key, kind.value.ballot!, kind.value.value),
            ),
          );
        case 'read':
          if (kind.value.target?.role !== 'core') return Option.none();
          return Option.some(
            Effect.gen(function* () {
              const { key } = kind.value;
              if (kind.value.target!.disk !== options.disk) return answers.bounce('read', 'meant for another disk');
              if (records.damaged().has(key)) return answers.bounce('read', `${key} is damaged here`);
              if (sequenceOf(key) <= compacted() && !records.head(key))
                return answers.bounce('read', `${key} is compacted here`);
              return voted(acceptor.read((yield* records.full(key)) ?? acceptor.fresh(key)), sequenceOf(key));
            }),
          );
        case 'learn':
          return kind.value.role === 'core' && (kind.value.disk === '' || kind.value.disk === options.disk)
            ? Option.some(learn(kind.value.key, kind.value.ballot!, kind.value.value))
            : Option.none();
        case 'since':
          return Option.some(told(index.after(kind.value.sequence), 'nothing later'));
        case 'lease':
          return Option.some(Effect.sync(() => lease(kind.value)));
        case 'fencedLease':
          return Option.some(fencedLease(kind.value));
        default:
          return Option.none();
      }
    },
  };
};
