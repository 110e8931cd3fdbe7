import { readFileSync, writeFileSync } from 'node:fs';
import type { FaultKind } from '../sim/faultActs.js';
import { runDay } from '../sim/day.js';
import { commandFlag } from './commandFlag.js';
import type { Deployment } from './deployment.js';
import { seedSweep, type PlayDay } from './seedSweep.js';

const only = commandFlag('only', '');
const trace = commandFlag('trace', '');

const faultChoice = (): object => {
  if (only === '') return {};
  if (only === 'none') return { only: [], lastFault: false };
  return { only: only.split(',') as ReadonlyArray<FaultKind> };
};

/** A day of the own interface's programs. */
const play: PlayDay = (seed, mostFaults) => {
  const found = runDay({
    seed,
    given: JSON.parse(readFileSync(commandFlag('deployment', 'settings/small.json'), 'utf8')) as Deployment,
    workMs: Number(commandFlag('work', '12000')),
    settleMs: Number(commandFlag('settle', '30000')),
    meanFaultMs: Number(commandFlag('mean', '900')),
    ...(mostFaults === undefined ? {} : { mostFaults }),
    ...faultChoice(),
  });
  if (trace !== '') {
    const seen = found.seen.map((each) => `seen=${JSON.stringify(each)}`);
    const sights = found.fleet.sights.map((each) => `sight=${JSON.stringify(each)}`);
    writeFileSync(trace, [...found.fleet.lines, ...seen, ...sights].join('\n'));
  }
  const { violations, history, checked, faults, world } = found;
  return { violations, history, counts: { ...checked, ...faults }, virtualMs: world.now() };
};

seedSweep(import.meta.url, 'npm run sweep:own', play);
