import { readFileSync } from 'node:fs';
import { scriptedDay } from '../sim/scriptedDay.js';
import type { Deployment } from './deployment.js';

const [file = 'settings/small.json', from = '1', to = '1'] = process.argv.slice(2);
const given = JSON.parse(readFileSync(file, 'utf8')) as Deployment;
let failed = false;
for (let seed = Number(from); seed <= Number(to); seed += 1) {
  const { day, moves, told } = scriptedDay(given, seed);
  const checks = Object.values(day.checked).reduce((sum, count) => sum + count, 0);
  const states = moves.map((move) => `${String(move['name'])}=${String(move['state'])}`).join(' ');
  const rows = Object.entries(told).map(([what, found]) => `${what}: ${found.length}`);
  process.stdout.write(`seed=${seed} checks=${checks} violations=${day.violations.length} ${states}\n`);
  process.stdout.write(`  ${rows.join(', ')}\n`);
  for (const each of day.violations.slice(0, 8)) process.stdout.write(`  ${each.rule}: ${each.what}\n`);
  failed ||= day.violations.length > 0 || moves.some((move) => move['state'] !== 'done');
}
process.exit(failed ? 1 : 0);
