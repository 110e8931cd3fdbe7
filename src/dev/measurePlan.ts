import { performance } from 'node:perf_hooks';
import { configuration } from '../shared/configuration.js';
import { seating, type SeatedItem, type SeatedSampler, type Seating } from '../front/seating.js';

const rules = configuration.founded([]).seating;
const samplers = 16;
const budget = 400_000;

/** A table of one service: a sixth of the items active, a sixth paused, the rest waiting. */
const tableOf = (count: number): Seating => {
  const names = Array.from({ length: samplers }, (_, place) => `sampler-${place}`);
  const items = Array.from({ length: count }, (_, place): SeatedItem => {
    const state = place % 6 === 0 ? 'active' : place % 6 === 1 ? 'paused' : 'waiting';
    const sampler = state === 'waiting' ? undefined : names[place % samplers];
    return {
      key: `lot/${Math.floor(place / 8)}/${place % 8}`,
      lot: 'lot',
      group: `lot/${Math.floor(place / 8)}`,
      step: 0,
      order: place,
      taskType: ['a', 'b', 'c'][place % 3]!,
      minVersion: 0,
      singleVersion: false,
      staleness: undefined,
      promptTokens: 300,
      generated: state === 'waiting' ? 0 : 200 + (place % 700),
      state,
      sampler,
      holderIncarnation: 1,
      holderVersion: 1,
      version: 1,
      pausedAt: 0,
      retryAt: 0,
    };
  });
  const seated = names.map((name): [string, SeatedSampler] => [
    name,
    {
      name,
      incarnation: 1,
      budget,
      version: 1,
      ready: true,
      loading: false,
      closing: false,
      interactive: 0,
      unexplained: 0,
    },
  ]);
  const groups = new Map(items.map((item) => [item.group, { finished: 0, size: 8, probed: 900 }]));
  return { items: new Map(items.map((item) => [item.key, item])), samplers: new Map(seated), groups, trainerStep: 0 };
};

for (const count of [100, 1000, 10_000]) {
  const table = tableOf(count);
  const times: number[] = [];
  let decisions = 0;
  const runs = count > 5000 ? 3 : 7;
  for (let run = 0; run < runs; run += 1) {
    const start = performance.now();
    decisions = seating.plan(table, rules, 1000)[1].length;
    times.push(performance.now() - start);
  }
  times.sort((left, right) => left - right);
  const [least, middle, most] = [times[0]!, times[Math.floor(times.length / 2)]!, times.at(-1)!].map((each) =>
    each.toFixed(1),
  );
  const figures = `min=${least} median=${middle} max=${most}`;
  process.stdout.write(`items=${count} samplers=${samplers} decisions=${decisions} ms ${figures} runs=${runs}\n`);
}
