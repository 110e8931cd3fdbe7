import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect, type Context } from 'effect';
import { RegisterValueSchema, TargetSchema, type Grant, type RegisterValue } from '../gen/foxdeck_pb.js';
import type { Presence } from '../node/news.js';
import { answers } from '../shared/answers.js';
import { brands } from '../shared/brands.js';
import { checked, type Reason } from '../shared/checked.js';
import { configuration, type Change, type Configuration, type SeenDisks } from '../shared/configuration.js';
import { configurationSchema } from '../shared/configurationSchema.js';
import { Fault } from '../shared/fault.js';
import { gather } from '../shared/gather.js';
import type { Links } from '../shared/links.js';
import type { Log } from '../shared/log.js';
import { table } from '../shared/table.js';
import type { Timepiece } from '../shared/timepiece.js';
import { idempotency, type AcceptedChange } from './idempotency.js';
import { registerBallots } from './registerBallots.js';
import { paxos, type Electorate, type Voter } from './paxos.js';

type Known = {
  readonly sequence: number;
  readonly value: Uint8Array;
  readonly configuration: Configuration;
  /** Idempotency records of the changes accepted so far. */
  readonly acceptedChanges: Uint8Array;
  /** Counts the changes of the voters. */
  readonly electorate: number;
};

/** What became of a change. */
export type Outcome =
  | { readonly state: 'accepted'; readonly sequence: number }
  | { readonly state: 'bounced'; readonly reasons: ReadonlyArray<Reason> }
  | { readonly state: 'conflict'; readonly sequence: number; readonly message: string }
  | { readonly state: 'unavailable'; readonly message: string }
  | { readonly state: 'unknown'; readonly message: string };

/** A node's access to the agreed configuration. */
export type Register = {
  readonly known: () => Known | undefined;
  readonly learn: (value: Uint8Array) => void;
  readonly latest: Effect.Effect<Known, Fault>;
  readonly change: (bytes: Uint8Array) => Effect.Effect<Outcome>;
  readonly settle: (before: Configuration, sequence: number) => Effect.Effect<Outcome>;
  /** Finds an accepted change by its id, among the newest `idempotency.capacity`. */
  readonly find: (id: string) => Effect.Effect<AcceptedChange | undefined, Fault>;
  /** Like `settle` for the newest sequence that is known, by the voters that decided it. */
  readonly settleKnown: Effect.Effect<Outcome, Fault>;
  readonly at: (sequence: number) => Effect.Effect<RegisterValue | undefined, Fault>;
  readonly found: (founders: ReadonlyArray<Voter>) => Effect.Effect<void, Fault>;
  readonly finish: (sequence: number) => Effect.Effect<void, Fault>;
};

const inForceMargin = 2000;
const askMs = 1500;

