import { accessSync, constants, existsSync, mkdirSync, readFileSync } from 'node:fs';
import { freemem, totalmem } from 'node:os';
import { parseArgs } from 'node:util';
import { Result } from 'true-myth';
import * as yup from 'yup';
import type { SoakSize } from './soakFleet.js';

/** What a soak is asked to do. */
export type SoakArguments = {
  readonly firstSeed: number;
  readonly lastSeed: number;
  readonly workMs: number;
  readonly size: SoakSize;
  readonly meanFaultMs: number;
  readonly processesMost: number;
  /** Where a failing seed's logs are kept; undefined for a folder that is taken away. */
  readonly keep: string | undefined;
  /** Where the plot of the last seed goes. */
  readonly plot: string | undefined;
};

const flags = {
  seeds: { type: 'string' },
  seconds: { type: 'string' },
  fronts: { type: 'string' },
  stores: { type: 'string' },
  cores: { type: 'string' },
  samplers: { type: 'string' },
  settings: { type: 'string' },
  keep: { type: 'string' },
  plot: { type: 'string' },
} as const;

/** What a run takes where nothing else is said. */
const defaults = { seeds: '1-1', seconds: 60, fronts: 3, stores: 4, cores: 3, samplers: 5 };
const count = (least: number): yup.NumberSchema => yup.number().integer().min(least);
const settingsSchema = yup
  .object({
    zones: count(1),
    tolerance: count(1),
    meanFaultMs: yup.number().positive(),
    processesMost: count(7),
  })
  .noUnknown()
  .strict();
const defaultSettings = { zones: 3, tolerance: 1, meanFaultMs: 1400 };

/** A process takes this much at its peak; all of them may take half of the machine's memory. */
const processMb = 120;
const memoryShare = 0.5;
const processesLimit = 300;
/** Processes that a run may add to those that it begins with. */
const addedMost = 12;
const bytesOfMb = 1024 * 1024;

const failed = (reason: string): Result<never, string> => Result.err(reason);

const seedsOf = (text: string): readonly [number, number] | undefined => {
  const found = /^(\d+)(?:-(\d+))?$/.exec(text);
  if (!found) return undefined;
  const first = Number(found[1]);
  return [first, Number(found[2] ?? first)];
};

/** Reads a command line; answers what is wrong with it in one line. */
export const soakArguments = (line: ReadonlyArray<string>): Result<SoakArguments, string> => {
  let given: Partial<Record<keyof typeof flags, string>>;
  try {
    given = parseArgs({ args: [...line], options: flags, strict: true }).values;
  } catch (cause) {
    return failed((cause as Error).message.split('.')[0]!);
  }
  const seeds = seedsOf(given.seeds ?? defaults.seeds);
  if (!seeds) return failed(`--seeds: A-B or one seed, not ${given.seeds}`);
  const [firstSeed, lastSeed] = seeds;
  if (lastSeed < firstSeed) return failed(`--seeds: ${given.seeds} names no seed`);
  const numbers: Record<'seconds' | 'fronts' | 'stores' | 'cores' | 'samplers', number> = { ...defaults };
  for (const name of ['seconds', 'fronts', 'stores', 'cores', 'samplers'] as const) {
    const value = given[name] === undefined ? defaults[name] : Number(given[name]);
    if (!Number.isInteger(value) || value < 1) return failed(`--${name}: a whole number above 0, not ${given[name]}`);
    numbers[name] = value;
  }
  let settings: yup.InferType<typeof settingsSchema> = {};
  if (given.settings !== undefined)
    try {
      settings = settingsSchema.validateSync(JSON.parse(readFileSync(given.settings, 'utf8')));
    } catch (cause) {
      return failed(`--settings: ${given.settings}: ${(cause as Error).message}`);
    }
  const {
    zones,
    tolerance,
    meanFaultMs,
    processesMost: most,
  } = { processesMost: undefined, ...defaultSettings, ...settings };
  const copies = 2 * tolerance! + 1;
  if (numbers.stores < copies) return failed(`--stores: ${copies} at least bear the loss of ${tolerance}`);
  if (numbers.cores < copies) return failed(`--cores: ${copies} at least bear the loss of ${tolerance}`);
  const begins = numbers.fronts + numbers.stores + numbers.cores;
  const processesMost = most ?? begins + addedMost;
  const fits = Math.min(processesLimit, Math.floor((totalmem() * memoryShare) / bytesOfMb / processMb));
  if (Math.max(begins, processesMost) > fits)
    return failed(`${Math.max(begins, processesMost)} processes are more than this machine's limit of ${fits}`);
  if (begins * processMb * bytesOfMb > freemem()) return failed(`not enough free memory for ${begins} processes`);
  if (given.keep !== undefined)
    try {
      if (!existsSync(given.keep)) mkdirSync(given.keep);
      accessSync(given.keep, constants.W_OK);
    } catch {
      return failed(`--keep: ${given.keep} can't be written`);
    }
  const { fronts, stores, cores, samplers } = numbers;
  return Result.ok({
    firstSeed,
    lastSeed,
    workMs: numbers.seconds * 1000,
    size: { fronts, stores, cores, samplers, zones: zones!, tolerance: tolerance! },
    meanFaultMs: meanFaultMs!,
    processesMost,
    keep: given.keep,
    plot: given.plot,
  });
};
