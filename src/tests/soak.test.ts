import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, test } from '@jest/globals';
import { fleetCheckers } from '../sim/fleet/fleetCheckers.js';
import type { Observation } from '../sim/fleet/observations.js';
import { soakArguments } from '../soak/soakArguments.js';
import type { SoakSabotage } from '../soak/soakFleet.js';
import { runSoak, type SoakResult } from '../soak/soakRun.js';

const folders: string[] = [];
afterEach(() => {
  for (const folder of folders.splice(0)) rmSync(folder, { recursive: true, force: true });
});

type Times = { readonly workMs: number; readonly restMs: number; readonly meanFaultMs?: number };

/** Nothing befalls a run of this mean: its processes live to its end. */
const calmMeanMs = 1e9;

type Seen = ReadonlyArray<Observation>;

const batchesLeast = 4;
const endsLeast = 2;
const enoughBatches = (seen: Seen): boolean =>
  fleetCheckers.of(seen, 'batchTaken').length >= batchesLeast &&
  fleetCheckers.of(seen, 'batchEnded').length >= endsLeast;
const batchesDone = (seen: Seen): boolean => fleetCheckers.openBatches(seen).length === 0;
const broken =
  (rule: RegExp) =>
  (seen: Seen): boolean =>
    fleetCheckers.all(seen, false).some((violation) => rule.test(violation.rule));

const soak = (
  seed: number,
  times: Times,
  sabotage: SoakSabotage = {},
  workUntil: (seen: Seen) => boolean = enoughBatches,
  restUntil?: (seen: Seen) => boolean,
): Promise<SoakResult> => {
  const folder = mkdtempSync(join(tmpdir(), 'foxdeck-soak-'));
  folders.push(folder);
  const size = { cores: 3, stores: 4, fronts: 3, samplers: 5, zones: 3, tolerance: 1 };
  const run = { seed, size, meanFaultMs: 1400, ...times, workUntil, restUntil, processesMost: 22, folder, sabotage };
  return runSoak(run);
};
/** What does not rest on how fast this machine is; the rest is printed. */
const judged = ({ findings }: SoakResult): ReadonlyArray<string> => {
  for (const { rule, what, timed } of findings)
    if (timed) process.stdout.write(`timed, not judged: ${rule}: ${what}\n`);
  return findings.filter(({ timed }) => !timed).map(({ rule, what }) => `${rule}: ${what}`);
};

test('a short soak of real processes loses nothing, does nothing twice and is not stuck', async () => {
  const result = await soak(7, { workMs: 40_000, restMs: 18_000 }, {}, enoughBatches, batchesDone);
  process.stdout.write(
    `${JSON.stringify(result.counts)}, recoveries in ms: ${result.recoveriesMs.map(Math.round).join()}\n`,
  );
  expect(judged(result)).toEqual([]);
  expect(result.counts['batches']).toBeGreaterThan(0);
});

describe('the checkers of a soak notice', () => {
  const short = { workMs: 6000, restMs: 2000 };
  test.each<[string, Times, SoakSabotage, RegExp, ((seen: Seen) => boolean)?]>([
    [
      'an ended batch that is forgotten early',
      { workMs: 6000, restMs: 14_000 },
      { bounds: { keepLotsMs: 500 } },
      /a batch that was taken is there/,
    ],
    [
      'a copy that is dropped',
      { workMs: 6000, restMs: 12_000 },
      { planted: 'forgetsWrites', onlyRole: 'store' },
      /a batch that was taken is there/,
      enoughBatches,
    ],
    [
      'an end that takes back results',
      short,
      { planted: 'endTakesResultsBack', onlyRole: 'front' },
      /positions never change/,
    ],
    [
      'a once-only call that is sent twice',
      short,
      { planted: 'onceOnlyIsRepeatable', onlyRole: 'core' },
      /runs once at most/,
    ],
    ['a change that a minority acknowledges', short, { coresApart: true }, /one change|the newest version/],
    [
      'a process that leaks',
      { workMs: 22_000, restMs: 1000, meanFaultMs: calmMeanMs },
      { planted: 'leaksMemory', onlyRole: 'store' },
      /no process grows without end/,
      enoughBatches,
    ],
  ])('%s', async (_, times, sabotage, finding, workUntil = broken(finding)) => {
    const { findings } = await soak(11, times, sabotage, workUntil);
    expect(findings.map(({ rule, what }) => `${rule}: ${what}`).join('\n')).toMatch(finding);
  });
});

describe('a soak refuses in one line', () => {
  test.each<[string, ReadonlyArray<string>, RegExp]>([
    ['an unknown flag', ['--bogus', '1'], /bogus/],
    ['an empty range of seeds', ['--seeds', '5-2'], /names no seed/],
    ['seeds that are no numbers', ['--seeds', 'a-b'], /--seeds/],
    ['more processes than the machine bears', ['--fronts', '9000'], /more than this machine/],
    ['too few stores', ['--stores', '2'], /--stores/],
    ['a folder that cannot be written', ['--keep', '/proc/foxdeck-soak'], /can't be written/],
    ['settings that cannot be read', ['--settings', '/nowhere.json'], /--settings/],
  ])('%s', (_, line, reason) => {
    const given = soakArguments(line);
    expect(given.isErr && given.error).toMatch(reason);
  });
});
