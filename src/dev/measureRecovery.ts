import { readFileSync } from 'node:fs';
import { Effect } from 'effect';
import { makeClients, type Seen } from '../sim/clients.js';
import { startSimFleet } from '../sim/simFleet.js';
import { makeWorld } from '../sim/world.js';
import { deployment, type Deployment } from './deployment.js';

const given = JSON.parse(readFileSync(process.argv[2] ?? 'settings/small.json', 'utf8')) as Deployment;
const seeds = Number(process.argv[3] ?? '10');
const epoch = 1_800_000_000_000;

type Figures = Readonly<Record<'changeMs' | 'takeoverMs' | 'resumeMs' | 'restartMs', number>>;

/** One run: a change, the seater's death, a busy sampler's death, and a restart of the whole fleet. */
const measured = (seed: number): Figures => {
  const world = makeWorld(seed);
  const fleet = startSimFleet(world, given);
  const seen: Seen[] = [];
  const clients = makeClients(world, fleet, seen, () => Infinity);
  const at = (line: string): number => Date.parse(/at=(\S+)/.exec(line)![1]!) - epoch;
  const until = (done: () => boolean, mostMs = 120_000): number => {
    const from = world.now();
    while (!done() && world.now() < from + mostMs) world.runUntil(world.now() + 5);
    return world.now() - from;
  };
  let taken = false;
  fleet.client(
    'founder',
    Effect.gen(function* () {
      while (!taken) {
        yield* Effect.sleep(500);
        taken = (yield* clients.change(deployment.change(given))).status === 200;
      }
    }),
  );
  until(() => taken);
  world.runUntil(world.now() + 6000 + 1000 * world.chance());

  let changed = false;
  fleet.client(
    'operator',
    Effect.map(clients.change({ id: 'measured', seating: { starvationMs: 4000 } }), (told) => {
      changed = told.status === 200;
    }),
  );
  const changeMs = until(() => changed);

  const seaterOf = (): string | undefined =>
    [...fleet.machines.values()].find(
      (machine) =>
        machine.process.alive() && machine.node?.context.leases.held().some((duty) => duty.startsWith('seat/')),
    )?.name;
  until(() => seaterOf() !== undefined);
  const seater = fleet.machines.get(seaterOf()!)!;
  seater.process.kill();
  const takeoverMs = until(() => seaterOf() !== undefined && seaterOf() !== seater.name);
  seater.start();

  const prompts = Array.from({ length: 4 }, (_, group) => ({
    items: Array.from({ length: 4 }, () => ({ prompt: `${seed} ${group} ${'practice '.repeat(40)}` })),
  }));
  fleet.client(
    'trainer',
    Effect.asVoid(
      clients.ask(
        [...fleet.machines.values()].find((machine) => machine.name === seaterOf())!.http,
        'POST',
        '/foxdeck/lots',
        { key: 'measured', service: clients.model, step: 0, taskType: given.taskTypes[0], groups: prompts },
      ),
    ),
  );
  const pieces = (): number =>
    [...fleet.machines.values()].reduce((sum, machine) => sum + (machine.node?.context.log.counts()['pieces'] ?? 0), 0);
  const before = pieces();
  until(() => pieces() > before + 60);
  const busy = fleet.lines
    .filter((line) => line.includes('event=item_admit'))
    .map((line) => /sampler=(\S+)/.exec(line)![1]!)
    .at(-1)!;
  const killedAt = world.now();
  fleet.machines.get(busy)!.process.kill();
  const resumed = (): string | undefined =>
    fleet.lines.find((line) => line.includes('event=item_resume') && at(line) > killedAt);
  until(() => resumed() !== undefined);
  const resumeMs = resumed() ? at(resumed()!) - killedAt : NaN;
  fleet.machines.get(busy)!.start();

  for (const machine of fleet.machines.values()) if (machine.role !== 'sampler') machine.process.kill();
  world.runUntil(world.now() + 100);
  for (const machine of fleet.machines.values()) if (machine.role !== 'sampler') machine.start();
  const path = Object.values(given.change.bindings).find((binding) => binding.methods.includes('GET'))!.path;
  let served = false;
  fleet.client(
    'caller',
    Effect.gen(function* () {
      while (!served) {
        served = (yield* clients.ask(clients.front(), 'GET', `${path}/x`, undefined, {}, 1000)).status === 200;
        yield* Effect.sleep(50);
      }
    }),
  );
  return { changeMs, takeoverMs, resumeMs, restartMs: until(() => served) };
};

const all = Array.from({ length: seeds }, (_, index) => measured(index + 1));
for (const name of ['changeMs', 'takeoverMs', 'resumeMs', 'restartMs'] as const) {
  const sorted = all.map((each) => each[name]).sort((left, right) => left - right);
  process.stdout.write(
    [
      name,
      `min=${sorted[0]!.toFixed(0)}`,
      `median=${sorted[Math.floor(sorted.length / 2)]!.toFixed(0)}`,
      `max=${sorted.at(-1)!.toFixed(0)}`,
      `runs=${sorted.length}\n`,
    ].join(' '),
  );
}
process.exit(0);
