import { readFileSync } from 'node:fs';
import { plainDialect } from '../dev/plainDialect.js';
import { realEdge } from '../fleet/realEdge.js';
import { startFleet } from '../fleet/startFleet.js';
import type { FleetSettings } from '../fleet/fleetTypes.js';
import type { Program } from '../fleet/program.js';
import { makeNodeFaults, type NodeTrouble, type PlantedFault } from './nodeFaults.js';

/** What the file of a soaked process holds. */
export type SoakSettings = FleetSettings & { readonly planted?: PlantedFault };

const readSettings = (): SoakSettings => JSON.parse(readFileSync(process.argv[2]!, 'utf8')) as SoakSettings;

/** Runs a program of the fleet as it runs in production, on an edge whose disk and connections the soak troubles. */
const main = async (): Promise<void> => {
  const settings = readSettings();
  const faults = makeNodeFaults(settings.planted);
  const running: { program?: Program } = {};
  let hangup = false;
  const reload = (): void => {
    hangup = true;
    running.program?.reload(readSettings());
  };
  process.on('SIGHUP', reload);
  process.on('message', (trouble: NodeTrouble) => faults.take(trouble));
  // The soak ended without ending this process.
  process.on('disconnect', () => process.exit(1));
  const edge = realEdge(settings.name);
  const program = await startFleet(settings, faults.dialect(plainDialect), {
    ...edge,
    files: faults.files(edge.files),
    transport: faults.transport(edge.transport),
  });
  running.program = program;
  if (hangup) reload();
  process.once('SIGTERM', () => void program.stop().finally(() => process.exit(0)));
};
main().catch((cause: unknown) => {
  process.stderr.write(`foxdeck: ${String(cause)}\n`);
  process.exit(2);
});
