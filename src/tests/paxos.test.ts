import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { acceptor } from '../core/acceptor.js';
import { paxos, type Ballots } from '../core/paxos.js';
import type { Record as Kept } from '../gen/foxdeck_pb.js';
import { makeWorld } from '../sim/world.js';

const voters = ['a', 'b', 'c'].map((name) => ({ name, disk: name }));

/** Two proposals of one node for one key at one time, over voters whose messages take their time. */
const race = (seed: number): ReadonlyArray<string> => {
  const world = makeWorld(seed);
  const process = world.process('node');
  const records = new Map<string, Kept>(voters.map((voter) => [voter.name, acceptor.fresh('key')]));
  const slowly = <A>(work: () => A): Effect.Effect<A> =>
    Effect.suspend(() => Effect.sleep(world.between(0, 3))).pipe(
      Effect.map(work),
      Effect.tap(() => Effect.sleep(world.between(0, 3))),
    );
  const step = (name: string, taken: { readonly record: Kept; readonly vote: ReturnType<typeof acceptor.read> }) => {
    records.set(name, taken.record);
    return taken.vote;
  };
  const ballots: Ballots = {
    prepare: (voter, ballot) => slowly(() => step(voter.name, acceptor.prepare(records.get(voter.name)!, ballot))),
    accept: (voter, ballot, value) =>
      slowly(() => step(voter.name, acceptor.accept(records.get(voter.name)!, ballot, value))),
    read: (voter) => slowly(() => acceptor.read(records.get(voter.name)!)),
    learn: (voter, ballot, value) =>
      slowly(() => step(voter.name, acceptor.learn(records.get(voter.name)!, ballot, value))),
  };
  const decided: string[] = [];
  for (const value of ['one', 'two']) {
    process.fork(
      paxos.decide({
        electorate: { groups: [voters] },
        ballots,
        proposer: 'node',
        chance: world.chance,
        value: Buffer.from(value),
      }),
      (exit) => {
        if (exit._tag === 'Success') decided.push(Buffer.from(exit.value!.value).toString());
      },
    );
  }
  world.runUntil(30_000);
  return decided;
};

test('two proposals of one node never both win', () => {
  for (let seed = 1; seed <= 300; seed += 1) {
    const decided = race(seed);
    expect(decided.length).toBeGreaterThan(0);
    expect(new Set(decided).size).toBe(1);
  }
});
