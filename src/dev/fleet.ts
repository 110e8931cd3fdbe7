import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { deployment, type Deployment } from './deployment.js';
import { startFleet } from './fleetProcesses.js';
import { outside } from './outside.js';

const [file = 'settings/ihuriro.json', folder = 'data/fleet', port = '7100'] = process.argv.slice(2);
const given = JSON.parse(readFileSync(file, 'utf8')) as Deployment;
const fleet = await startFleet(given, resolve(folder), Number(port));
process.on('SIGINT', () => void fleet.stop().then(() => process.exit(0)));
process.on('SIGTERM', () => void fleet.stop().then(() => process.exit(0)));
await outside.until('every front to know every node and sampler', 60_000, async () => {
  const answers = await Promise.all(fleet.fronts.map((front) => outside.call(front, 'GET', '/foxdeck/status')));
  return answers.every(
    ({ body }) =>
      body['inForce'] === true &&
      body['nodes'] === deployment.nodes(given).length &&
      body['samplers'] === deployment.samplers(given).length,
  );
});
const answer = await outside.call(fleet.fronts[0]!, 'POST', '/foxdeck/changes', deployment.change(given));
process.stdout.write(answer.text);
process.stdout.write(`ready: fronts at ${fleet.fronts.join(' ')}\n`);
