import { create } from '@bufbuild/protobuf';
import { Effect } from 'effect';
import { BallotSchema, type Ballot, type Vote } from '../gen/foxdeck_pb.js';
import { Fault } from '../shared/fault.js';
import { gather } from '../shared/gather.js';
import { acceptor } from './acceptor.js';

/** A voter: a name and the identity of the disk it votes from. */
export type Voter = { readonly name: string; readonly disk: string };

/** Who must agree: a quorum within every group. */
export type Electorate = {
  readonly groups: ReadonlyArray<ReadonlyArray<Voter>>;
  readonly unanimous?: boolean;
};

/** How a proposer reaches the voters of one write-once value. */
export type Ballots = {
  readonly prepare: (voter: Voter, ballot: Ballot) => Effect.Effect<Vote, Fault>;
  readonly accept: (voter: Voter, ballot: Ballot, value: Uint8Array) => Effect.Effect<Vote, Fault>;
  readonly read: (voter: Voter) => Effect.Effect<Vote, Fault>;
  readonly learn: (voter: Voter, ballot: Ballot, value: Uint8Array) => Effect.Effect<unknown, Fault>;
};

/** A value that was chosen, and the votes that its acceptance was seen in. */
export type Decision = {
  readonly value: Uint8Array;
  readonly ballot: Ballot;
  readonly votes: ReadonlyArray<Vote>;
  readonly lacking: number;
};

const same = (left: Voter, right: Voter): boolean => left.name === right.name && left.disk === right.disk;

const quorum = (electorate: Electorate, voters: ReadonlyArray<Voter>): boolean =>
  electorate.groups.every((group) => {
    const heard = group.filter((member) => voters.some((voter) => same(voter, member))).length;
    return group.length > 0 && heard >= (electorate.unanimous ? group.length : Math.floor(group.length / 2) + 1);
  });

const everyone = (electorate: Electorate): ReadonlyArray<Voter> =>
  electorate.groups.flat().filter((voter, place, all) => all.findIndex((other) => same(voter, other)) === place);

const granted = (answers: ReadonlyArray<{ readonly member: Voter; readonly answer: Vote }>) =>
  answers.filter(({ answer }) => answer.granted);

const spread = (ballots: Ballots, electorate: Electorate, ballot: Ballot, value: Uint8Array) =>
  Effect.forkDaemon(
    Effect.forEach(everyone(electorate), (voter) => Effect.ignore(ballots.learn(voter, ballot, value)), {
      concurrency: 'unbounded',
    }),
  );

const reasons = (faults: ReadonlyArray<Fault>): string =>
  faults.map((fault) => fault.message).join('; ') || 'voters bounced it';

/**
 * Decides one write-once value. With no value of its own it only completes one that it finds, and answers undefined
 * when none is there.
 * A fault is marked `unknown` from the moment at which a voter may have accepted the value.
 */
const decide = (options: {
  readonly electorate: Electorate;
  readonly ballots: Ballots;
  readonly proposer: string;
  readonly chance: () => number;
  readonly value?: Uint8Array;
  readonly attempts?: number;
}): Effect.Effect<Decision | undefined, Fault> =>
  Effect.gen(function* () {
    const { electorate, ballots } = options;
    const voters = everyone(electorate);
    const proposer = `${options.proposer}~${Math.floor(options.chance() * 2 ** 48).toString(36)}`;
    let round = 0;
    let sent = false;
    let last = 'no quorum';
    for (let attempt = 0; attempt < (options.attempts ?? 6); attempt += 1) {
      if (attempt > 0) yield* Effect.sleep(20 + options.chance() * 60 * 2 ** attempt);
      const ballot = create(BallotSchema, { round: round + 1, proposer });
      const promises = yield* gather(
        voters,
        (voter) => ballots.prepare(voter, ballot),
        (answers) =>
          answers.some(({ answer }) => answer.chosen) ||
          quorum(
            electorate,
            granted(answers).map(({ member }) => member),
          ),
      );
      const known = promises.answers.find(({ answer }) => answer.chosen)?.answer;
      if (known) {
        yield* spread(ballots, electorate, known.accepted!, known.value);
        return { value: known.value, ballot: known.accepted!, votes: [], lacking: 0 };
      }
      round = Math.max(round + 1, ...promises.answers.map(({ answer }) => answer.promised?.round ?? 0));
      const promised = granted(promises.answers);
      if (
        !quorum(
          electorate,
          promised.map(({ member }) => member),
        )
      ) {
        last = reasons(promises.faults);
        continue;
      }
      const found = promised
        .map(({ answer }) => answer)
        .filter((vote) => vote.accepted !== undefined)
        .sort((left, right) => acceptor.compare(right.accepted, left.accepted))[0];
      const value = found?.value ?? options.value;
      if (value === undefined) return undefined;
      sent = true;
      const accepts = yield* gather(
        voters,
        (voter) => ballots.accept(voter, ballot, value),
        (answers) =>
          answers.some(({ answer }) => answer.chosen) ||
          quorum(
            electorate,
            granted(answers).map(({ member }) => member),
          ),
      );
      const other = accepts.answers.find(({ answer }) => answer.chosen)?.answer;
      if (other) return { value: other.value, ballot: other.accepted!, votes: [], lacking: 0 };
      const accepted = granted(accepts.answers);
      if (
        quorum(
          electorate,
          accepted.map(({ member }) => member),
        )
      ) {
        yield* spread(ballots, electorate, ballot, value);
        return { value, ballot, votes: accepted.map(({ answer }) => answer), lacking: voters.length - accepted.length };
      }
      round = Math.max(round, ...accepts.answers.map(({ answer }) => answer.promised?.round ?? 0));
      last = reasons(accepts.faults);
    }
    return yield* new Fault({ step: 'decide', reason: last, unknown: sent });
  });

/** Reads a write-once value, completing and mending what it finds half done. */
const read = (options: {
  readonly electorate: Electorate;
  readonly ballots: Ballots;
  readonly proposer: string;
  readonly chance: () => number;
}): Effect.Effect<Decision | undefined, Fault> =>
  Effect.gen(function* () {
    const { electorate, ballots } = options;
    const { answers, faults } = yield* gather(
      everyone(electorate),
      (voter) => ballots.read(voter),
      (heard) =>
        quorum(
          electorate,
          heard.map(({ member }) => member),
        ),
    );
    const known = answers.find(({ answer }) => answer.chosen)?.answer;
    if (
      known &&
      quorum(
        electorate,
        answers.filter(({ answer }) => answer.chosen).map(({ member }) => member),
      )
    ) {
      return { value: known.value, ballot: known.accepted!, votes: answers.map(({ answer }) => answer), lacking: 0 };
    }
    if (known) {
      yield* spread(ballots, electorate, known.accepted!, known.value);
      return { value: known.value, ballot: known.accepted!, votes: answers.map(({ answer }) => answer), lacking: 1 };
    }
    if (
      !quorum(
        electorate,
        answers.map(({ member }) => member),
      )
    ) {
      return yield* new Fault({ step: 'read', reason: reasons(faults) });
    }
    if (answers.every(({ answer }) => answer.accepted === undefined)) return undefined;
    return yield* decide(options);
  });

/** Single-decree Paxos among named disks, the one agreement of the register and of the stores' records. */
export const paxos = { decide, read, quorum, everyone, same };
