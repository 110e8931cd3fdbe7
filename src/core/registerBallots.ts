import { create } from '@bufbuild/protobuf';
import { Effect, type Context } from 'effect';
import { TargetSchema, type Vote } from '../gen/foxdeck_pb.js';
import type { Presence } from '../node/news.js';
import { answers } from '../shared/answers.js';
import type { Address } from '../shared/brands.js';
import { Fault } from '../shared/fault.js';
import type { Links } from '../shared/links.js';
import type { Ballots, Voter } from './paxos.js';

const keyOf = (sequence: number): string => `config/${sequence}`;

/** How a proposer reaches the cores that vote on a sequence of the register. */
export const registerBallots = (links: Context.Tag.Service<typeof Links>, nodes: () => ReadonlyArray<Presence>) => {
  const addressOf = (voter: Voter): Effect.Effect<Address, Fault> =>
    Effect.suspend(() => {
      const node = nodes().find((each) => each.name === voter.name && each.disk === voter.disk);
      return node
        ? Effect.succeed(node.peer)
        : Effect.fail(new Fault({ step: 'find core', cohortMember: voter.name, reason: 'not present' }));
    });
  const voteOf = (voter: Voter, ask: ReturnType<typeof answers.ask>): Effect.Effect<Vote, Fault> =>
    Effect.gen(function* () {
      const answer = yield* links.ask(yield* addressOf(voter), ask, 1500);
      if (answer.kind.case === 'vote') return answer.kind.value;
      const reason = answer.kind.case === 'bounce' ? answer.kind.value.reason : 'odd answer';
      return yield* new Fault({ step: 'vote', cohortMember: voter.name, reason });
    });
  const ballotsFor = (sequence: number): Ballots => {
    const key = keyOf(sequence);
    const target = (voter: Voter) => create(TargetSchema, { role: 'core', disk: voter.disk });
    return {
      prepare: (voter, ballot) =>
        voteOf(voter, answers.ask({ case: 'prepare', value: { target: target(voter), key, ballot } })),
      accept: (voter, ballot, value) =>
        voteOf(voter, answers.ask({ case: 'accept', value: { target: target(voter), key, ballot, value } })),
      read: (voter) => voteOf(voter, answers.ask({ case: 'read', value: { target: target(voter), key } })),
      learn: (voter, ballot, value) =>
        Effect.flatMap(addressOf(voter), (address) =>
          links.ask(
            address,
            answers.ask({ case: 'learn', value: { role: 'core', disk: voter.disk, key, ballot, value } }),
            1500,
          ),
        ),
    };
  };

  return { addressOf, voteOf, ballotsFor, keyOf };
};
