import { readFileSync } from 'node:fs';
import type { FleetSettings } from '../fleet/fleetTypes.js';
import { startFleet } from '../fleet/startFleet.js';
import { plainDialect } from './plainDialect.js';

const main = async (): Promise<void> => {
  const settings = JSON.parse(readFileSync(process.argv[2]!, 'utf8')) as FleetSettings;
  const program = await startFleet(settings, plainDialect);
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.once(signal, () => void program.stop().finally(() => process.exit(0)));
};
main().catch((cause: unknown) => {
  process.stderr.write(`foxdeck: ${String(cause)}\n`);
  process.exit(2);
});
