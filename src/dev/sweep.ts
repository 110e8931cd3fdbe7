import { readFileSync, writeFileSync } from 'node:fs';
import type { FaultKind } from '../sim/faults.js';
import { runDay } from '../sim/day.js';
import type { Deployment } from './deployment.js';

const flag = (name: string, fallback: string): string => {
  const place = process.argv.indexOf(`--${name}`);
  return place < 0 ? fallback : (process.argv[place + 1] ?? fallback);
};
const given = JSON.parse(readFileSync(flag('deployment', 'settings/small.json'), 'utf8')) as Deployment;
const [first, last] = [Number(flag('from', '1')), Number(flag('to', '10'))];
const only = flag('only', '');
const trace = flag('trace', '');
const totals = {
  faults: {} as Record<string, number>,
  checked: {} as Record<string, number>,
  seeds: 0,
  failed: [] as number[],
};
for (let seed = first; seed <= last; seed += 1) {
  const start = Date.now();
  const day = runDay({
    seed,
    given,
    workMs: Number(flag('work', '30000')),
    settleMs: Number(flag('settle', '25000')),
    meanFaultMs: Number(flag('mean', '1500')),
    ...(only === ''
      ? {}
      : only === 'none'
        ? { only: [], lastFault: false }
        : { only: only.split(',') as ReadonlyArray<FaultKind> }),
  });
  totals.seeds += 1;
  for (const [kind, count] of Object.entries(day.faults)) totals.faults[kind] = (totals.faults[kind] ?? 0) + count;
  for (const [rule, count] of Object.entries(day.checked)) totals.checked[rule] = (totals.checked[rule] ?? 0) + count;
  if (day.violations.length > 0) {
    totals.failed.push(seed);
    process.stdout.write(
      `seed ${seed} FAILED after ${day.history.length} faults:\n${day.violations
        .slice(0, 8)
        .map((each) => `  ${each.rule}: ${each.what}\n`)
        .join('')}${day.history.map((line) => `    ${line}\n`).join('')}`,
    );
  } else
    process.stdout.write(
      `seed ${seed} clean: ${day.history.length} faults, ${day.world.steps()} steps, ${Date.now() - start} ms\n`,
    );
  if (trace !== '')
    writeFileSync(
      trace,
      [
        ...day.fleet.lines,
        ...day.seen.map((each) => `seen=${JSON.stringify(each)}`),
        ...day.fleet.sights.map((each) => `sight=${JSON.stringify(each)}`),
      ].join('\n'),
    );
}
process.stdout.write(`${JSON.stringify(totals)}\n`);
process.exit(totals.failed.length > 0 ? 1 : 0);
