import { describe, expect, test } from '@jest/globals';
import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { fencedLeases, type FencedLeases } from '../core/fencedLeases.js';
import type { GrantBounds, LeaseRecord, LeaseRecords } from '../core/leaseRecords.js';
import { FencedLeaseRequestSchema } from '../gen/foxdeck_pb.js';

const leaseMs = 3000;
const names = ['v0', 'v1', 'v2', 'v3', 'v4'];

/** How a run is broken on purpose, to see that the checks object. */
type Sabotage = 'none' | 'grantsUnderAnyElectorate' | 'newcomerGrantsAtOnce' | 'forgetsGrants';

type Electorate = { readonly number: number; readonly sequence: number; readonly voters: ReadonlyArray<string> };

/**
 * Voters that a majority replaces one by one, on one clock. Electorate n + 1 is chosen once a majority of electorate n
 * accepted it; each voter learns of it when the run says so.
 */
const makeVoters = (sabotage: Sabotage) => {
  let now = 100_000;
  let sequence = 1;
  let chosen: Electorate = { number: 1, sequence: 1, voters: names.slice(0, 3) };
  const electorates = [chosen];
  const accepted = new Map<string, number>();
  const known = new Map<string, number>();
  const leases = new Map<string, FencedLeases>();
  type Stored = { leases: Map<string, LeaseRecord>; bounds: GrantBounds; damaged: boolean };
  const stored = new Map<string, Stored>();
  /** A voter's records as its next life finds them; damaged ones are whole again with the next grant. */
  const recordsOf = (name: string, damaged: boolean): LeaseRecords => {
    const blank = { leases: new Map<string, LeaseRecord>(), bounds: { electorate: 0, fenceFloor: 0 }, damaged: false };
    const kept: Stored = stored.get(name) ?? blank;
    stored.set(name, kept);
    if (damaged) Object.assign(kept, { leases: new Map(), bounds: blank.bounds, damaged: true });
    if (sabotage === 'forgetsGrants') kept.leases.clear();
    const keepBounds = (bounds: GrantBounds): Promise<boolean> => {
      Object.assign(kept, { bounds, damaged: false });
      return Promise.resolve(true);
    };
    return {
      known: kept.damaged ? undefined : { leases: new Map(kept.leases), ...kept.bounds },
      keep: (lease, record, bounds) => {
        kept.leases.set(lease, record);
        return keepBounds(bounds);
      },
      keepBounds,
    };
  };
  const learn = (name: string, electorate: Electorate): void => {
    if ((known.get(name) ?? 0) >= electorate.number) return;
    known.set(name, electorate.number);
    const member = electorate.voters.includes(name);
    leases.get(name)!.learnt({ electorate: electorate.number, member, sequence: electorate.sequence });
  };
  const open = (name: string, restarted: boolean, damaged = false): void => {
    const undecided = (): number => {
      const number = accepted.get(name) ?? 0;
      return number > (known.get(name) ?? 0) ? number : 0;
    };
    leases.set(
      name,
      fencedLeases.make({
        disk: name,
        restarted,
        leaseMs: sabotage === 'newcomerGrantsAtOnce' && !names.slice(0, 3).includes(name) ? 1 : leaseMs,
        records: recordsOf(name, damaged),
        now: () => now,
        acceptedElectorate: undecided,
      }),
    );
    const before = known.get(name) ?? 0;
    known.set(name, 0);
    if (before > 0) learn(name, electorates[before - 1]!);
  };
  for (const name of names) open(name, false);
  for (const name of chosen.voters) learn(name, chosen);
  return {
    now: () => now,
    electorate: (number: number) => electorates[number - 1]!,
    newest: () => chosen,
    sequence: () => sequence,
    pass: (ms: number): void => void (now += ms),
    /** Restarts a voter; where its records are damaged, its start is recorded as the next sequence. */
    restart: (name: string, damaged: boolean): void => {
      open(name, true, damaged);
      if (!leases.get(name)!.needsStart) return;
      sequence += 1;
      leases.get(name)!.startRecorded(sequence);
    },
    /** Replaces a voter by one that is none, agreed by these members of the present electorate. */
    replace: (agreeing: ReadonlyArray<string>, place: number): boolean => {
      const taking = agreeing.filter((name) => chosen.voters.includes(name) && known.get(name) === chosen.number);
      if (taking.length * 2 <= chosen.voters.length) return false;
      const outside = names.filter((name) => !chosen.voters.includes(name));
      const newcomer = outside[place % outside.length]!;
      const leaving = chosen.voters[place % chosen.voters.length]!;
      sequence += 1;
      const voters = [...chosen.voters.filter((name) => name !== leaving), newcomer];
      chosen = { number: chosen.number + 1, sequence, voters };
      electorates.push(chosen);
      for (const name of taking) accepted.set(name, chosen.number);
      return true;
    },
    learn: (name: string): void => learn(name, chosen),
    ask: (name: string, electorate: Electorate, holder: string, token: number, release = false) =>
      leases.get(name)!.request(
        create(FencedLeaseRequestSchema, {
          disk: name,
          lease: 'order/sampler',
          holder,
          token,
          release,
          electorate: sabotage === 'grantsUnderAnyElectorate' ? (known.get(name) ?? 0) : electorate.number,
        }),
      ),
  };
};

