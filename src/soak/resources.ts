import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import type { SoakMachine } from './soakMachine.js';

/** What one process used at a time: memory in megabytes, open descriptors, and its data folder in megabytes. */
export type ResourceSample = {
  readonly at: number;
  readonly name: string;
  readonly pid: number;
  readonly memoryMb: number;
  readonly descriptors: number;
  readonly diskMb: number;
};

/** A use that kept growing over the second half of a process's life. */
export type Growth = { readonly name: string; readonly what: string; readonly perMinute: number };

/** Growth beyond this, a minute, is a finding. */
const mostPerMinute = { memoryMb: 60, descriptors: 240, diskMb: 200 } as const;
/** Growth of less than this is that of a process which is warming up. */
const least = { memoryMb: 40, descriptors: 60, diskMb: 60 } as const;
/** A life of fewer samples is still starting. */
const samplesLeast = 24;
const pageKb = 1024;
const minuteMs = 60_000;

const folderMb = (folder: string): number => {
  let bytes = 0;
  for (const entry of readdirSync(folder, { withFileTypes: true, recursive: true }))
    if (entry.isFile()) bytes += statSync(join(entry.parentPath, entry.name), { throwIfNoEntry: false })?.size ?? 0;
  return bytes / pageKb / pageKb;
};

const sample = (machine: SoakMachine, at: number): ResourceSample | undefined => {
  const pid = machine.pid();
  if (pid === undefined) return undefined;
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const memoryMb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / pageKb;
    const descriptors = readdirSync(`/proc/${pid}/fd`).length;
    const diskMb = machine.settings.data === undefined ? 0 : folderMb(machine.settings.data);
    return { at, name: machine.name, pid, memoryMb, descriptors, diskMb };
  } catch {
    // It ended in between.
    return undefined;
  }
};

/** The slope of a least-squares line, a minute. */
const slopeOf = (points: ReadonlyArray<readonly [number, number]>): number => {
  const mean = (nth: 0 | 1): number => points.reduce((sum, point) => sum + point[nth], 0) / points.length;
  const [meanAt, meanValue] = [mean(0), mean(1)];
  const spread = points.reduce((sum, [at]) => sum + (at - meanAt) ** 2, 0);
  const together = points.reduce((sum, [at, value]) => sum + (at - meanAt) * (value - meanValue), 0);
  return spread === 0 ? 0 : (together / spread) * minuteMs;
};

/** What grew without end, judged over the second half of each life that is long enough. */
const growths = (samples: ReadonlyArray<ResourceSample>): ReadonlyArray<Growth> => {
  const lives = new Map<string, ResourceSample[]>();
  for (const each of samples)
    lives.set(`${each.name} ${each.pid}`, [...(lives.get(`${each.name} ${each.pid}`) ?? []), each]);
  const found: Growth[] = [];
  for (const life of lives.values()) {
    if (life.length < samplesLeast) continue;
    const half = life.slice(Math.floor(life.length / 2));
    for (const what of ['memoryMb', 'descriptors', 'diskMb'] as const) {
      const perMinute = slopeOf(half.map((each) => [each.at, each[what]]));
      const grown = (perMinute * (half.at(-1)!.at - half[0]!.at)) / minuteMs;
      if (perMinute > mostPerMinute[what] && grown > least[what]) found.push({ name: life[0]!.name, what, perMinute });
    }
  }
  return found;
};

/** The use of memory, descriptors and disks by the processes of a soak. */
export const resources = { sample, growths };
