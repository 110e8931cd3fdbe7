import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { makeFleetClients } from '../sim/fleet/fleetClients.js';
import { makeFleetFaults, type FleetFaults } from '../sim/fleet/fleetFaults.js';
import type { Observation } from '../sim/fleet/observations.js';
import { changeProber } from './changeProber.js';
import { makeRealWorld } from './realWorld.js';
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
/** The longest that work is prolonged for `workUntil`. */
const prolongedMostMs = 180_000;
const prolongedPollMs = 500;
const readFinalMs = 30_000;
const sampleEveryMs = 500;
const progressEveryMs = 5000;
const callers = 4;
const quitters = 2;
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
  const given = { world, fleet, saw, until: options.until, acknowledged };
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
      extra.reader();
      extra.reader();
      changeProber.start({ world, fleet, seen: run.seen, over: allOver, inTouch: run.inTouch, late: run.late });
    },
  };
};

type SoakState = {
  readonly world: ReturnType<typeof makeRealWorld>;
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

/** Runs one seed: boot, work under trouble, a closing blow to every process, rest, and a last read. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const { seed, folder, progress = () => undefined, restMs = settleMs } = options;
  mkdirSync(folder, { recursive: true });
  const world = makeRealWorld(seed);
  const seen: Observation[] = [];
  const samples: ResourceSample[] = [];
  const timeline: string[] = [];
  const note = (line: string): void => void timeline.push(`${(world.now() / 1000).toFixed(3)} ${line}`);
  const overstayed: string[] = [];
  const waiting: { faults?: FleetFaults } = {};
  const inTouch = (): boolean => fleet.of('front').every((front) => waiting.faults?.inTouch(front.name) ?? true);
  const saw = (observation: Observation): void => {
    seen.push(observation);
    if (observation.kind !== 'asked' || !observation.silent || !inTouch()) return;
    if (observation.at - observation.sentAt < heldUpMs) silences.push(observation.attempt);
  };
  const silences: string[] = [];
  const lateChanges: string[] = [];
  const fleet = await startSoakFleet({
    world,
    size: options.size,
    folder,
    saw,
    calm: () => waiting.faults?.calm() ?? true,
    inTouch,
    sabotage: options.sabotage ?? {},
    events: {
      exitedByItself: (name, how) => note(`${name} ended by itself: ${how}`),
      overstayed: (name) => overstayed.push(name),
      notice: (name, what) => note(`${name}: ${what}`),
    },
  });
  const timers = [
    setInterval(() => {
      const at = world.now();
      for (const machine of fleet.machines) {
        const used = resources.sample(machine, at);
        if (used) samples.push(used);
      }
    }, sampleEveryMs),
    setInterval(() => progress(soakChecks.progress(seed, world.now(), seen)), progressEveryMs),
  ];
  try {
    const run: SoakState = {
      world,
      fleet,
      seen,
      saw,
      faults: () => waiting.faults,
      inTouch,
      late: (what) => void lateChanges.push(what),
    };
    let [workOver, allOver] = [false, false];
    let workEnd = Infinity;
    const { workUntil = () => true } = options;
    const until = bootMostMs + options.workMs + prolongedMostMs + restMs;
    const clients = startClients({ run, workOver: () => workOver, allOver: () => allOver, until });
    await booted(run);
    const began = world.now();
    workEnd = began + options.workMs;
    clients.begin();
    const faults = makeFleetFaults(world, fleet, () => [], {
      from: began + 500,
      until: workEnd - 1500,
      meanMs: options.meanFaultMs,
      only: soakFaults.simulatedKinds,
      extra: soakFaults.make(world, () => fleet, options.processesMost),
    });
    waiting.faults = faults;
    await world.sleep(options.workMs);
    while (!workUntil(seen) && world.now() < workEnd + prolongedMostMs) await world.sleep(prolongedPollMs);
    workOver = true;
    faults.close('killAll');
    await world.sleep(1000);
    faults.heal();
    const healedAt = world.now();
    note('every machine is back');
    await world.sleep(restMs);
    const final = await clients.working.readFinal(world.now() + readFinalMs);
    allOver = true;
    const outcome = {
      whole: restMs >= wholeRestMs,
      seen,
      history: faults.history,
      healedAt,
      final,
      exits: fleet.exits,
      overstayed,
      silences,
      lateChanges,
      samples,
    };
    const findings = soakChecks.findings(outcome);
    const lines = [...timeline, ...faults.history].sort(
      (one, other) => Number.parseFloat(one) - Number.parseFloat(other),
    );
    writeFileSync(join(folder, 'timeline.txt'), `${lines.join('\n')}\n`);
    writeFileSync(join(folder, 'seen.jsonl'), seen.map((each) => `${JSON.stringify(each)}\n`).join(''));
    writeFileSync(join(folder, 'findings.txt'), findings.map((each) => `${each.rule}: ${each.what}\n`).join(''));
    return {
      seed,
      findings,
      counts: soakChecks.counts(seen, faults.history),
      recoveriesMs: soakChecks.recoveries(seen, faults.history, healedAt),
      peakMemoryMb: soakChecks.peakMemoryMb(samples),
      processes: fleet.machines.length,
      history: faults.history,
      seen,
    };
  } finally {
    for (const timer of timers) clearInterval(timer);
    world.close();
    await fleet.end();
  }
};
