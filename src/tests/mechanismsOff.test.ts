import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { acceptor } from '../core/acceptor.js';
import { paxos } from '../core/paxos.js';
import { seating } from '../front/seating.js';
import { Disk } from '../shared/disk.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import type { SimFleet } from '../sim/simFleet.js';
import type { World } from '../sim/world.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';

const restore: Array<() => void> = [];
afterEach(() => {
  for (const each of restore.splice(0)) each();
});

/** Switches a mechanism off until the test's end. */
const off = <T extends object, K extends keyof T>(part: T, name: K, without: T[K]): void => {
  const before = part[name];
  restore.push(() => {
    part[name] = before;
  });
  part[name] = without;
};
const rulesOf = (day: { readonly violations: ReadonlyArray<{ readonly rule: string }> }): ReadonlyArray<string> => [...new Set(day.violations.map((each) => each.rule))];
const every = (world: World, ms: number, act: () => void): void => {
  const again = (): void => {
    act();
    world.after(ms, again);
  };
  world.after(ms, again);
};

/** Freezes each front for 7 s, one after another, and wakes it. */
const freezing = (world: World, fleet: SimFleet): void => {
  let place = 0;
  const fronts = [...fleet.machines.values()].filter((machine) => machine.role === 'front');
  every(world, 3500, () => {
    const machine = fronts[(place += 1) % fronts.length]!;
    machine.process.freeze();
    world.after(7000, () => machine.process.thaw(false));
  });
};
const blindClock = (_: World, fleet: SimFleet): void => {
  for (const machine of fleet.machines.values()) if (machine.role === 'front') (machine.process.time as { held: () => number }).held = () => 0;
};

describe('a frozen front', () => {
  const frozen = { workMs: 16_000 };
  test('breaks nothing', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 211, ...frozen, script: freezing }))).toEqual([]);
  });
  test('serves what is outdated when no lease is held against the clock', () => {
    const day = brokenOnPurpose({ seed: 211, ...frozen, script: (world, fleet) => {
      freezing(world, fleet);
      blindClock(world, fleet);
    } });
    expect(rulesOf(day).length).toBeGreaterThan(0);
  });
});

describe('versions', () => {
  test('are kept to while weights go out', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 221, workMs: 12_000 }))).toEqual([]);
  });
  test('mix when seating does not look at them', () => {
    const plan = seating.plan;
    off(seating, 'versionFits', () => true);
    off(seating, 'plan', (state, rules, now) => plan({ ...state, items: new Map([...state.items].map(([key, item]) => [key, { ...item, minVersion: 0, singleVersion: false }])) }, rules, now));
    expect(rulesOf(brokenOnPurpose({ seed: 221, workMs: 12_000 }))).toContain('a text keeps to its versions');
  });
  test('leave stale prefills behind when a held prefix is taken at its word', () => {
    const plan = seating.plan;
    off(seating, 'plan', (state, rules, now) => {
      const [after, decisions] = plan(state, rules, now);
      return [after, decisions.map((each) => ({ ...each, held: state.items.get(each.item)?.sampler === each.sampler }))];
    });
    const days = [222, 223, 224].map((seed) => brokenOnPurpose({ seed, workMs: 12_000 }));
    expect(days.flatMap(rulesOf)).toContain('no cached prefill of another version');
  });
});

describe('once-only requests', () => {
  const impatient = { workMs: 8000, only: ['sampler truncates' as const, 'sampler slow' as const], meanFaultMs: 300 };
  test('run once', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 231, ...impatient }))).toEqual([]);
  });
  test('run twice when every claim is granted', () => {
    const decide = paxos.decide;
    off(paxos, 'decide', (options) => (options.value !== undefined && Buffer.from(options.value).includes('"attempt"')
      ? Effect.succeed({ value: options.value, ballot: acceptor.fresh('').promised!, votes: [], lacking: 0 }) : decide(options)));
    expect(rulesOf(brokenOnPurpose({ seed: 231, ...impatient }))).toContain('once-only runs once');
  });
});

describe('disks', () => {
  const powerless = { workMs: 9000, lastFault: true, settleMs: 25_000 };
  test('keep what was acknowledged when all lose their power at once', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 241, ...powerless }))).toEqual([]);
  });
  test('lose it when nothing is synced', () => {
    off(sealedFiles, 'write', (folder, name, body) => Effect.gen(function* () {
      const disk = yield* Disk;
      yield* disk.write(`${folder}/${name}`, sealedFiles.seal(body));
    }));
    expect(rulesOf(brokenOnPurpose({ seed: 241, ...powerless })).length).toBeGreaterThan(0);
  });
});

describe('operators who race', () => {
  test('never both win, nor does a loser take effect', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 251, workMs: 10_000, only: ['core cut', 'kill', 'one-way cut'], meanFaultMs: 600 }))).toEqual([]);
  });
  test('do when a voter forgets what it promised', () => {
    off(acceptor, 'prepare', ((prepare) => (record, ballot) => {
      const step = prepare({ ...record, promised: undefined, accepted: undefined, value: new Uint8Array() }, ballot);
      return { ...step, record: { ...step.record, value: new Uint8Array() } };
    })(acceptor.prepare));
    const days = [251, 252].map((seed) => brokenOnPurpose({ seed, workMs: 10_000 }));
    expect(days.flatMap(rulesOf).length).toBeGreaterThan(0);
  });
});
