import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { commandFlag } from './commandFlag.js';

/** What came of a simulated day. */
export type PlayedDay = {
  readonly violations: ReadonlyArray<{ readonly rule: string; readonly what: string }>;
  readonly history: ReadonlyArray<string>;
  /** Figures that are summed over the days. */
  readonly counts: Readonly<Record<string, number>>;
  readonly virtualMs: number;
};

/** Plays the day of a seed, with at most so many of its faults. */
export type PlayDay = (seed: number, mostFaults: number | undefined) => PlayedDay | Promise<PlayedDay>;

type Told = PlayedDay & {
  readonly seed: number;
  readonly realMs: number;
  /** How many of the seed's faults are enough, where the day failed. */
  readonly enough?: number;
};

const violationsShown = 8;
const say = (line: string): void => void process.stdout.write(`${line}\n`);

/** The fewest of a seed's faults, counted from its first, after which the same rule is broken. */
const shortest = async (play: PlayDay, seed: number, rule: string, most: number): Promise<number> => {
  let [low, high] = [0, most];
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((await play(seed, middle)).violations.some((each) => each.rule === rule)) high = middle;
    else low = middle + 1;
  }
  return high;
};

const playSeed = async (play: PlayDay, seed: number): Promise<Told> => {
  const start = Date.now();
  const most = commandFlag('faults', '');
  const { violations, history, counts, virtualMs } = await play(seed, most === '' ? undefined : Number(most));
  const told = { seed, violations, history, counts, virtualMs, realMs: Date.now() - start };
  if (violations.length === 0 || most !== '' || commandFlag('shorten', 'no') !== 'yes') return told;
  return { ...told, enough: await shortest(play, seed, violations[0]!.rule, history.length) };
};

const sayFailed = (told: Told, command: string): void => {
  say(`seed ${told.seed} FAILED after ${told.history.length} faults, ${told.enough ?? 'not shortened to'} enough:`);
  for (const each of told.violations.slice(0, violationsShown)) say(`  ${each.rule}: ${each.what}`);
  for (const line of told.history.slice(0, told.enough)) say(`    ${line}`);
  say(`  again: ${command} -- ${process.argv.slice(2).join(' ')} --from ${told.seed} --to ${told.seed}`);
};

const main = (url: string, command: string): void => {
  const [first, last] = [Number(commandFlag('from', '1')), Number(commandFlag('to', '10'))];
  const limitMs = Number(commandFlag('limit', '900')) * 1000;
  const totals = { days: 0, faults: 0, counts: {} as Record<string, number>, failed: [] as number[], virtualMs: 0 };
  let realMs = 0;
  const take = (told: Told): void => {
    totals.days += 1;
    totals.faults += told.history.length;
    totals.virtualMs += told.virtualMs;
    realMs += told.realMs;
    for (const [name, count] of Object.entries(told.counts)) totals.counts[name] = (totals.counts[name] ?? 0) + count;
    if (told.violations.length === 0)
      return say(`seed ${told.seed} clean: ${told.history.length} faults, ${told.realMs} ms`);
    totals.failed.push(told.seed);
    sayFailed(told, command);
  };
  let next = first;
  let busy = 0;
  const finish = (): void => {
    const perMinute = (count: number): number => Math.round((count * 600_000) / Math.max(1, realMs)) / 10;
    const rates = { daysAMinuteOfOneCore: perMinute(totals.days), faultsAMinuteOfOneCore: perMinute(totals.faults) };
    say(JSON.stringify({ ...totals, ...rates }));
    process.exit(totals.failed.length > 0 ? 1 : 0);
  };
  const start = (): void => {
    const worker = new Worker(new URL(url), {
      workerData: { seeds: true },
      argv: process.argv.slice(2),
      resourceLimits: { maxOldGenerationSizeMb: 2000 },
    });
    busy += 1;
    let seed = 0;
    let limit: NodeJS.Timeout | undefined;
    const failed = (reason: string): void => {
      say(`seed ${seed} FAILED: ${reason}`);
      totals.failed.push(seed);
    };
    const give = (): void => {
      clearTimeout(limit);
      if (next > last) return void worker.terminate();
      seed = next;
      next += 1;
      limit = setTimeout(() => {
        failed(`did not end in ${limitMs / 1000} s`);
        void worker.terminate();
      }, limitMs);
      worker.postMessage(seed);
    };
    worker.on('message', (told: Told) => {
      take(told);
      give();
    });
    worker.on('error', (cause) => failed(cause.message));
    worker.on('exit', () => {
      clearTimeout(limit);
      busy -= 1;
      if (next <= last) start();
      else if (busy === 0) finish();
    });
    give();
  };
  const jobs = Math.min(Number(commandFlag('jobs', '1')), last - first + 1);
  for (let job = 0; job < jobs; job += 1) start();
};

/**
 * Plays the days of seeds `--from` to `--to` in `--jobs` workers and tells what failed. To be called at the end of a
 * module that is a command: the workers run that module again.
 */
export const seedSweep = (url: string, command: string, play: PlayDay): void => {
  if (isMainThread || (workerData as { seeds?: boolean } | undefined)?.seeds !== true) return main(url, command);
  parentPort!.on('message', (seed: number) => {
    void playSeed(play, seed).then((told) => parentPort!.postMessage(told));
  });
};
