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
import type { Records } from './records.js';

type Granted = { readonly address: string; readonly sequence: number; readonly until: number };
type Duty = { readonly holder: string; readonly token: number; readonly until: number };

/** A core's vote: the register's records, and the leases that it granted. */
export type Voter = {
  readonly handle: (ask: Ask) => Option.Option<Effect.Effect<Answer, Fault>>;
  readonly chosen: () => { readonly sequence: number; readonly value: Uint8Array } | undefined;
  readonly missing: () => ReadonlyArray<number>;
  readonly fresh: () => boolean;
};

const keyOf = (sequence: number): string => `config/${sequence}`;
const sequenceOf = (key: string): number => Number(key.slice('config/'.length));

/** Opens a core's vote over its records. */
export const makeVoter = (options: {
  readonly disk: string;
  readonly records: Records;
  readonly restarted: boolean;
  readonly leaseMs: number;
  readonly dutyLeaseMs: number;
  readonly time: Context.Tag.Service<typeof Timepiece>;
  readonly log: Context.Tag.Service<typeof Log>;
  readonly learnt: (value: Uint8Array) => void;
}): Voter => {
  const { records, time } = options;
  const grants = table<ReadonlyMap<string, Granted>>(new Map());
  const duties = table<ReadonlyMap<string, Duty>>(new Map());
  const pending = table<ReadonlyArray<number>>([]);
  const startedAt = time.granted();
  const learntAt = new Map<number, number>();
  const silent = (): boolean =>
    options.restarted && time.granted() < startedAt + Math.max(options.leaseMs, options.dutyLeaseMs);
  const sequences = (fits: (key: string) => boolean): number =>
    Math.max(0, ...records.keys().filter(fits).map(sequenceOf));
  const accepted = (): number =>
    Math.max(
      sequences((key) => records.get(key)?.accepted !== undefined),
      ...pending.get(),
    );
  const chosenSequence = (): number => sequences((key) => records.get(key)?.chosen === true);

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

  const mayVote = (sequence: number, value: Uint8Array | undefined): string | undefined => {
    if (silent()) return 'restarted; waits out a full lease before it votes';
    if (sequence === 1) {
      if (chosenSequence() > 0 && !records.get(keyOf(1))) return 'founded already';
      const named = value && (JSON.parse(fromBinary(RegisterValueSchema, value).configuration) as Configuration).voters;
      return named && !named.some((voter) => voter.disk === options.disk) ? 'not among the founders' : undefined;
    }
    const before = records.get(keyOf(sequence - 1));
    if (!before?.chosen) return `has not learnt sequence ${sequence - 1}`;
    const configuration = JSON.parse(fromBinary(RegisterValueSchema, before.value).configuration) as Configuration;
    if (!configuration.voters.some((voter) => voter.disk === options.disk)) return 'is no voter for this sequence';
    if (
      configuration.formerVoters.length > 0 &&
      time.granted() < (learntAt.get(sequence - 1) ?? startedAt) + options.leaseMs
    ) {
      return 'the voters changed; waits out a full lease';
    }
    return undefined;
  };

  const voting = (
    disk: string,
    key: string,
    value: Uint8Array | undefined,
    work: Effect.Effect<Vote, Fault>,
  ): Effect.Effect<Answer, Fault> =>
    Effect.suspend(() => {
      if (disk !== options.disk) return Effect.succeed(answers.bounce('vote', 'meant for another disk'));
      const no = records.get(key)?.chosen ? undefined : mayVote(sequenceOf(key), value);
      return no === undefined
        ? Effect.map(work, (vote) => voted(vote, sequenceOf(key)))
        : Effect.succeed(answers.bounce('vote', no));
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

  const learn = (key: string, ballot: Ballot, value: Uint8Array): Effect.Effect<Answer, Fault> =>
    Effect.gen(function* () {
      if (!records.get(key)?.chosen) {
        yield* records.apply(key, (record) => acceptor.learn(record, ballot, value));
        learntAt.set(sequenceOf(key), time.granted());
      }
      options.learnt(value);
      return answers.done();
    });

  const lease = (ask: { disk: string; holder: string; address: string; sequence: number }): Answer => {
    const granted = ask.disk === options.disk && !silent() && ask.sequence >= accepted();
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

  const duty = (ask: { disk: string; duty: string; holder: string; token: number; release: boolean }): Answer => {
    const now = time.granted();
    const held = duties.get().get(ask.duty);
    const free = held === undefined || held.until <= now || held.holder === ask.holder;
    const answer = (granted: boolean): Answer =>
      answers.answer({
        case: 'duty',
        value: {
          granted,
          holder: free ? '' : held.holder,
          token: held?.token ?? 0,
          remaining: free ? 0 : Math.ceil(held.until - now),
        },
      });
    if (ask.disk !== options.disk || silent() || !free || ask.token < (held?.token ?? 0)) return answer(false);
    if (ask.token === 0) return answer(false);
    if (held !== undefined && ask.token === held.token && held.holder !== ask.holder) return answer(false);
    duties.swap((state) =>
      new Map(state).set(ask.duty, {
        holder: ask.holder,
        token: ask.token,
        until: ask.release ? now : now + options.dutyLeaseMs,
      }),
    );
    return answer(true);
  };

  return {
    chosen: () => {
      const sequence = chosenSequence();
      const record = records.get(keyOf(sequence));
      return record && { sequence, value: record.value };
    },
    missing: () =>
      Array.from({ length: chosenSequence() }, (_, place) => place + 1).filter(
        (sequence) => !records.get(keyOf(sequence))?.chosen,
      ),
    fresh: () => chosenSequence() === 0,
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
            Effect.sync(() => {
              if (kind.value.target!.disk !== options.disk) return answers.bounce('read', 'meant for another disk');
              if (records.damaged().includes(kind.value.key))
                return answers.bounce('read', `${kind.value.key} is damaged here`);
              return voted(
                acceptor.read(records.get(kind.value.key) ?? acceptor.fresh(kind.value.key)),
                sequenceOf(kind.value.key),
              );
            }),
          );
        case 'learn':
          return kind.value.role === 'core' && (kind.value.disk === '' || kind.value.disk === options.disk)
            ? Option.some(learn(kind.value.key, kind.value.ballot!, kind.value.value))
            : Option.none();
        case 'since':
          return Option.some(
            Effect.sync(() => {
              const sequence = Math.min(
                ...records
                  .keys()
                  .filter((key) => records.get(key)?.chosen)
                  .map(sequenceOf)
                  .filter((each) => each > kind.value.sequence),
              );
              const record = records.get(keyOf(sequence));
              return record
                ? answers.answer({ case: 'chosen', value: create(ChosenSchema, { sequence, value: record.value }) })
                : answers.bounce('since', 'nothing later');
            }),
          );
        case 'findChange':
          return Option.some(
            Effect.sync(() => {
              for (const key of records.keys()) {
                const record = records.get(key)!;
                if (!record.chosen) continue;
                const value = fromBinary(RegisterValueSchema, record.value);
                if (value.changeId === kind.value.id)
                  return answers.answer({ case: 'chosen', value: { sequence: value.sequence, value: record.value } });
              }
              return answers.bounce('findChange', 'not known here');
            }),
          );
        case 'lease':
          return Option.some(Effect.sync(() => lease(kind.value)));
        case 'duty':
          return Option.some(Effect.sync(() => duty(kind.value)));
        default:
          return Option.none();
      }
    },
  };
};
