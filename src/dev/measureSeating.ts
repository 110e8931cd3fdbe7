import { readFileSync } from 'node:fs';
import { Effect } from 'effect';
import { seating, type SeatedItem, type Seating } from '../front/seating.js';
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
const models = given.samplers.reduce((sum, group) => sum + (group.kind === 'model' ? group.count : 0), 0);
const lotsMost = Math.round((4 * models) / 3);

const { plan } = seating;
const changed = (state: Seating, change: (item: SeatedItem) => SeatedItem): Seating => ({
  ...state,
  items: new Map([...state.items].map(([key, item]) => [key, change(item)])),
});
/** What is measured: the whole of CTB, none of it, and each of its three rules switched off alone. */
const plans: Readonly<Record<string, typeof plan>> = {
  ctb: plan,
  'admit-all': plan,
  'no-fit': (state, rules, now) => {
    const free = changed(state, (item) => (item.state === 'waiting' ? { ...item, promptTokens: 0 } : item));
    const groups = new Map([...state.groups].map(([key, group]) => [key, { ...group, probed: 0 }]));
    return plan({ ...free, groups }, rules, now);
  },
  'no-pause': (state, rules, now) => {
    const [next, decisions] = plan(state, rules, now);
    return [next, decisions.filter((each) => each.kind !== 'pause')];
  },
  'admit-first': (state, rules, now) => {
    const hidden = changed(state, (item) => (item.state === 'paused' ? { ...item, retryAt: Infinity } : item));
    const [admitted, first] = plan(hidden, rules, now);
    const shown = changed(admitted, (item) => {
      const before = state.items.get(item.key)!;
      return before.state === 'paused' ? before : item;
    });
    const [next, then] = plan(shown, rules, now);
    return [next, [...first, ...then]];
  },
};

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
const measured = (seed: number, name: string): Figures => {
  const mode = name === 'admit-all' ? name : 'ctb';
  seating.plan = plans[name]!;
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
  for (const mode of Object.keys(plans))
    process.stdout.write(
      `seed=${seed} mode=${mode} ${Object.entries(measured(seed, mode))
        .map(([name, value]) => `${name}=${value}`)
        .join(' ')}\n`,
    );
}
process.exit(0);
