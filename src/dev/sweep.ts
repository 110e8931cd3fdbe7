import { writeFileSync } from 'node:fs';
import type { FleetFaultKind } from '../sim/fleet/fleetFaults.js';
import { runFleetDay } from '../sim/fleet/fleetDay.js';
import { commandFlag } from './commandFlag.js';
import { seedSweep, type PlayDay } from './seedSweep.js';

const only = commandFlag('only', '');
const trace = commandFlag('trace', '');
/** Every third seed plays a larger fleet that bears the loss of two disks. */
const largeEvery = 3;
const large = { cores: 5, stores: 6, fronts: 4, tolerance: 2 };

/** A day of the fleet programs. */
const play: PlayDay = async (seed, mostFaults) => {
  const day = await runFleetDay({
    seed,
    meanFaultMs: Number(commandFlag('mean', '1400')),
    ...(seed % largeEvery === 0 && { size: large }),
    ...(mostFaults !== undefined && { mostFaults }),
    ...(only === 'none' && { only: [], closing: false }),
    ...(only !== '' && only !== 'none' && { only: only.split(',') as ReadonlyArray<FleetFaultKind> }),
  });
  if (trace !== '') writeFileSync(trace, [...day.lines, ...day.seen.map((each) => JSON.stringify(each))].join('\n'));
  const kinds: Record<string, number> = {};
  for (const line of day.history) {
    const kind = line.slice(line.indexOf(' ') + 1, line.indexOf(':'));
    kinds[kind] = (kinds[kind] ?? 0) + 1;
  }
  return {
    violations: day.violations,
    history: day.history,
    counts: { ...day.counts, ...kinds },
    virtualMs: day.virtualMs,
  };
};

seedSweep(import.meta.url, 'npm run sweep', play);
