import { explore, type Exploration } from '../model/explore.js';
import { leaseModel, type LeaseRule, type LeaseSize } from '../model/leaseModel.js';
import { logModel, type LogRule, type LogSize } from '../model/logModel.js';
import { commandFlag } from './commandFlag.js';

const statesMost = Number(commandFlag('states', '20000000'));
const large = commandFlag('size', 'small') === 'large';
const logSizes: ReadonlyArray<LogSize> = [
  { disksLost: 1, crashes: 1, sequences: 1 },
  ...(large ? [{ disksLost: 1, crashes: 0, sequences: 2 }] : []),
];
const leaseSizes: ReadonlyArray<LeaseSize> = large
  ? [{ leaseTicks: 1, ticks: 2, restarts: 1, asks: 3, replaces: true }]
  : [
      { leaseTicks: 1, ticks: 1, restarts: 0, asks: 2, replaces: true },
      { leaseTicks: 1, ticks: 1, restarts: 1, asks: 2, replaces: false },
    ];
const logRules: ReadonlyArray<LogRule | 'none'> = ['none', 'promises', 'adopts', 'membership', 'syncs', 'diskIdentity'];
const leaseRules: ReadonlyArray<LeaseRule | 'none'> = ['none', 'electorate', 'newcomerWaits', 'grantsLast'];

const say = (model: string, size: object, off: string, run: () => Exploration): void => {
  const start = Date.now();
  const { states, transitions, depth, whole, counterexample } = run();
  const seconds = ((Date.now() - start) / 1000).toFixed(1);
  const found = counterexample ? `BROKEN: ${counterexample.broken}` : whole ? 'holds' : 'holds as far as was searched';
  process.stdout.write(`${model} ${JSON.stringify(size)}, off: ${off}: ${found}\n`);
  process.stdout.write(`  ${states} states, ${transitions} steps, depth ${depth}, ${seconds} s\n`);
  for (const step of counterexample?.steps ?? []) process.stdout.write(`    ${step}\n`);
};

for (const size of logSizes)
  for (const off of logRules) say('configuration log', size, off, () => explore(logModel(size, off), statesMost));
for (const size of leaseSizes)
  for (const off of leaseRules) say('fenced leases', size, off, () => explore(leaseModel(size, off), statesMost));
