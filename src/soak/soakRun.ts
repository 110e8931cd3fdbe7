import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { makeFleetClients } from '../sim/fleet/fleetClients.js';
import { makeFleetFaults, type FleetFaults } from '../sim/fleet/fleetFaults.js';
import type { Observation } from '../sim/fleet/observations.js';
import { changeProber } from './changeProber.js';
import { makeRealWorld, type RealWorld } from './realWorld.js';
import { resources, type ResourceSample } from './resources.js';
import { soakChecks, type SoakFinding } from './soakChecks.js';
import { makeSoakClients } from './soakClients.js';
import { soakFaults } from './soakFaults.js';
import { startSoakFleet, type SoakFleet, type SoakSabotage, type SoakSize } from './soakFleet.js';

/** A soak of one seed. */
export type SoakOptions = {
  readonly seed: number;
  readonly size: SoakSize;
  /** How long there is work under trouble, in milliseconds. */
  readonly workMs: number;
  readonly meanFaultMs: number;
  /** How long the fleet may rest after the closing blow, in milliseconds. */
  readonly restMs?: number;
  /** Work goes on, within a stated time, until this holds of what was seen. */
  readonly workUntil?: (seen: ReadonlyArray<Observation>) => boolean;
  /** The rest goes on, within a stated time, until this holds of what was seen. */
  readonly restUntil?: (seen: ReadonlyArray<Observation>) => boolean;
  /** Where data folders, logs and the timeline of a failure go. */
  readonly folder: string;
  readonly processesMost: number;
  readonly sabotage?: SoakSabotage;
  readonly progress?: (line: string) => void;
};

/** What came of it. */
export type SoakResult = {
  readonly seed: number;
  readonly findings: ReadonlyArray<SoakFinding>;
  readonly counts: Readonly<Record<string, number>>;
  /** How long after each return of all machines requests were served again, in milliseconds. */
  readonly recoveriesMs: ReadonlyArray<number>;
  readonly peakMemoryMb: number;
  readonly processes: number;
  readonly history: ReadonlyArray<string>;
  readonly seen: ReadonlyArray<Observation>;
};

const bootMostMs = 30_000;
const bootPollMs = 100;
/** A caller whose own timer came this late was held up itself, with the samplers beside it. */
const heldUpMs = 3300;
const settleMs = 22_000;
/** With a shorter rest not all work can end. */
const wholeRestMs = 15_000;
/** The longest that work is prolonged for `workUntil`, and the rest for `restUntil`. */
const prolongedMostMs = 180_000;
const prolongedPollMs = 500;
const readFinalMs = 30_000;
/** Trouble begins so long after the work, and the last of it so long before its end. */
const calmAtBeginMs = 500;
const calmBeforeEndMs = 1500;
const closingDownMs = 1000;
const sampleEveryMs = 500;
const progressEveryMs = 5000;
const callers = 4;
const quitters = 2;
const streamers = 4;
const trainers = 3;
const operators = 2;
/** Batches stay readable for this long after they were handed in; those older are looked at no more. */
const keptMs = 115_000;

/** Starts every client; answers those that work until the work is over and those that ask until the end. */
const startClients = (options: {
  readonly run: SoakState;
  readonly workOver: () => boolean;
  readonly allOver: () => boolean;
  readonly until: number;
}) => {
  const { run, workOver, allOver } = options;
  const { world, fleet, saw } = run;
  const acknowledged = (address: string): void => run.faults()?.acknowledged(address);
  const given = { world, fleet, saw, until: options.until, acknowledged, marks: [] };
  const working = makeFleetClients({ ...given, over: workOver });
  const asking = makeFleetClients({ ...given, over: allOver });
  const extra = makeSoakClients({
    world,
    fleet: () => fleet,
    seen: run.seen,
    saw,
    over: allOver,
    keptMs,
  });
  for (let nth = 1; nth <= operators; nth += 1) working.operator(`operator-${nth}`);
  return {
    working,
    begin: () => {
      for (let nth = 1; nth <= trainers; nth += 1) working.trainer(`trainer-${nth}`);
      for (let nth = 1; nth <= callers; nth += 1) asking.caller(`caller-${nth}`);
      for (let nth = 1; nth <= quitters; nth += 1) extra.quitter(`quitter-${nth}`);
      for (let nth = 1; nth <= streamers; nth += 1) extra.streamer(`streamer-${nth}`);
      extra.reader();
      extra.reader();
      changeProber.start({ world, fleet, seen: run.seen, over: allOver, inTouch: run.inTouch, late: run.late });
    },
  };
};

type SoakState = {
  readonly world: RealWorld;
  readonly fleet: SoakFleet;
  readonly seen: Observation[];
  readonly saw: (observation: Observation) => void;
  readonly faults: () => FleetFaults | undefined;
  readonly inTouch: () => boolean;
  readonly late: (what: string) => void;
};

/** Waits until a caller is served. */
const booted = async (run: SoakState): Promise<void> => {
  const accepted = (): boolean => run.seen.some((each) => each.kind === 'declared' && each.status === 200);
  const until = run.world.now() + bootMostMs;
  while (!accepted() && run.world.now() < until) await run.world.sleep(bootPollMs);
};

