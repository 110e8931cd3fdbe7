import { fleetCheckers } from '../sim/fleet/fleetCheckers.js';
import type { Observation } from '../sim/fleet/observations.js';
import { streamChecks } from './streamChecks.js';
import { resources, type ResourceSample } from './resources.js';

/** A promise that was broken; `timed` where the verdict rests on how fast this machine is. */
export type SoakFinding = { readonly rule: string; readonly what: string; readonly timed: boolean };

/** What a run left to be judged. */
export type SoakOutcome = {
  /** Whether there was time enough for all work to end. */
  readonly whole: boolean;
  readonly seen: ReadonlyArray<Observation>;
  readonly history: ReadonlyArray<string>;
  readonly healedAt: number;
  readonly final: number | undefined;
  readonly exits: ReadonlyArray<string>;
  readonly overstayed: ReadonlyArray<string>;
  /** Requests that got no answer on an open connection, at fronts in touch. */
  readonly silences: ReadonlyArray<string>;
  /** Acknowledged changes that were not in force in time at fronts in touch. */
  readonly lateChanges: ReadonlyArray<string>;
  readonly samples: ReadonlyArray<ResourceSample>;
};

/** The stated bounds of recovery: a quarter is served after the first, all but a few after the second. */
const recoverMs = 12_000;
const recoverLeast = 0.25;
const wholeMs = 16_000;
const wholeLeast = 0.98;
/** This many requests in a row of which most are served count as service. */
const windowSize = 10;
const windowServed = 8;

const timedRules = new Set([
  'nothing reaches a sampler that left',
  'items of an ended batch do not begin',
  'holders take no turns within a lease',
]);

type Asked = Extract<Observation, { kind: 'asked' }>;
const askedFrom = (seen: ReadonlyArray<Observation>, from: number): ReadonlyArray<Asked> =>
  fleetCheckers
    .proper(seen)
    .filter((each) => each.sentAt >= from)
    .sort((one, other) => one.sentAt - other.sentAt);
const servedOf = (asked: ReadonlyArray<Asked>): number => asked.filter((each) => each.status === 200).length;

const recovery = (seen: ReadonlyArray<Observation>, healedAt: number): ReadonlyArray<SoakFinding> => {
  const judge = (afterMs: number, least: number): ReadonlyArray<SoakFinding> => {
    const late = askedFrom(seen, healedAt + afterMs);
    const good = servedOf(late);
    if (late.length === 0 || good >= least * late.length) return [];
    const what = `${afterMs / 1000} s after the machines were back, ${good} of ${late.length} requests were served`;
    return [{ rule: 'service is back in time', what, timed: true }];
  };
  return [...judge(recoverMs, recoverLeast), ...judge(wholeMs, wholeLeast)];
};
/** A fleet that serves nothing at all at the end is stuck, however slow the machine is. */
const stuck = (seen: ReadonlyArray<Observation>, healedAt: number): ReadonlyArray<SoakFinding> => {
  const late = askedFrom(seen, healedAt + recoverMs);
  if (late.length === 0 || servedOf(late) > 0) return [];
  return [{ rule: 'a fleet that was healed serves again', what: `0 of ${late.length} requests`, timed: false }];
};

const findings = (outcome: SoakOutcome): ReadonlyArray<SoakFinding> => {
  const { seen, healedAt } = outcome;
  const untimed = (rule: string, list: ReadonlyArray<string>): ReadonlyArray<SoakFinding> =>
    list.map((what) => ({ rule, what, timed: false }));
  return [
    ...fleetCheckers.all(seen, outcome.whole).map((each) => ({ ...each, timed: timedRules.has(each.rule) })),
    ...streamChecks.violations(seen).map((each) => ({ ...each, timed: false })),
    ...untimed('processes do not end by themselves', outcome.exits),
    ...outcome.overstayed.map((what) => ({ rule: 'a process ends within its grace', what, timed: true })),
    ...outcome.silences.map((what) => ({ rule: 'a request ends with an answer or a reset', what, timed: true })),
    ...outcome.lateChanges.map((what) => ({ rule: 'a change is in force in time', what, timed: true })),
    ...stuck(seen, healedAt),
    ...recovery(seen, healedAt),
    ...(outcome.final === undefined ? untimed('the newest version can be read', ['no core told it']) : []),
    ...resources.growths(outcome.samples).map(({ name, what, perMinute }) => ({
      rule: 'no process grows without end',
      what: `${name}: ${what} by ${perMinute.toFixed(0)} a minute`,
      timed: false,
    })),
  ];
};

/** When service was there again after each blow to every process: from the blow to the first good window. */
const recoveries = (
  seen: ReadonlyArray<Observation>,
  history: ReadonlyArray<string>,
  healedAt: number,
): ReadonlyArray<number> => {
  const blows = history.filter((line) => line.endsWith('every process')).map((line) => Number.parseFloat(line) * 1000);
  return [...blows, healedAt].flatMap((from) => {
    const asked = askedFrom(seen, from);
    for (let at = 0; at + windowSize <= asked.length; at += 1)
      if (servedOf(asked.slice(at, at + windowSize)) >= windowServed) return [asked[at]!.sentAt - from];
    return [];
  });
};

const counts = (seen: ReadonlyArray<Observation>, history: ReadonlyArray<string>): Record<string, number> => {
  const asked = fleetCheckers.proper(seen);
  return {
    requests: asked.length,
    served: servedOf(asked),
    quit: fleetCheckers.of(seen, 'quit').length,
    streams: fleetCheckers.of(seen, 'streamed').length,
    wholeStreams: fleetCheckers.of(seen, 'streamed').filter(({ status }) => status === 200).length,
    changes: fleetCheckers.of(seen, 'declared').filter((each) => each.status === 200).length,
    batches: fleetCheckers.of(seen, 'batchTaken').length,
    ended: fleetCheckers.of(seen, 'batchEnded').length,
    reads: fleetCheckers.of(seen, 'results').length,
    faults: history.length,
  };
};

/** The most that all processes held at one time. */
const peakMemoryMb = (samples: ReadonlyArray<ResourceSample>): number => {
  const totals = new Map<number, number>();
  for (const { at, memoryMb } of samples) {
    totals.set(at, (totals.get(at) ?? 0) + memoryMb);
  }
  return Math.max(0, ...totals.values());
};

const progress = (seed: number, now: number, seen: ReadonlyArray<Observation>): string => {
  const { requests, served, batches, changes } = counts(seen, []);
  const at = (now / 1000).toFixed(0);
  return `seed ${seed}, ${at} s: ${served} of ${requests} requests served, ${batches} batches, ${changes} changes`;
};

/** The verdict over a soak. */
export const soakChecks = { findings, recoveries, counts, peakMemoryMb, progress };