const step = fc.record({
  kind: fc.constantFrom('ask', 'ask', 'ask', 'ask', 'release', 'restart', 'replace', 'learn', 'learn'),
  holder: fc.constantFrom('a', 'b', 'c'),
  reached: fc.subarray(names, { minLength: 2 }),
  /** How many electorates the asking holder's view is behind. */
  behind: fc.constantFrom(0, 0, 0, 1, 2),
  place: fc.nat(5),
  after: fc.nat({ max: 1200 }),
});

type Counts = { won: number; handovers: number; replaced: number; afterReplacement: number };

/** Plays random steps; throws where two hold the lease at once or a token does not rise. */
const play = async (sabotage: Sabotage, numRuns: number): Promise<Counts> => {
  const counts: Counts = { won: 0, handovers: 0, replaced: 0, afterReplacement: 0 };
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 30, maxLength: 80 }), async (steps) => {
      const core = makeVoters(sabotage);
      const held = new Map<string, { readonly token: number; readonly until: number }>();
      let highest = 0;
      for (const { kind, holder, reached, behind, place, after } of steps) {
        core.pass(after);
        const now = core.now();
        const own = held.get(holder);
        const mine = own !== undefined && now < own.until ? own : undefined;
        const electorate = core.electorate(Math.max(1, core.newest().number - behind));
        const voters = electorate.voters.filter((name) => reached.includes(name));
        if (kind === 'restart') core.restart(reached[0]!, place === 0);
        if (kind === 'replace' && core.replace(reached, place)) counts.replaced += 1;
        if (kind === 'learn') for (const name of reached) core.learn(name);
        if (kind === 'release' && mine) {
          held.delete(holder);
          for (const name of voters) await core.ask(name, electorate, holder, mine.token, true);
        }
        if (kind !== 'ask') continue;
        const looked = await Promise.all(voters.map((name) => core.ask(name, electorate, holder, 0)));
        const floor = Math.max(
          electorate.sequence * fencedLeases.tokensPerSequence,
          ...looked.map(({ token }) => token),
        );
        const token = mine && mine.token >= floor ? mine.token : floor + 1;
        const granted: string[] = [];
        for (const name of voters) if ((await core.ask(name, electorate, holder, token)).granted) granted.push(name);
        if (granted.length * 2 <= electorate.voters.length) continue;
        expect([...held].filter(([name, each]) => name !== holder && now < each.until)).toEqual([]);
        if (token !== own?.token) {
          expect(token).toBeGreaterThan(highest);
          counts.handovers += Number(highest > 0);
          highest = token;
        }
        counts.won += 1;
        counts.afterReplacement += Number(electorate.number > 1);
        held.set(holder, { token, until: now + leaseMs });
      }
    }),
    { seed: 11, numRuns, endOnFailure: true },
  );
  return counts;
};

describe('a lease with a fencing token has one holder at a time, under tokens that rise', () => {
  test('while voters restart, are replaced and learn of it late', async () => {
    const counts = await play('none', 1500);
    expect(counts.won).toBeGreaterThan(2000);
    expect(counts.handovers).toBeGreaterThan(500);
    expect(counts.replaced).toBeGreaterThan(500);
    expect(counts.afterReplacement).toBeGreaterThan(200);
  });

  test.each(['grantsUnderAnyElectorate', 'newcomerGrantsAtOnce', 'forgetsGrants'] as const)(
    'and the check objects where the mechanism is off: %s',
    async (sabotage) => {
      await expect(play(sabotage, 20_000)).rejects.toThrow();
    },
  );
});

/** Records that were lost, or that hold nothing. */
const emptyRecords = (known: LeaseRecords['known']): LeaseRecords => ({
  known,
  keep: () => Promise.resolve(true),
  keepBounds: () => Promise.resolve(true),
});

