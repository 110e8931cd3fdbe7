import { writeFileSync } from 'node:fs';
import type { FleetFaultKind } from '../sim/fleet/fleetFaultKinds.js';
import { runFleetDay } from '../sim/fleet/fleetDay.js';
import type { FleetSize } from '../sim/fleet/virtualFleet.js';
import { commandFlag } from './commandFlag.js';
import { seedSweep, type PlayDay } from './seedSweep.js';

const only = commandFlag('only', '');
const trace = commandFlag('trace', '');
/** Every third seed plays a larger fleet that bears the loss of two disks. */
const largeEvery = 3;
const large = { cores: 5, stores: 6, fronts: 4, tolerance: 2 };
/** Every sixth seed plays one without a machine to spare. */
const exactEvery = 6;
const exact = { ...large, stores: 5 };

const sizeOf = (seed: number): Partial<FleetSize> => {
  if (seed % exactEvery === 0) return exact;
  return seed % largeEvery === 0 ? large : {};
};

/** A day of the fleet programs. */
const play: PlayDay = async (seed, mostFaults) => {
  const day = await runFleetDay({
    seed,
    meanFaultMs: Number(commandFlag('mean', '1400')),
    size: sizeOf(seed),
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
