import type { Sight } from '../dev/standIn.js';
import type { Seen } from './clients.js';
import type { Court } from './oracle.js';

const grouped = <A>(all: ReadonlyArray<A>, by: (each: A) => string): ReadonlyMap<string, ReadonlyArray<A>> => {
  const groups = new Map<string, A[]>();
  for (const each of all) groups.set(by(each), [...(groups.get(by(each)) ?? []), each]);
  return groups;
};

/** Ordinary requests: how often they ran, and whether their answers are what a sampler sent. */
export const judgeAsks = ({ of, saw, must }: Court): void => {
  const ran = grouped<Sight>(saw('ran'), (sight) => String(sight['id']));
  const tries = grouped<Seen>(of('ordinary'), (ask) => String(ask['id']));
  for (const [id, asks] of tries) {
    const runs = ran.get(id) ?? [];
    if (asks[0]!['once']) must('once-only runs once', runs.length <= 1, () => `${id} ran ${runs.length} times`);
    if (asks.every((ask) => ask['outcome'] === 'bounced')) {
      must('a bounce never ran', runs.length === 0, () => `${id} was only bounced, but ran ${runs.length} times`);
    }
    for (const ask of asks.filter((each) => each['status'] === 200)) {
      const got = String(ask['text']);
      const same = runs.some((run) => run['answer'] === got);
      must("a success is the sampler's own complete answer", same, () => `${id} got ${got.slice(0, 80)}`);
      if (ask['asks'] === 'model') must('an answer of a model is its own and whole', same, () => `${id} got ${got}`);
      if (ask['repeat'] === true) {
        must("a repeat is given the first run's answer", same && runs.length === 1, () => `${id} got ${got}`);
      }
    }
  }
};