/** What a run notes beside the observations of its clients. */
const makeNotes = (world: RealWorld) => {
  const lines: string[] = [];
  return {
    overstayed: [] as string[],
    silences: [] as string[],
    lateChanges: [] as string[],
    samples: [] as ResourceSample[],
    line: (text: string): void => void lines.push(`${(world.now() / 1000).toFixed(3)} ${text}`),
    /** What was noted and what befell the fleet, in order of time. */
    timeline: (history: ReadonlyArray<string>): ReadonlyArray<string> =>
      [...lines, ...history].sort((one, other) => Number.parseFloat(one) - Number.parseFloat(other)),
  };
};
type Notes = ReturnType<typeof makeNotes>;

/** Samples what processes use and reports progress; answers how to leave off. */
const watch = (options: SoakOptions, { world, fleet, seen }: SoakState, { samples }: Notes): (() => void) => {
  const sample = (): void => {
    const at = world.now();
    for (const machine of fleet.machines) {
      const used = resources.sample(machine, at);
      if (used) samples.push(used);
    }
  };
  const report = (): void => options.progress?.(soakChecks.progress(options.seed, world.now(), seen));
  const timers = [setInterval(sample, sampleEveryMs), setInterval(report, progressEveryMs)];
  return () => timers.forEach((timer) => clearInterval(timer));
};

/** Waits within the stated time until a condition holds of what was seen. */
const prolong = async ({ world, seen }: SoakState, condition: SoakOptions['workUntil']): Promise<void> => {
  const until = world.now() + prolongedMostMs;
  while (condition && !condition(seen) && world.now() < until) await world.sleep(prolongedPollMs);
};

/** Lets the clients work under trouble. */
const work = async (options: SoakOptions, run: SoakState, faultsBegin: (until: number) => void): Promise<void> => {
  const { workMs, workUntil } = options;
  faultsBegin(run.world.now() + workMs - calmBeforeEndMs);
  await run.world.sleep(workMs);
  await prolong(run, workUntil);
};

/** Kills every process and starts them again; answers when all machines are back. */
const strikeAll = async ({ world, faults }: SoakState): Promise<number> => {
  faults()?.close('killAll');
  await world.sleep(closingDownMs);
  faults()?.heal();
  return world.now();
};

const writeRecords = (folder: string, records: Readonly<Record<string, ReadonlyArray<string>>>): void => {
  for (const [name, lines] of Object.entries(records))
    writeFileSync(join(folder, name), lines.map((line) => `${line}\n`).join(''));
};

/** Runs one seed: boot, work under trouble, a closing blow to every process, rest, and a last read. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, folder, restMs = settleMs } = options;
  mkdirSync(folder, { recursive: true });
  const world = makeRealWorld(seed);
  const seen: Observation[] = [];
  const notes = makeNotes(world);
  const begun: { faults?: FleetFaults } = {};
  const inTouch = (): boolean => fleet.of('front').every((front) => begun.faults?.inTouch(front.name) ?? true);
  const saw = (observation: Observation): void => {
    seen.push(observation);
    if (observation.kind !== 'asked' || !observation.silent || !inTouch()) return;
    if (observation.at - observation.sentAt < heldUpMs) notes.silences.push(observation.attempt);
  };
  const fleet = await startSoakFleet({
    world,
    size: options.size,
    folder,
    saw,
    calm: () => begun.faults?.calm() ?? true,
    inTouch,
    sabotage: options.sabotage ?? {},
    events: {
      exitedByItself: (name, how) => notes.line(`${name} ended by itself: ${how}`),
      overstayed: (name) => notes.overstayed.push(name),
      notice: (name, what) => notes.line(`${name}: ${what}`),
      signalled: () => undefined,
    },
  });
  const late = (what: string): void => void notes.lateChanges.push(what);
  const run: SoakState = { world, fleet, seen, saw, faults: () => begun.faults, inTouch, late };
  const stopWatching = watch(options, run, notes);
  try {
    let [workOver, allOver] = [false, false];
    const until = bootMostMs + options.workMs + restMs + 2 * prolongedMostMs;
    const clients = startClients({ run, workOver: () => workOver, allOver: () => allOver, until });
    await booted(run);
    clients.begin();
    await work(options, run, (faultsEnd) => {
      begun.faults = makeFleetFaults(world, fleet, () => [], {
        from: world.now() + calmAtBeginMs,
        until: faultsEnd,
        meanMs: options.meanFaultMs,
        only: soakFaults.simulatedKinds,
        extra: soakFaults.make(world, () => fleet, options.processesMost),
      });
    });
    workOver = true;
    const healedAt = await strikeAll(run);
    notes.line('every machine is back');
    await world.sleep(restMs);
    await prolong(run, options.restUntil);
    const final = await clients.working.readFinal(world.now() + readFinalMs);
    allOver = true;
    const history = begun.faults!.history;
    const whole = restMs >= wholeRestMs;
    const findings = soakChecks.findings({ ...notes, whole, seen, history, healedAt, final, exits: fleet.exits });
    writeRecords(folder, {
      'timeline.txt': notes.timeline(history),
      'seen.jsonl': seen.map((each) => JSON.stringify(each)),
      'findings.txt': findings.map((each) => `${each.rule}: ${each.what}`),
    });
    return {
      seed,
      findings,
      counts: soakChecks.counts(seen, history),
      recoveriesMs: soakChecks.recoveries(seen, history, healedAt),
      peakMemoryMb: soakChecks.peakMemoryMb(notes.samples),
      processes: fleet.machines.length,
      history,
      seen,
    };
  } finally {
    stopWatching();
    world.close();
    await fleet.end();
  }
};
