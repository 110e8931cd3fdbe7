import { explore, type Exploration } from '../model/explore.js';
import { leaseModel, type LeaseRule } from '../model/leaseModel.js';
import { logModel, type LogRule } from '../model/logModel.js';
import { commandFlag } from './commandFlag.js';

const statesMost = Number(commandFlag('states', '20000000'));
const large = commandFlag('size', 'small') === 'large';
const logSize = large ? { disksLost: 1, crashes: 1, sequences: 2 } : { disksLost: 1, crashes: 1, sequences: 1 };
const leaseSize = large ? { leaseTicks: 2, ticks: 3, restarts: 1 } : { leaseTicks: 1, ticks: 2, restarts: 1 };
const logRules: ReadonlyArray<LogRule | 'none'> = ['none', 'promises', 'adopts', 'membership', 'syncs', 'diskIdentity'];
const leaseRules: ReadonlyArray<LeaseRule | 'none'> = ['none', 'electorate', 'newcomerWaits', 'grantsLast'];

const say = (model: string, off: string, run: () => Exploration): void => {
  const start = Date.now();
  const { states, transitions, depth, whole, counterexample } = run();
  const seconds = ((Date.now() - start) / 1000).toFixed(1);
  const found = counterexample ? `BROKEN: ${counterexample.broken}` : whole ? 'holds' : 'holds as far as was searched';
  process.stdout.write(
    `${model}, off: ${off}: ${found}; ${states} states, ${transitions} steps, depth ${depth}, ${seconds} s\n`,
  );
  for (const step of counterexample?.steps ?? []) process.stdout.write(`    ${step}\n`);
};

for (const off of logRules) say('configuration log', off, () => explore(logModel(logSize, off), statesMost));
for (const off of leaseRules) say('fenced leases', off, () => explore(leaseModel(leaseSize, off), statesMost));
