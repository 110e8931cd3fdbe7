import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { soakArguments, type SoakArguments } from '../soak/soakArguments.js';
import { soakPlot } from '../soak/soakPlot.js';
import { soakReport } from '../soak/soakReport.js';
import { runSoak, type SoakResult } from '../soak/soakRun.js';

const slowMs = 400;
const usageStatus = 2;
const say = (line: string): void => void process.stdout.write(`${line}\n`);

const again = (seed: number, { size, workMs }: SoakArguments, settings: string | undefined): string =>
  [
    `npm run soak -- --seeds ${seed} --seconds ${workMs / 1000}`,
    `--fronts ${size.fronts} --stores ${size.stores} --cores ${size.cores} --samplers ${size.samplers}`,
    ...(settings === undefined ? [] : [`--settings ${settings}`]),
  ].join(' ');

const settingsFile = (): string | undefined => {
  const place = process.argv.indexOf('--settings');
  return place < 0 ? undefined : process.argv[place + 1];
};

/** Soaks one seed after another; answers whether none of them found anything. */
const main = async (given: SoakArguments): Promise<boolean> => {
  const root = given.keep ?? mkdtempSync(join(tmpdir(), 'foxdeck-soak-'));
  const results: SoakResult[] = [];
  for (let seed = given.firstSeed; seed <= given.lastSeed; seed += 1) {
    const folder = join(root, `seed-${seed}`);
    const { size, workMs, meanFaultMs, processesMost } = given;
    const result = await runSoak({ seed, size, workMs, meanFaultMs, processesMost, folder, progress: say });
    results.push(result);
    if (result.findings.length > 0) say(soakReport.failure(result, again(seed, given, settingsFile()), folder));
    else {
      say(`seed ${seed} clean: ${result.history.length} faults`);
      if (given.keep === undefined) rmSync(folder, { recursive: true, force: true });
    }
  }
  say(soakReport.summary(results));
  const last = results.at(-1);
  if (given.plot !== undefined && last) writeFileSync(given.plot, await soakPlot(last, slowMs));
  return results.every((result) => result.findings.length === 0);
};

const given = soakArguments(process.argv.slice(2));
if (given.isErr) {
  process.stderr.write(`soak: ${given.error}\n`);
  process.exit(usageStatus);
}
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));
main(given.value).then(
  (clean) => process.exit(clean ? 0 : 1),
  (cause: unknown) => {
    process.stderr.write(`soak: ${String(cause)}\n`);
    process.exit(1);
  },
);
