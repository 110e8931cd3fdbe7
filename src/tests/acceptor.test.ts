import { describe, expect, test } from '@jest/globals';
import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { acceptor } from '../core/acceptor.js';
import { BallotSchema } from '../gen/foxdeck_pb.js';

type Move =
  | { readonly kind: 'prepare'; readonly proposer: number; readonly round: number; readonly reach: number }
  | { readonly kind: 'crash' };

const moves = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('prepare' as const),
      proposer: fc.integer({ min: 0, max: 2 }),
      round: fc.integer({ min: 1, max: 6 }),
      reach: fc.integer({ min: 0, max: 63 }),
    }),
    fc.record({ kind: fc.constant('crash' as const) }),
  ),
  { minLength: 1, maxLength: 40 },
);

/** Runs proposers over three acceptors; `reach` has three bits for the prepares that arrive, three for the accepts. */
const play = (script: ReadonlyArray<Move>, step: typeof acceptor): ReadonlyArray<string> => {
  let records = [0, 1, 2].map(() => step.fresh('value'));
  const chosen = new Set<string>();
  const accepts = new Map<string, { readonly value: string; readonly who: Set<number> }>();
  script.forEach((move) => {
    if (move.kind === 'crash') return;
    const ballot = create(BallotSchema, { round: move.round, proposer: `p${move.proposer}` });
    const promises = [0, 1, 2].flatMap((voter) => {
      if (!(move.reach & (1 << voter))) return [];
      const { record, vote } = step.prepare(records[voter]!, ballot);
      records = records.map((before, index) => (index === voter ? record : before));
      return vote.granted ? [vote] : [];
    });
    if (promises.length < 2) return;
    const found = promises
      .filter((vote) => vote.accepted)
      .sort((left, right) => step.compare(right.accepted, left.accepted))[0];
    const name = `${move.round}.${move.proposer}`;
    const tally = accepts.get(name) ?? {
      value: found ? Buffer.from(found.value).toString() : `value of ${name}`,
      who: new Set<number>(),
    };
    accepts.set(name, tally);
    [0, 1, 2].forEach((voter) => {
      if (!(move.reach & (8 << voter))) return;
      const { record, vote } = step.accept(records[voter]!, ballot, Buffer.from(tally.value));
      records = records.map((before, index) => (index === voter ? record : before));
      if (vote.granted) tally.who.add(voter);
    });
    if (tally.who.size >= 2) chosen.add(tally.value);
  });
  return [...chosen];
};

describe('acceptor', () => {
  test('never lets two values be chosen, whatever is lost on the way', () => {
    fc.assert(
      fc.property(moves, (script) => play(script, acceptor).length <= 1),
      { seed: 20261, numRuns: 3000 },
    );
  });

  test('the same play finds two values when a voter forgets its promise', () => {
    const forgetful: typeof acceptor = {
      ...acceptor,
      prepare: (record, ballot) => ({ ...acceptor.prepare({ ...record, promised: undefined }, ballot), record }),
    };
    const outcome = fc.check(
      fc.property(moves, (script) => play(script, forgetful).length <= 1),
      { seed: 20261, numRuns: 3000 },
    );
    expect(outcome.failed).toBe(true);
  });
});
