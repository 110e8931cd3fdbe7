import { mkdtempSync, rmSync } from 'node:fs';
import { cpus, loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import Table from 'cli-table3';
import type { Role } from '../fleet/fleetTypes.js';
import { runBillAsks } from './billAsks.js';
import { runBillTrainer } from './billTrainer.js';
import { loopbackFleet, type LoopbackFleet } from './loopbackFleet.js';
import { plainTraffic } from './plainTraffic.js';
import { processCost, type ProcessCost } from './processCost.js';

const counts = { front: 8, store: 4, core: 3 } as const;
const work = { lots: 12, items: 136, group: 8, promptBytes: 400, atOnce: 4 };
/** Another count of events than 20 may be named, for the cost of one event. */
const made = { events: Number(process.argv[2] ?? 20), eventBytes: 280, pieceMs: 20 };
const asks = { count: 4000, atOnce: 24, bodyBytes: 400 };
const idleMs = 10_000;
const settleMs = 3000;
const readyMs = 20_000;
const roles: ReadonlyArray<Role> = ['front', 'store', 'core'];

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const sum = (numbers: ReadonlyArray<number>): number => numbers.reduce((all, each) => all + each, 0);
const mean = (numbers: ReadonlyArray<number>): number => sum(numbers) / numbers.length;
const two = (value: number): string => value.toFixed(2);

type Sight = { readonly at: number; readonly costs: ReadonlyMap<number, ProcessCost>; readonly disk: number };
const look = (fleet: LoopbackFleet, others: ReadonlyArray<number>): Sight => ({
  at: performance.now(),
  costs: new Map([...fleet.processes.map(({ pid }) => pid), ...others].map((pid) => [pid, processCost.of(pid)])),
  disk: sum(fleet.of('store').map(({ data }) => processCost.folderBytes(data))),
});
const used = (before: Sight, after: Sight, field: keyof ProcessCost) => (pid: number) =>
  after.costs.get(pid)![field] - before.costs.get(pid)![field];
const print = (title: string, head: ReadonlyArray<string>, rows: ReadonlyArray<ReadonlyArray<string>>): void => {
  const table = new Table({ head: [title, ...head], style: { head: [], border: [], compact: true } });
  for (const row of rows) table.push([...row]);
  process.stdout.write(`${table.toString()}\n`);
};

const samplersOf = (model: boolean, count: number, first: number) =>
  Array.from({ length: count }, (_, place) => ({
    id: `${model ? 'model' : 'plain'}-${place + 1}`,
    zone: `zone-${((place + first) % 4) + 1}`,
    slots: 12,
    model,
    ...made,
  }));

const measure = async (fleet: LoopbackFleet): Promise<void> => {
  const began = performance.now();
  const starts = new Map<Role, Array<{ ms: number; cpuMs: number }>>(roles.map((role) => [role, []]));
  for (const each of fleet.processes) starts.get(each.role)!.push(await each.started);
  const [core] = fleet.of('core');
  const document = JSON.stringify(plainTraffic(1, 10));
  const declared = await loopbackFleet.until(
    'a declared traffic',
    async () => {
      const headers = { 'if-match': '0' };
      return (await loopbackFleet.call(core!.control, 'PUT', '/foxdeck/traffic', headers, document)).status === 200;
    },
    readyMs,
  );
  const ready = async (): Promise<boolean> => {
    const asked = fleet.of('front').map(({ readiness }) => loopbackFleet.call(readiness, 'GET', '/foxdeck/ready'));
    return (await Promise.all(asked)).every(({ status }) => status === 200);
  };
  await loopbackFleet.until('all fronts ready', ready, readyMs);
  const readyAt = performance.now() - began;
  const cores = fleet.of('core').map(({ control }) => control);
  const all = [...samplersOf(true, 6, 0), ...samplersOf(false, 4, 0)];
  const halves = [all.filter((_, place) => place % 2 === 0), all.filter((_, place) => place % 2 === 1)];
  const others = halves.map((samplers) => fleet.beside('billSamplers.js', { cores, beatMs: 1200, samplers }).pid!);
  await sleep(settleMs);

  const [quiet, busy] = [look(fleet, others), await sleep(idleMs).then(() => look(fleet, others))];
  const fronts = fleet.of('front').map(({ front }) => front);
  const outcome = await runBillTrainer(fronts, work);
  const done = look(fleet, others);
  await runBillAsks(fronts, asks);
  const asked = look(fleet, others);

  const items = work.lots * work.items;
  const pids = (role: Role): ReadonlyArray<number> => fleet.of(role).map(({ pid }) => pid);
  const over = busy.at - quiet.at;
  const idle = (pid: number): number => (100 * used(quiet, busy, 'cpuMs')(pid)) / over;
  const cpu = used(busy, done, 'cpuMs');
  const wrote = used(busy, done, 'wrote');
  const journal = done.disk - busy.disk;
  process.stdout.write(
    `${items} items of ${made.events} events of ${made.eventBytes} bytes in ${work.lots} lots: ` +
      `${outcome.completed} completed, ${outcome.abandoned} abandoned in ${two(outcome.ms / 1000)} s; ` +
      `load average ${two(loadavg()[0]!)} on ${cpus().length} cores\n`,
  );
  print(
    'role',
    ['processes', 'idle, % of a core each', 'most', 'start, cpu ms', 'started, ms', 'resident MB', 'most'],
    roles.map((role) => [
      role,
      String(counts[role]),
      two(mean(pids(role).map(idle))),
      two(Math.max(...pids(role).map(idle))),
      two(mean(starts.get(role)!.map(({ cpuMs }) => cpuMs))),
      two(mean(starts.get(role)!.map(({ ms }) => ms))),
      two(mean(pids(role).map((pid) => done.costs.get(pid)!.residentMb))),
      two(Math.max(...pids(role).map((pid) => done.costs.get(pid)!.residentMb))),
    ]),
  );
  print(
    'per item',
    ['cpu ms in all', 'busiest share, %', 'bytes written in all', 'resident growth in all, bytes'],
    roles.map((role) => {
      const each = pids(role).map(cpu);
      const bytes = sum(pids(role).map(wrote)) - (role === 'store' ? journal : 0);
      const share = (100 * Math.max(...each)) / Math.max(1, sum(each));
      const grown = sum(pids(role).map(used(busy, done, 'residentMb'))) * 1024 * 1024;
      return [role, two(sum(each) / items), two(share), two(bytes / items), two(grown / items)];
    }),
  );
  const between = sum([...roles.flatMap(pids), ...others].map(wrote)) - journal;
  const perAsk = (role: Role): string => two(sum(pids(role).map(used(done, asked, 'cpuMs'))) / asks.count);
  print(
    'whole fleet',
    ['figure'],
    [
      ['bytes written per item by nodes and samplers, journals left out', two(between / items)],
      ['journal bytes per item, all copies', two(journal / items)],
      [`cpu ms of one of ${asks.count} ordinary requests at fronts, cores`, `${perAsk('front')}, ${perAsk('core')}`],
      ['requests a second meanwhile', two((1000 * asks.count) / (asked.at - done.at))],
      ['ms from start to all fronts ready', two(readyAt)],
      ['bytes of the declared traffic, 12 bindings and 2 services', String(document.length)],
      ['of these, ms until the first declaration was taken', two(declared)],
    ],
  );
  if (outcome.completed !== items) throw new Error(`${items - outcome.completed} items did not complete`);
};

const folder = mkdtempSync(join(tmpdir(), 'foxdeck-bill-'));
const program = await loopbackFleet.bundle();
const cpuMs = (pid: number): number => processCost.of(pid).cpuMs;
const fleet = await loopbackFleet.start({ counts, folder, program, cpuMs });
try {
  await measure(fleet);
} finally {
  await fleet.stop();
  rmSync(folder, { recursive: true, force: true });
}