test('a voter whose records are lost grants nothing before a change of its new life is decided', async () => {
  let now = 0;
  const voter = fencedLeases.make({
    disk: 'd',
    restarted: true,
    leaseMs,
    records: emptyRecords(undefined),
    now: () => now,
    acceptedElectorate: () => 0,
  });
  const ask = (token: number) =>
    voter.request(
      create(FencedLeaseRequestSchema, { disk: 'd', lease: 'l', holder: 'a', token, release: false, electorate: 1 }),
    );
  voter.learnt({ electorate: 1, member: true, sequence: 7 });
  now = 2 * leaseMs;
  expect((await ask(7001)).granted).toBe(false);
  voter.startRecorded(9);
  expect(await ask(8500)).toMatchObject({ granted: false, token: 9000 });
  expect((await ask(9001)).granted).toBe(true);
});

test('a voter that missed an electorate waits a full lease, though it was and is a member', async () => {
  let now = 0;
  const voter = fencedLeases.make({
    disk: 'd',
    restarted: false,
    leaseMs,
    records: undefined,
    now: () => now,
    acceptedElectorate: () => 0,
  });
  const ask = async () =>
    (
      await voter.request(
        create(FencedLeaseRequestSchema, {
          disk: 'd',
          lease: 'l',
          holder: 'a',
          token: 1,
          release: false,
          electorate: 3,
        }),
      )
    ).granted;
  voter.learnt({ electorate: 1, member: true, sequence: 1 });
  now = 10_000;
  voter.learnt({ electorate: 3, member: true, sequence: 5 });
  expect(await ask()).toBe(false);
  now += leaseMs;
  expect(await ask()).toBe(true);
});

describe('a voter that restarted with its records', () => {
  const restarted = () => {
    let now = 0;
    const known = { leases: new Map([['l', { holder: 'front-1#7', token: 3001 }]]), electorate: 2, fenceFloor: 0 };
    const voter = fencedLeases.make({
      disk: 'd',
      restarted: true,
      leaseMs,
      records: emptyRecords(known),
      now: () => now,
      acceptedElectorate: () => 0,
    });
    const ask = (lease: string, holder: string, token: number) =>
      voter.request(
        create(FencedLeaseRequestSchema, { disk: 'd', lease, holder, token, release: false, electorate: 2 }),
      );
    return { voter, ask, pass: (ms: number) => void (now += ms) };
  };
  test('grants a lease at once to the machine that held it, above its former fence', async () => {
    const { voter, ask } = restarted();
    voter.learnt({ electorate: 2, member: true, sequence: 3 });
    expect(await ask('l', 'front-1#9', 3001)).toMatchObject({ granted: false, token: 3001 });
    expect(await ask('l', 'front-1#9', 3002)).toMatchObject({ granted: true });
  });
  test('keeps others from it for a whole lease, and not from leases that nobody held', async () => {
    const { voter, ask, pass } = restarted();
    voter.learnt({ electorate: 2, member: true, sequence: 3 });
    expect(await ask('l', 'front-2#1', 3002)).toMatchObject({ granted: false, holder: 'front-1#7' });
    expect(await ask('other', 'front-2#1', 3002)).toMatchObject({ granted: true });
    pass(leaseMs);
    expect(await ask('l', 'front-2#1', 3002)).toMatchObject({ granted: true });
  });
  test('waits where its records do not tell that it was free to grant under the electorate', async () => {
    const { voter, ask, pass } = restarted();
    voter.learnt({ electorate: 3, member: true, sequence: 4 });
    const request = () =>
      voter.request(
        create(FencedLeaseRequestSchema, {
          disk: 'd',
          lease: 'other',
          holder: 'front-2#1',
          token: 4001,
          release: false,
          electorate: 3,
        }),
      );
    expect((await request()).granted).toBe(false);
    expect((await ask('other', 'front-2#1', 4001)).granted).toBe(false);
    pass(leaseMs);
    expect((await request()).granted).toBe(true);
  });
});

test('a grant that could not be written is not granted to its holder again before it lasts', async () => {
  let writes = false;
  const records: LeaseRecords = {
    known: { leases: new Map(), electorate: 0, fenceFloor: 0 },
    keep: () => Promise.resolve(writes),
    keepBounds: () => Promise.resolve(writes),
  };
  const voter = fencedLeases.make({
    disk: 'd',
    restarted: false,
    leaseMs,
    records,
    now: () => 0,
    acceptedElectorate: () => 0,
  });
  voter.learnt({ electorate: 1, member: true, sequence: 1 });
  const ask = async (): Promise<boolean> => {
    const asked = { disk: 'd', lease: 'l', holder: 'front-1#1', token: 1001, electorate: 1 };
    return (await voter.request(create(FencedLeaseRequestSchema, asked))).granted;
  };
  expect(await ask()).toBe(false);
  expect(await ask()).toBe(false);
  writes = true;
  expect(await ask()).toBe(true);
});
