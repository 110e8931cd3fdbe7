import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Effect } from 'effect';
import { realHttp } from '../edge/realHttp.js';
import { realTime } from '../edge/realTime.js';
import { Http } from '../shared/http.js';
import { Timepiece } from '../shared/timepiece.js';
import { makeClients, type Seen } from '../sim/clients.js';
import { judge } from '../sim/oracle.js';
import { readFinal } from '../sim/readFinal.js';
import type { SimFleet } from '../sim/simFleet.js';
import { makeWorld, type World } from '../sim/world.js';
import { deployment, type Deployment } from './deployment.js';
import { startFleet, type Fleet } from './fleetProcesses.js';
import { outside } from './outside.js';

const flag = (name: string, fallback: string): string => {
  const place = process.argv.indexOf(`--${name}`);
  return place < 0 ? fallback : (process.argv[place + 1] ?? fallback);
};
const file = flag('deployment', 'settings/ihuriro.json');
const workMs = Number(flag('work', '30000'));
const faults = flag('faults', 'yes') === 'yes';
const read = JSON.parse(readFileSync(file, 'utf8')) as Deployment;
const given: Deployment = {
  ...read,
  samplers: [...read.samplers, { service: 'other', kind: 'plain', count: 2, budget: 0, pieceMs: 10, loadMs: 0 }],
};
const seeded = makeWorld(Number(flag('seed', '1')));
const folder = mkdtempSync(join(tmpdir(), 'foxdeck-day-'));
const fleet: Fleet = await startFleet(given, folder);
const epoch = Date.now();
const now = (): number => Date.now() - epoch;
const world: World = { ...seeded, now };
const seen: Seen[] = [];
let stopAt = Infinity;
const clients = makeClients(world, { fronts: fleet.fronts, given } as unknown as SimFleet, seen, () => stopAt);
const running = <A>(work: Effect.Effect<A, never, Http | Timepiece>): Promise<A> =>
  Effect.runPromise(work.pipe(Effect.provideService(Http, realHttp), Effect.provideService(Timepiece, realTime())));
const say = (line: string): void => void process.stdout.write(`${(now() / 1000).toFixed(1)} s ${line}\n`);

/** Kills, freezes and empties processes one after another; what is frozen wakes, what is killed comes back. */
const trouble = async (): Promise<ReadonlyArray<string>> => {
  const history: string[] = [];
  const names = fleet.members.filter((member) => member.role !== 'sampler').map((member) => member.name);
  const samplers = fleet.members.filter((member) => member.role === 'sampler').map((member) => member.name);
  const pick = (from: ReadonlyArray<string>): string => from[Math.floor(world.chance() * from.length)]!;
  const disks = fleet.members.filter((member) => member.role === 'core' || member.role === 'store');
  while (now() < stopAt - 4000) {
    await outside.pause(world.between(500, 2500));
    // One data folder a day: a second one before the first is refilled would be one too many.
    if (history.length === 2) {
      const { name } = disks[Math.floor(world.chance() * disks.length)]!;
      history.push(`${(now() / 1000).toFixed(1)} data folder removed ${name}`);
      fleet.signal(name, 'SIGKILL');
      await fleet.ended(name);
      fleet.wipe(name);
      fleet.start(name);
      continue;
    }
    const kind = ['kill', 'kill', 'freeze', 'sampler kill', 'sampler leave'][Math.floor(world.chance() * 5)]!;
    const name = pick(kind.startsWith('sampler') ? samplers : names);
    history.push(`${(now() / 1000).toFixed(1)} ${kind} ${name}`);
    if (kind === 'freeze') {
      fleet.signal(name, 'SIGSTOP');
      await outside.pause(world.between(500, 6000));
      fleet.signal(name, 'SIGCONT');
      continue;
    }
    fleet.signal(name, kind === 'sampler leave' ? 'SIGTERM' : 'SIGKILL');
    await fleet.ended(name);
    await outside.pause(world.between(100, 2000));
    fleet.start(name);
  }
  return history;
};

try {
  const bootMs = await outside.until('every front to know every node and sampler', 60_000, async () => {
    const answers = await Promise.all(fleet.fronts.map((front) => outside.call(front, 'GET', '/foxdeck/status')));
    return answers.every(
      ({ body }) =>
        body['inForce'] === true &&
        body['nodes'] === deployment.nodes(given).length &&
        body['samplers'] === deployment.samplers(given).length,
    );
  });
  say(`booted in ${bootMs} ms: ${deployment.nodes(given).length} nodes, ${deployment.samplers(given).length} samplers`);
  await running(
    clients.change({ ...deployment.change(given), services: { ...given.change.services, other: { kind: 'plain' } } }),
  );
  stopAt = now() + workMs;
  const work = [
    ...['operator-a', 'operator-b'].map(clients.operator),
    ...['caller-a', 'caller-b', 'caller-c', 'caller-d'].map(clients.ordinary),
    ...['trainer-a', 'trainer-b'].map(clients.trainer),
    clients.sequences,
  ].map((each) => running(each));
  void running(clients.followers);
  const history = faults ? await trouble() : [];
  await Promise.all(work);
  const count = (kind: string, status?: number): number =>
    seen.filter((each) => each.kind === kind && (status === undefined || each['status'] === status)).length;
  say(`worked: ${count('ordinary')} requests, ${count('lot-told', 201)} lots, ${history.length} faults`);
  for (const line of history) say(`  ${line}`);
  if (faults) {
    const nodes = fleet.members.filter((member) => member.role !== 'sampler');
    for (const member of nodes) fleet.signal(member.name, 'SIGKILL');
    await Promise.all(nodes.map((member) => fleet.ended(member.name)));
    for (const member of nodes) fleet.start(member.name);
    say('last fault: the whole fleet was killed and started again');
  }
  await outside.pause(Number(flag('settle', '20000')));
  const final = await running(readFinal(clients, seen));
  const sights = fleet.sights().map((sight) => ({ ...sight, at: sight.at - epoch }));
  const { violations, checked } = judge(seen, sights, final);
  const statuses = new Map<string, number>();
  for (const each of seen.filter((one) => one.kind === 'ordinary'))
    statuses.set(
      `${String(each['status'])} ${String(each['outcome'] ?? '')}`.trim(),
      (statuses.get(`${String(each['status'])} ${String(each['outcome'] ?? '')}`.trim()) ?? 0) + 1,
    );
  say(`ordinary answers: ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(', ')}`);
  say(`checks: ${JSON.stringify(checked)}`);
  for (const violation of violations) say(`VIOLATION ${violation.rule}: ${violation.what}`);
  const checks = Object.values(checked).reduce((sum, number) => sum + number, 0);
  say(`${violations.length} violations, ${checks} checks; logs in ${folder}`);
  process.exitCode = violations.length > 0 ? 1 : 0;
} finally {
  await fleet.stop();
}
process.exit();
