import { readFileSync } from 'node:fs';
import { Effect } from 'effect';
import { makeClients, type Seen } from '../sim/clients.js';
import { startSimFleet } from '../sim/simFleet.js';
import { makeWorld } from '../sim/world.js';
import { deployment, type Deployment } from './deployment.js';

const file = process.argv[2] ?? 'settings/small.json';
const seeds = Number(process.argv[3] ?? '5');
const read = JSON.parse(readFileSync(file, 'utf8')) as Deployment;
const given: Deployment = {
  ...read,
  samplers: read.samplers.map((group) =>
    group.kind === 'model' ? { ...group, budget: Number(process.argv[4] ?? '2500') } : group,
  ),
};
const lotsMost = 4;

type Figures = {
  readonly prefillTokens: number;
  readonly startsFresh: number;
  readonly startsHeld: number;
  readonly evictions: number;
  readonly meanGroupMs: number;
  readonly lastMs: number;
  readonly failed: number;
};

/** One run: the same lots, all handed over at once, under one mode; times are virtual. */
const measured = (seed: number, mode: 'ctb' | 'admit-all'): Figures => {
  const world = makeWorld(seed);
  const fleet = startSimFleet(world, given);
  const seen: Seen[] = [];
  const clients = makeClients(world, fleet, seen, () => Infinity);
  let accepted = 0;
  let ids: ReadonlyArray<string> = [];
  let over = false;
  fleet.client(
    'trainer',
    Effect.gen(function* () {
      while (accepted === 0) {
        yield* Effect.sleep(500);
        const told = yield* clients.change({ ...deployment.change(given), seating: { mode } });
        if (told.status === 200) accepted = world.now();
      }
      yield* Effect.sleep(5000);
      accepted = world.now();
      ids = yield* Effect.forEach(
        Array.from({ length: lotsMost }),
        (_, index) =>
          Effect.gen(function* () {
            const groups = Array.from({ length: 4 }, (__, group) => ({
              items: Array.from({ length: 4 }, () => ({
                prompt: `lot ${index} group ${group} seed ${seed} ${'practice '.repeat(60)}`,
              })),
            }));
            for (;;) {
              const told = yield* clients.ask(clients.front(), 'POST', '/foxdeck/lots', {
                key: `m-${index}`,
                service: clients.model,
                step: index,
                taskType: given.taskTypes[index % given.taskTypes.length],
                groups,
              });
              if (told.status === 201) return String(told.body['id']);
              yield* Effect.sleep(200);
            }
          }),
        { concurrency: 'unbounded' },
      );
      for (const id of ids) {
        for (;;) {
          const told = yield* clients.ask(clients.front(), 'GET', `/foxdeck/lots/${id}`);
          if (told.status === 200 && told.body['state'] !== 'open') break;
          yield* Effect.sleep(500);
        }
      }
      over = true;
    }),
  );
  while (!over && world.now() < 600_000) world.runUntil(world.now() + 1000);
  const at = (line: string): number => Date.parse(/at=(\S+)/.exec(line)![1]!) - 1_800_000_000_000;
  const finished = fleet.lines.filter((line) => line.includes('event=item_finished'));
  const groups = new Map<string, number>();
  for (const line of finished) {
    const group = /item=([^/]+\/\d+)\//.exec(line)![1]!;
    groups.set(group, Math.max(groups.get(group) ?? 0, at(line)));
  }
  const counts = [...fleet.machines.values()].map((machine) => machine.node?.context.log.counts() ?? {});
  const sum = (name: string): number => counts.reduce((total, each) => total + (each[name] ?? 0), 0);
  return {
    prefillTokens: sum('prefill_tokens'),
    startsFresh: sum('starts_fresh'),
    startsHeld: sum('starts_held'),
    evictions: fleet.sights.filter((sight) => sight.kind === 'evict' && sight['active'] === true).length,
    meanGroupMs: Math.round(
      [...groups.values()].reduce((total, end) => total + end - accepted, 0) / Math.max(1, groups.size),
    ),
    lastMs: Math.round(Math.max(0, ...groups.values()) - accepted),
    failed: finished.filter((line) => line.includes('state=failed')).length,
  };
};

for (let seed = 1; seed <= seeds; seed += 1) {
  for (const mode of ['ctb', 'admit-all'] as const)
    process.stdout.write(
      `seed=${seed} mode=${mode} ${Object.entries(measured(seed, mode))
        .map(([name, value]) => `${name}=${value}`)
        .join(' ')}\n`,
    );
}
process.exit(0);