/** Makes a node's register access; any node may propose. */
export const makeRegister = (options: {
  readonly name: string;
  readonly proposer: string;
  readonly leaseMs: number;
  readonly links: Context.Tag.Service<typeof Links>;
  readonly time: Context.Tag.Service<typeof Timepiece>;
  readonly log: Context.Tag.Service<typeof Log>;
  readonly nodes: () => ReadonlyArray<Presence>;
  readonly learnt: (known: Known) => void;
}): Register => {
  const { links, time, log } = options;
  const state = table<{ readonly known: Known | undefined; readonly inForce: number }>({
    known: undefined,
    inForce: 0,
  });

  const learn = (value: Uint8Array): void => {
    const decoded = fromBinary(RegisterValueSchema, value);
    if (decoded.sequence <= (state.get().known?.sequence ?? 0)) return;
    const known: Known = {
      sequence: decoded.sequence,
      value,
      configuration: JSON.parse(decoded.configuration) as Configuration,
      acceptedChanges: decoded.acceptedChanges,
      electorate: decoded.electorate,
    };
    state.swap((now) => ({ ...now, known }));
    options.learnt(known);
  };
  const { addressOf, voteOf, ballotsFor, keyOf } = registerBallots(links, options.nodes);
  const electing = (sequence: number, voters: ReadonlyArray<Voter>, unanimous = false) => ({
    electorate: { groups: [voters], unanimous } satisfies Electorate,
    ballots: ballotsFor(sequence),
    proposer: options.proposer,
    chance: time.chance,
  });
  const needKnown: Effect.Effect<Known, Fault> = Effect.suspend(() => {
    const known = state.get().known;
    return known
      ? Effect.succeed(known)
      : Effect.fail(new Fault({ step: 'register', reason: 'no configuration is known yet' }));
  });
  /** Learns a later value from a voter that compacted the ones between; answers whether there was one. */
  const catchUp = (known: Known): Effect.Effect<boolean> =>
    Effect.gen(function* () {
      const request = answers.ask({ case: 'since', value: { sequence: known.sequence } });
      const { answers: heard } = yield* gather(
        known.configuration.voters,
        (voter) =>
          Effect.flatMap(addressOf(voter), (address) =>
            Effect.map(links.ask(address, request, askMs), ({ kind }) =>
              kind.case === 'chosen' ? kind.value.value : undefined,
            ),
          ),
        (all) => all.some(({ answer }) => answer !== undefined),
      );
      for (const { answer } of heard) if (answer) learn(answer);
      return (state.get().known?.sequence ?? 0) > known.sequence;
    });
  /** The newest decided value, confirmed by a majority of its voters after the call began. */
  const latest: Effect.Effect<Known, Fault> = Effect.gen(function* () {
    for (;;) {
      const known = yield* needKnown;
      const next = yield* Effect.either(paxos.read(electing(known.sequence + 1, known.configuration.voters)));
      if (next._tag === 'Left') {
        if (!(yield* catchUp(known))) return yield* next.left;
      } else if (next.right === undefined) {
        const still = yield* needKnown;
        if (still.sequence === known.sequence) return known;
      } else learn(next.right.value);
    }
  });

  /** Waits until every holder of an older lease has applied the sequence or is nearly out of its lease. */
  const outlive = (value: Uint8Array, sequence: number, grants: ReadonlyArray<Grant>): Effect.Effect<void> =>
    Effect.gen(function* () {
      const heardAt = time.granted();
      const byHolder = new Map<string, Grant>();
      for (const grant of grants)
        if ((byHolder.get(grant.holder)?.remaining ?? -1) < grant.remaining) byHolder.set(grant.holder, grant);
      byHolder.delete(options.name);
      yield* Effect.forEach(
        byHolder.values(),
        (grant) => {
          const tell = links.ask(
            brands.address(grant.address),
            answers.ask({ case: 'learn', value: { role: '', disk: '', key: keyOf(sequence), value } }),
            700,
          );
          const left = (): number => heardAt + grant.remaining - time.granted() - inForceMargin;
          const until: Effect.Effect<void> = Effect.gen(function* () {
            while (left() > 0) {
              const told = yield* Effect.either(
                Effect.timeoutFail(tell, {
                  duration: Math.max(1, left()),
                  onTimeout: () => new Fault({ step: 'learn', reason: 'slow' }),
                }),
              );
              if (told._tag === 'Right' && told.right.kind.case === 'done') return;
              yield* Effect.sleep(Math.min(100, Math.max(1, left())));
            }
          });
          return until;
        },
        { concurrency: 'unbounded', discard: true },
      );
      state.swap((now) => ({ ...now, inForce: Math.max(now.inForce, sequence) }));
    });

  const settle = (before: Configuration, sequence: number): Effect.Effect<Outcome> =>
    Effect.gen(function* () {
      if (state.get().inForce >= sequence) return { state: 'accepted', sequence } as const;
      const electorate = { groups: [before.voters] };
      const target = (voter: Voter) => create(TargetSchema, { role: 'core', disk: voter.disk });
      const { answers: votes } = yield* gather(
        before.voters,
        (voter) =>
          Effect.filterOrFail(
            voteOf(voter, answers.ask({ case: 'read', value: { target: target(voter), key: keyOf(sequence) } })),
            (vote) => vote.accepted !== undefined,
            () => new Fault({ step: 'settle', reason: 'has not accepted it yet' }),
          ),
        (heard) =>
          paxos.quorum(
            electorate,
            heard.map(({ member }) => member),
          ),
      );
      if (
        !paxos.quorum(
          electorate,
          votes.map(({ member }) => member),
        )
      )
        return { state: 'unknown', message: 'decided, but no majority tells whether it is in force' } as const;
      const known = yield* needKnown;
      yield* outlive(
        known.value,
        known.sequence,
        votes.flatMap(({ answer }) => answer.grants),
      );
      state.swap((now) => ({ ...now, inForce: Math.max(now.inForce, sequence) }));
      return { state: 'accepted', sequence } as const;
    }).pipe(Effect.catchAll((fault) => Effect.succeed<Outcome>({ state: 'unknown', message: fault.message })));

  const settleKnown: Effect.Effect<Outcome, Fault> = Effect.flatMap(needKnown, ({ configuration: known, sequence }) =>
    settle(known.formerVoters.length > 0 ? { ...known, voters: known.formerVoters } : known, sequence),
  );

  const seen = (): SeenDisks => {
    const nodes = options.nodes();
    const of = (role: string) =>
      new Map(
        nodes.filter((node) => node.roles.includes(role) && node.disk !== '').map((node) => [node.name, node.disk]),
      );
    const zones = new Map(nodes.map((node) => [node.name, node.domain]));
    return { now: time.wall(), cores: of('core'), stores: of('store'), zones };
  };

  const propose = (
    known: Known,
    change: Change,
    bytes: Uint8Array,
    next: Configuration,
  ): Effect.Effect<Outcome | 'lost', Fault> =>
    Effect.gen(function* () {
      const sequence = known.sequence + 1;
      const value = toBinary(
        RegisterValueSchema,
        create(RegisterValueSchema, {
          sequence,
          changeId: change.id,
          change: bytes,
          configuration: JSON.stringify(next),
          acceptedChanges: idempotency.add(known.acceptedChanges, change.id, bytes),
          electorate: known.electorate + (change.voters === undefined ? 0 : 1),
        }),
      );
      yield* Effect.forEach(
        known.configuration.voters,
        (voter) =>
          Effect.ignore(
            ballotsFor(known.sequence).learn(
              voter,
              { $typeName: 'foxdeck.Ballot', round: 1, proposer: '' },
              known.value,
            ),
          ),
        { concurrency: 'unbounded' },
      ).pipe(Effect.timeout(400), Effect.ignore);
      const decision = yield* paxos.decide({ ...electing(sequence, known.configuration.voters), value });
      learn(decision!.value);
      if (Buffer.compare(decision!.value, value) !== 0) return 'lost';
      log.event('change_decided', { change: change.id, sequence });
      const outcome = yield* settle(known.configuration, sequence);
      return outcome;
    });

  const change = (bytes: Uint8Array): Effect.Effect<Outcome> =>
    Effect.gen(function* () {
      let document: unknown;
      try {
        document = JSON.parse(Buffer.from(bytes).toString('utf8'));
      } catch (cause) {
        return { state: 'bounced', reasons: [{ path: '', message: `not JSON: ${String(cause)}` }] } as const;
      }
      const shape = checked<Change>(configurationSchema, document);
      if (shape.isErr) return { state: 'bounced', reasons: shape.error } as const;
      for (let attempt = 0; attempt < 20; attempt += 1) {
        const known = yield* latest;
        const before = idempotency.find(known.acceptedChanges, known.sequence, shape.value.id);
        if (before !== undefined) {
          if (Buffer.compare(before.digest, idempotency.digestOf(bytes)) !== 0)
            return {
              state: 'conflict',
              sequence: known.sequence,
              message: `change ${shape.value.id} was taken with other bytes`,
            } as const;
          return yield* settleKnown.pipe(
            Effect.map((outcome): Outcome =>
              outcome.state === 'accepted' ? { state: 'accepted', sequence: before.sequence } : outcome,
            ),
          );
        }
        if (shape.value.expected !== undefined && shape.value.expected !== known.sequence) {
          return {
            state: 'conflict',
            sequence: known.sequence,
            message: `expected sequence ${shape.value.expected}, but ${known.sequence} is current`,
          } as const;
        }
        const next = configuration.apply(known.configuration, shape.value, seen());
        if (next.isErr) return { state: 'bounced', reasons: next.error } as const;
        const outcome = yield* propose(known, shape.value, bytes, next.value);
        if (outcome !== 'lost') return outcome;
      }
      return { state: 'unavailable', message: 'other changes kept winning' } as const;
    }).pipe(
      Effect.catchAll((fault) =>
        Effect.succeed<Outcome>(
          fault.unknown
            ? { state: 'unknown', message: fault.message }
            : { state: 'unavailable', message: fault.message },
        ),
      ),
    );

  return {
    known: () => state.get().known,
    learn,
    latest,
    change,
    settle,
    settleKnown,
    find: (id) => Effect.map(latest, (known) => idempotency.find(known.acceptedChanges, known.sequence, id)),
    at: (sequence) =>
      Effect.gen(function* () {
        const known = yield* latest;
        if (sequence < 1 || sequence > known.sequence) return undefined;
        if (sequence === known.sequence) return fromBinary(RegisterValueSchema, known.value);
        const { answers: heard } = yield* gather(
          known.configuration.voters,
          (voter) =>
            Effect.gen(function* () {
              const answer = yield* links.ask(
                yield* addressOf(voter),
                answers.ask({ case: 'since', value: { sequence: sequence - 1 } }),
                1500,
              );
              return answer.kind.case === 'chosen' && answer.kind.value.sequence === sequence
                ? answer.kind.value.value
                : undefined;
            }),
          (all) => all.some(({ answer }) => answer !== undefined),
        );
        const hit = heard.find(({ answer }) => answer !== undefined)?.answer;
        if (hit) return fromBinary(RegisterValueSchema, hit);
        return yield* new Fault({ step: 'read back', reason: `no core tells of sequence ${sequence} now` });
      }),
    found: (founders) =>
      Effect.gen(function* () {
        const value = toBinary(
          RegisterValueSchema,
          create(RegisterValueSchema, {
            sequence: 1,
            changeId: 'founding',
            configuration: JSON.stringify(configuration.founded(founders)),
            electorate: 1,
          }),
        );
        const decision = yield* paxos.decide({ ...electing(1, founders, true), value, attempts: 3 });
        learn(decision!.value);
        log.event('founded', { voters: founders.map((voter) => voter.name).join(',') });
      }),
    finish: (sequence) =>
      Effect.gen(function* () {
        const known = yield* needKnown;
        if (known.sequence + 1 !== sequence) return;
        const decision = yield* paxos.decide({ ...electing(sequence, known.configuration.voters), attempts: 2 });
        if (decision) learn(decision.value);
      }),
  };
};
