import { execFileSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { cpus, loadavg } from 'node:os';
import Table from 'cli-table3';
import { capacityPlot } from './capacityPlot.js';
import { growthOf } from './growth.js';
import { loopbackFleet } from './loopbackFleet.js';
import { measureScaleSize, type ScaleSize } from './scaleSize.js';

const allSizes = [15, 60, 185, 370];
/** Some sizes may be named for a look; only a run over all of them is written down. */
const named = process.argv.slice(2).map(Number);
const sizes = named.length > 0 ? named : allSizes;
const titles: Readonly<Record<string, string>> = {
  coreCpuPercent: 'core: % of a processor core',
  coreKbPerS: 'core: KB/s',
  coreResidentMb: 'core: resident MB',
  frontCpuPercent: 'front: % of a processor core',
  frontKbPerS: 'front: KB/s',
  frontResidentMb: 'front: resident MB',
  nodeCpuPercent: 'hollow node: % of a processor core',
  nodeKbPerS: 'hollow node: KB/s',
  nodeCallsPerS: 'hollow node: calls/s',
  declareSends: 'sends until a traffic change was accepted',
  declaredMs: 'traffic change answered, ms',
  trafficKnownMs: 'traffic change known everywhere, ms',
  trafficChangeKbPerNode: 'traffic change: KB for each node',
  drainingKnownMs: 'draining sampler known everywhere, ms',
  lostSamplerKnownMs: 'lost sampler doubted everywhere, ms',
  lostNodeKnownMs: 'lost node known everywhere, ms',
  lossKbPerNode: 'three losses: KB for each node',
  wholeKnownMs: 'fleet known whole after a joint start, ms',
  calmMs: 'calm after that, ms',
  rollCoreCpuPercent: 'all samplers load in 9 s, core: %',
  rollFrontCpuPercent: 'all samplers load in 9 s, front: %',
  rollNodeCpuPercent: 'all samplers load in 9 s, hollow node: %',
  rollNodeCallsPerS: 'all samplers load in 9 s, hollow node: calls/s',
  rollNodeKbPerS: 'all samplers load in 9 s, hollow node: KB/s',
  rollKnownLateMs: 'last loaded sampler known everywhere, ms after',
};

const costsOf = ({ repeats, once }: ScaleSize, name: string): ReadonlyArray<number> =>
  [...repeats, once].map((costs) => costs[name]).filter((value) => value !== undefined);
const mean = (values: ReadonlyArray<number>): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
const short = (value: number): string => (Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(2));
const spreadOf = (values: ReadonlyArray<number>): string =>
  values.length < 2
    ? short(values[0] ?? NaN)
    : `${short(mean(values))} (${short(Math.min(...values))} to ${short(Math.max(...values))})`;

const git = (...words: string[]): string => execFileSync('git', words).toString().trim();
const source = { head: git('rev-parse', 'HEAD'), changed: git('status', '--porcelain', 'src/fleet', 'src/edge') };
const program = await loopbackFleet.bundle();
const measured: ScaleSize[] = [];
const began = performance.now();
const load: number[] = [];
for (const n of sizes) {
  measured.push(await measureScaleSize(n, program));
  load.push(loadavg()[0]!);
  process.stdout.write(`${n} nodes after ${Math.round((performance.now() - began) / 1000)} s\n`);
}
const fits = Object.keys(titles).map((name) => {
  const points = measured.flatMap((size) => costsOf(size, name).map((cost) => ({ n: size.n, cost })));
  const there = points.filter(({ cost }) => Number.isFinite(cost));
  return { name, lacking: points.length - there.length, ...growthOf(there) };
});
const table = new Table({
  head: ['cost', ...sizes.map((n) => `n = ${n}`), 'fit', 'a + b f(n)', 'left over'],
  style: { head: [], border: [], compact: true },
});
for (const { name, law, base, slope, leftOver, lacking } of fits)
  table.push([
    titles[name]! + (lacking > 0 ? ` (${lacking} not known in time)` : ''),
    ...measured.map((size) => spreadOf(costsOf(size, name))),
    law,
    `${short(base)} + ${slope.toPrecision(3)} f`,
    short(leftOver),
  ]);
process.stdout.write(`${table.toString()}\n`);
for (const { n, samplers, once } of measured)
  process.stdout.write(
    `${n} nodes, ${samplers} samplers: ${once['processes']} processes, ${short(once['residentMb']!)} MB in all, ` +
      `${once['beatsFailed']} beats failed\n`,
  );
const machine = { cores: cpus().length, model: cpus()[0]?.model ?? '', loadAverages: load };
const at = new Date().toISOString();
const record = { command: 'npm run scale', at, source, machine, sizes: measured, fits };
if (named.length === 0) {
  writeFileSync('docs/capacity.json', `${JSON.stringify(record, undefined, 1)}\n`);
  writeFileSync('docs/capacity.svg', await capacityPlot(measured, titles));
}
process.stdout.write(`${Math.round((performance.now() - began) / 1000)} s in all\n`);
