// Runs the tests, all but those that KNOWN-RED.txt lists (a line each: full name | cause | issue); these are printed.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';

const file = 'KNOWN-RED.txt';
const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n').filter((line) => line.trim() !== '') : [];
const names = lines.map((line) => line.split(' | ')[0].trim().replace(/[.*+?^${}()|[\]\\]/g, '\\$&'));
for (const line of lines) process.stdout.write(`known red, passed over: ${line}\n`);
const passedOver = names.length > 0 ? ['-t', `^(?!(?:${names.join('|')})$)`] : [];
const own = process.argv.slice(2);
const flags = ['--experimental-vm-modules', '--no-warnings', '--max-old-space-size=2000'];
const args = [...flags, 'node_modules/jest/bin/jest.js', ...(own.includes('-t') ? [] : passedOver), ...own];
const { status } = spawnSync(process.execPath, args, { stdio: 'inherit' });
process.exit(status ?? 1);
