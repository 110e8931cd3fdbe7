import { readFileSync } from 'node:fs';
import { faultActs, type FaultKind } from '../sim/faultActs.js';
import { runDay } from '../sim/day.js';
import type { Deployment } from './deployment.js';

const flag = (name: string, fallback: string): string => {
  const place = process.argv.indexOf(`--${name}`);
  return place < 0 ? fallback : (process.argv[place + 1] ?? fallback);
};
const given = JSON.parse(readFileSync(flag('deployment', 'settings/small.json'), 'utf8')) as Deployment;
const seeds = Number(flag('seeds', '3'));
const wanted = flag('only', '');
const kinds = faultActs.weights
  .map(([kind]) => kind)
  .filter((kind) => wanted === '' || wanted.split(',').includes(kind));
const leases = flag('lease', '5000').split(',').map(Number);

type Figures = { asked: number; answered: number; gapMs: number; changeMs: number; faults: number };

/** What callers and operators had of the fleet while one kind of fault happened again and again. */
const measured = (kind: FaultKind, seed: number, leaseMs: number): Figures => {
  const workMs = 12_000;
  const day = runDay({
    seed,
    given,
    workMs,
    settleMs: 15_000,
    meanFaultMs: 2500,
    only: [kind],
    lastFault: false,
    settings: { leaseMs },
  });
  const asks = day.seen.filter(
    (each) => each.kind === 'ordinary' && String(each['path']).startsWith('/toggle') === false,
  );
  let gapMs = 0;
  for (const caller of new Set(asks.map((each) => each['caller']))) {
    const served = asks.filter((each) => each['caller'] === caller && each['status'] === 200).map((each) => each.at);
    for (const [place, at] of served.entries()) gapMs = Math.max(gapMs, at - (served[place - 1] ?? at));
  }
  const changes = day.seen.filter((each) => each.kind === 'change-told' && each['state'] === 'accepted');
  return {
    asked: asks.length,
    answered: asks.filter((each) => each['status'] === 200).length,
    gapMs,
    changeMs: Math.max(0, ...changes.map((each) => each.at - each.asked)),
    faults: Object.values(day.faults).reduce((sum, count) => sum + count, 0),
  };
};

for (const leaseMs of leases) {
  for (const kind of kinds) {
    const all = Array.from({ length: seeds }, (_, place) => measured(kind, 700 + place, leaseMs));
    const sum = (name: keyof Figures): number => all.reduce((total, each) => total + each[name], 0);
    const spread = (name: keyof Figures): string =>
      all
        .map((each) => each[name].toFixed(0))
        .sort((a, b) => Number(a) - Number(b))
        .join('/');
    const share = ((100 * sum('answered')) / sum('asked')).toFixed(1);
    const figures = [
      `lease=${leaseMs} fault="${kind}" faults=${sum('faults')} asked=${sum('asked')} answered=${share}%`,
      `longestGapMs=${spread('gapMs')} slowestChangeMs=${spread('changeMs')}`,
    ];
    process.stdout.write(`${figures.join(' ')}\n`);
  }
}
process.exit(0);
