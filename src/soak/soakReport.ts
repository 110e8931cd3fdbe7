import Table from 'cli-table3';
import { build } from 'hdr-histogram-js';
import type { SoakResult } from './soakRun.js';

const findingsShown = 12;
const aroundMs = 5000;

/** What happened within a few seconds before a finding's time, where it names one; otherwise the last of it. */
const around = ({ history }: SoakResult, what: string): ReadonlyArray<string> => {
  const named = /at (\d+)(?!\d*\.)/.exec(what);
  if (!named) return history.slice(-6);
  const at = Number(named[1]);
  return history.filter((line) => Math.abs(Number.parseFloat(line) * 1000 - at) < aroundMs);
};

/** The findings of a seed, with what befell the fleet around them and the command that plays the seed again. */
const failure = (result: SoakResult, command: string, folder: string): string => {
  const shown = result.findings.slice(0, findingsShown);
  const [first] = shown;
  return [
    `seed ${result.seed} FAILED: ${result.findings.length} findings`,
    ...shown.map(({ rule, what, timed }) => `  ${rule}${timed ? ' (timed)' : ''}: ${what}`),
    '  around the first:',
    ...(first ? around(result, first.what).map((line) => `    ${line}`) : []),
    `  logs and timeline: ${folder}`,
    `  again: ${command}`,
  ].join('\n');
};

/** A table of all seeds, and the times of recovery. */
const summary = (results: ReadonlyArray<SoakResult>): string => {
  const table = new Table({
    head: ['seed', 'faults', 'requests', 'served', 'batches', 'changes', 'reads', 'recovery s', 'peak MB', 'findings'],
    style: { head: [], border: [] },
  });
  const times = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 2 });
  for (const { seed, counts, recoveriesMs, peakMemoryMb, findings } of results) {
    for (const ms of recoveriesMs) times.recordValue(Math.max(1, Math.round(ms)));
    const slowest = (Math.max(0, ...recoveriesMs) / 1000).toFixed(1);
    const [served, requests] = [counts['served']!, counts['requests']!];
    table.push([
      seed,
      counts['faults']!,
      requests,
      `${((100 * served) / Math.max(1, requests)).toFixed(1)}%`,
      counts['batches']!,
      counts['changes']!,
      counts['reads']!,
      slowest,
      peakMemoryMb.toFixed(0),
      findings.length,
    ]);
  }
  const at = (percentile: number): string => (times.getValueAtPercentile(percentile) / 1000).toFixed(1);
  const recoveries = [
    `recovery after ${times.totalCount} blows to every process:`,
    `half within ${at(50)} s, nine tenths within ${at(90)} s, all within ${at(100)} s`,
  ].join(' ');
  return `${table.toString()}\n${recoveries}`;
};

/** What a soak prints. */
export const soakReport = { failure, summary };
