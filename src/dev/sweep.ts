import { readFileSync, writeFileSync } from 'node:fs';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import type { FaultKind } from '../sim/faultActs.js';
import { runDay, type Day } from '../sim/day.js';
import type { Deployment } from './deployment.js';

type Told = {
  readonly seed: number;
  readonly violations: Day['violations'];
  readonly checked: Day['checked'];
  readonly faults: Day['faults'];
  readonly history: Day['history'];
  readonly virtualMs: number;
  readonly realMs: number;
  /** How many of the seed's faults are enough, where the day failed. */
  readonly enough?: number;
};

const flag = (name: string, fallback: string): string => {
  const place = process.argv.indexOf(`--${name}`);
  return place < 0 ? fallback : (process.argv[place + 1] ?? fallback);
};
const given = JSON.parse(readFileSync(flag('deployment', 'settings/small.json'), 'utf8')) as Deployment;
const only = flag('only', '');
const trace = flag('trace', '');

const day = (seed: number, mostFaults: number | undefined): Day =>
  runDay({
    seed,
    given,
    workMs: Number(flag('work', '12000')),
    settleMs: Number(flag('settle', '30000')),
    meanFaultMs: Number(flag('mean', '900')),
    ...(mostFaults === undefined ? {} : { mostFaults }),
    ...(only === ''
      ? {}
      : only === 'none'
        ? { only: [], lastFault: false }
        : { only: only.split(',') as ReadonlyArray<FaultKind> }),
  });

/** The fewest of a seed's faults, counted from its first, after which the same rule is broken. */
const shortest = (seed: number, rule: string, most: number): number => {
  let [low, high] = [0, most];
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (day(seed, middle).violations.some((each) => each.rule === rule)) high = middle;
    else low = middle + 1;
  }
  return high;
};

const run = (seed: number): Told => {
  const start = Date.now();
  const most = flag('faults', '');
  const found = day(seed, most === '' ? undefined : Number(most));
  const { violations, checked, faults, history } = found;
  if (trace !== '') {
    const seen = found.seen.map((each) => `seen=${JSON.stringify(each)}`);
    const sights = found.fleet.sights.map((each) => `sight=${JSON.stringify(each)}`);
    writeFileSync(trace, [...found.fleet.lines, ...seen, ...sights].join('\n'));
  }
  const told = { seed, violations, checked, faults, history, virtualMs: found.world.now(), realMs: Date.now() - start };
  if (violations.length === 0 || most !== '' || flag('shorten', 'no') !== 'yes') return told;
  return { ...told, enough: shortest(seed, violations[0]!.rule, history.length) };
};

const main = (): void => {
  const [first, last] = [Number(flag('from', '1')), Number(flag('to', '10'))];
  const limitMs = Number(flag('limit', '900')) * 1000;
  const totals = {
    seeds: 0,
    faults: {} as Record<string, number>,
    checked: {} as Record<string, number>,
    failed: [] as number[],
    virtualMs: 0,
    realMs: 0,
  };
  const say = (line: string): void => void process.stdout.write(`${line}\n`);
  const take = (told: Told): void => {
    totals.seeds += 1;
    totals.virtualMs += told.virtualMs;
    totals.realMs += told.realMs;
    for (const [kind, count] of Object.entries(told.faults)) totals.faults[kind] = (totals.faults[kind] ?? 0) + count;
    for (const [rule, count] of Object.entries(told.checked))
      totals.checked[rule] = (totals.checked[rule] ?? 0) + count;
    if (told.violations.length === 0) {
      say(`seed ${told.seed} clean: ${told.history.length} faults, ${told.realMs} ms`);
      return;
    }
    totals.failed.push(told.seed);
    say(`seed ${told.seed} FAILED after ${told.history.length} faults, ${told.enough ?? 'not shortened to'} enough:`);
    for (const each of told.violations.slice(0, 8)) say(`  ${each.rule}: ${each.what}`);
    for (const line of told.history.slice(0, told.enough)) say(`    ${line}`);
    say(`  again: npm run sweep -- ${process.argv.slice(2).join(' ')} --from ${told.seed} --to ${told.seed}`);
  };
  let next = first;
  let busy = 0;
  const finish = (): void => {
    say(JSON.stringify(totals));
    process.exit(totals.failed.length > 0 ? 1 : 0);
  };
  const start = (): void => {
    const worker = new Worker(new URL(import.meta.url), {
      workerData: { seeds: true },
      argv: process.argv.slice(2),
      resourceLimits: { maxOldGenerationSizeMb: 2000 },
    });
    busy += 1;
    let seed = 0;
    let limit: NodeJS.Timeout | undefined;
    const over = (): void => {
      clearTimeout(limit);
      busy -= 1;
      if (next <= last) start();
      else if (busy === 0) finish();
    };
    const give = (): void => {
      clearTimeout(limit);
      if (next > last) return void worker.terminate();
      seed = next;
      next += 1;
      limit = setTimeout(() => {
        say(`seed ${seed} FAILED: did not end in ${limitMs / 1000} s`);
        totals.failed.push(seed);
        void worker.terminate();
      }, limitMs);
      worker.postMessage(seed);
    };
    worker.on('message', (told: Told) => {
      take(told);
      give();
    });
    worker.on('error', (cause) => {
      say(`seed ${seed} FAILED: ${cause.message}`);
      totals.failed.push(seed);
    });
    worker.on('exit', over);
    give();
  };
  for (let job = 0; job < Math.min(Number(flag('jobs', '1')), last - first + 1); job += 1) start();
};

if (isMainThread || (workerData as { seeds?: boolean } | undefined)?.seeds !== true) main();
else parentPort!.on('message', (seed: number) => parentPort!.postMessage(run(seed)));
