import { expect, test } from '@jest/globals';
import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { fencedLeases, type FencedLeaseAnswer, type FencedLeases } from '../core/fencedLeases.js';
import { FencedLeaseRequestSchema } from '../gen/foxdeck_pb.js';

const leaseMs = 3000;
const voterCount = 3;

/** Three voters whose leases live in memory, on one clock, as those of the own interface. */
const voters = () => {
  let now = 100_000;
  const open = (place: number, restarted: boolean): FencedLeases => {
    const leases = fencedLeases.make({
      disk: `d${place}`,
      restarted,
      leaseMs,
      records: undefined,
      now: () => now,
      acceptedElectorate: () => 0,
    });
    leases.learnt({ electorate: 1, member: true, sequence: 1 });
    return leases;
  };
  const all = Array.from({ length: voterCount }, (_, place) => open(place, false));
  return {
    now: () => now,
    pass: (ms: number): void => void (now += ms),
    restart: (place: number): void => void (all[place] = open(place, true)),
    ask: (place: number, holder: string, token: number, release: boolean): FencedLeaseAnswer => {
      const asked = { disk: `d${place}`, lease: 'seat/x', holder, token, release, electorate: 1 };
      const answer = all[place]!.request(create(FencedLeaseRequestSchema, asked));
      if (answer instanceof Promise) throw new Error('an answer that waits for no disk came late');
      return answer;
    },
  };
};

const step = fc.record({
  kind: fc.constantFrom('ask' as const, 'ask' as const, 'ask' as const, 'release' as const, 'restart' as const),
  holder: fc.constantFrom('a', 'b', 'c'),
  reached: fc.subarray([0, 1, 2], { minLength: 1 }),
  after: fc.nat({ max: 1600 }),
});

test('of a lease there is one holder at any time, and each one has a greater token than those before', () => {
  let [won, taken] = [0, 0];
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
      const core = voters();
      const held = new Map<string, { readonly token: number; readonly until: number }>();
      let highest = 0;
      for (const { kind, holder, reached, after } of steps) {
        core.pass(after);
        const now = core.now();
        const own = held.get(holder);
        const mine = own !== undefined && now < own.until ? own : undefined;
        if (kind === 'restart') core.restart(reached[0]!);
        if (kind === 'release' && mine) {
          held.delete(holder);
          for (const place of reached) core.ask(place, holder, mine.token, true);
        }
        if (kind !== 'ask') continue;
        const seen = reached.map((place) => core.ask(place, holder, 0, false));
        const token = mine?.token ?? Math.max(now, ...seen.map((each) => each.token + 1));
        const granted = reached.filter((place) => core.ask(place, holder, token, false).granted);
        if (granted.length * 2 <= voterCount) continue;
        const others = [...held].filter(([name, each]) => name !== holder && now < each.until);
        expect(others).toEqual([]);
        if (!mine) {
          taken += Number(highest > 0);
          expect(token).toBeGreaterThan(highest);
          highest = token;
        }
        won += 1;
        held.set(holder, { token, until: now + leaseMs });
      }
    }),
    { seed: 11, numRuns: 400 },
  );
  expect(won).toBeGreaterThan(500);
  expect(taken).toBeGreaterThan(100);
});
