import type { SeatingRules } from '../shared/configuration.js';
import type { Decision, SeatedItem, SeatedSampler, Seating } from './seating.js';
import { seatingBasics } from './seatingBasics.js';

const { footprint, priority, nearlyComplete, lotBudget, versionFits, holds, open, awaited } = seatingBasics;

/** One sampler as a plan changes it: what is active there, and its sums. */
type Bench = {
  readonly sampler: SeatedSampler;
  active: SeatedItem[];
  used: number;
  readonly types: Map<string, number>;
};

/** Waiting items of one step and task type, in their order; what was unfit for a sampler is not looked at again. */
type Lane = { readonly step: number; readonly taskType: string; readonly items: ReadonlyArray<SeatedItem> };

/** The working table of one plan: sums and orders that are kept up as it decides. */
const workOf = (seating: Seating, rules: SeatingRules, now: number) => {
  const benches = new Map<string, Bench>();
  for (const sampler of seating.samplers.values()) {
    benches.set(sampler.name, {
      sampler,
      active: [],
      used: sampler.interactive + sampler.unexplained,
      types: new Map(),
    });
  }
  const changed = new Map<string, SeatedItem>();
  const places = new Map<string, number>();
  const homes = new Map<string, { readonly place: number; readonly sampler: string }>();
  const begun = new Set<string>();
  const paused: SeatedItem[] = [];
  const lanes = new Map<string, SeatedItem[]>();
  const count = (bench: Bench | undefined, item: SeatedItem, by: 1 | -1): void => {
    if (!bench) return;
    bench.used += by * footprint(item);
    bench.types.set(item.taskType, (bench.types.get(item.taskType) ?? 0) + by);
  };
  for (const item of seating.items.values()) {
    const place = places.size;
    places.set(item.key, place);
    if (item.sampler !== undefined && !homes.has(item.group)) homes.set(item.group, { place, sampler: item.sampler });
    if (item.state === 'active' || item.state === 'paused') begun.add(item.group);
    if (item.state === 'active') {
      const bench = benches.get(item.sampler ?? '');
      bench?.active.push(item);
      count(bench, item, 1);
    } else if (item.state === 'paused') paused.push(item);
    else if (item.state === 'waiting' && item.retryAt <= now) {
      if (item.staleness !== undefined && item.step - seating.trainerStep > item.staleness) continue;
      const lane = `${item.step} ${item.taskType}`;
      const known = lanes.get(lane);
      if (known) known.push(item);
      else lanes.set(lane, [item]);
    }
  }
  return { benches, changed, places, homes, begun, paused, lanes, count, seating, rules, now };
};

type Work = ReturnType<typeof workOf>;

const expected = (work: Work, item: SeatedItem): number =>
  Math.max(footprint(item), work.seating.groups.get(item.group)?.probed ?? 0);

const pauses = (work: Work, bench: Bench): ReadonlyArray<Decision> => {
  const { seating, rules, now } = work;
  const { sampler } = bench;
  const decisions: Decision[] = [];
  const budget = lotBudget(rules, sampler);
  const over = (): boolean => bench.used - sampler.interactive > budget || bench.used > sampler.budget;
  if (!over()) return decisions;
  const order = [...bench.active].sort(
    (left, right) =>
      Number(nearlyComplete(seating, left)) - Number(nearlyComplete(seating, right)) ||
      priority(seating, rules, left) - priority(seating, rules, right) ||
      (left.key < right.key ? 1 : -1),
  );
  while (over() && order.length > 0 && !(order.length === 1 && bench.used <= sampler.budget)) {
    const lowest = order.shift()!;
    decisions.push({
      kind: 'pause',
      item: lowest.key,
      sampler: sampler.name,
      held: true,
      cause: 'over budget',
      figures: {
        used: bench.used,
        budget: sampler.budget,
        lotBudget: budget,
        footprint: footprint(lowest),
        priority: priority(seating, rules, lowest),
      },
    });
    const next: SeatedItem = { ...lowest, state: 'paused', pausedAt: now };
    work.count(bench, lowest, -1);
    work.changed.set(next.key, next);
    work.paused.push(next);
  }
  bench.active = order;
  return decisions;
};

const start = (work: Work, bench: Bench, item: SeatedItem): void => {
  const { sampler } = bench;
  const next: SeatedItem = {
    ...item,
    state: 'active',
    sampler: sampler.name,
    holderIncarnation: sampler.incarnation,
    holderVersion: sampler.version,
    promptTokens: item.state === 'waiting' ? expected(work, item) : item.promptTokens,
  };
  work.changed.set(next.key, next);
  work.count(bench, next, 1);
  bench.active.push(next);
  work.begun.add(next.group);
  const place = work.places.get(next.key)!;
  const home = work.homes.get(next.group);
  if (!home || place <= home.place) work.homes.set(next.group, { place, sampler: sampler.name });
};

const roomOf = (work: Work, { sampler, used }: Bench): number =>
  Math.min(lotBudget(work.rules, sampler) - (used - sampler.interactive), sampler.budget - used);

const full = ({ sampler, active }: Bench): boolean => active.length >= (sampler.most ?? Infinity);

const figuresOf = (work: Work, bench: Bench, item: SeatedItem) => ({
  used: bench.used,
  room: roomOf(work, bench),
  budget: bench.sampler.budget,
  footprint: item.state === 'waiting' ? expected(work, item) : footprint(item),
  priority: priority(work.seating, work.rules, item),
});

/** Resumes what fits, highest priority first; answers whether an item that has waited too long still finds no room. */
const resumes = (work: Work, bench: Bench, decisions: Decision[]): boolean => {
  const { seating, rules, now } = work;
  const { sampler } = bench;
  let starving = false;
  const order = work.paused
    .filter((item) => {
      if (item.retryAt > now || !versionFits(item, sampler)) return false;
      if (sampler.closing && !(item.singleVersion && item.generated > 0)) return false;
      const holder = item.sampler === undefined ? undefined : seating.samplers.get(item.sampler);
      return holds(item, sampler) || holder === undefined || !awaited(holder) || !holds(item, holder);
    })
    .map((item) => ({ item, rank: priority(seating, rules, item) }))
    .sort((one, two) => two.rank - one.rank || one.item.step - two.item.step || one.item.order - two.item.order);
  const started = new Set<string>();
  for (const { item } of order) {
    if (full(bench)) break;
    if (rules.mode !== 'admit-all' && footprint(item) > roomOf(work, bench)) {
      starving ||= now - item.pausedAt > rules.starvationMs;
      continue;
    }
    const held = holds(item, sampler);
    decisions.push({
      kind: 'resume',
      item: item.key,
      sampler: sampler.name,
      held,
      cause: held ? 'room on its prefix holder' : 'its prefix is not to be had',
      figures: figuresOf(work, bench, item),
    });
    start(work, bench, item);
    started.add(item.key);
  }
  if (started.size > 0) {
    const left = work.paused.filter((item) => !started.has(item.key));
    work.paused.splice(0, work.paused.length, ...left);
  }
  return starving;
};

const admits = (work: Work, bench: Bench, decisions: Decision[]): void => {
  const { seating, rules } = work;
  const { sampler } = bench;
  const fits = (item: SeatedItem): boolean => {
    if (!versionFits(item, sampler)) return false;
    if (rules.mode === 'admit-all') return true;
    if (seating.groups.get(item.group)?.probed === undefined && work.begun.has(item.group)) return false;
    const size = expected(work, item);
    if (size > roomOf(work, bench)) return false;
    const home = work.benches.get(work.homes.get(item.group)?.sampler ?? '');
    if (home === undefined || home === bench || !awaited(home.sampler) || !versionFits(item, home.sampler)) return true;
    return lotBudget(rules, home.sampler) - home.used < size;
  };
  const penalty = (taskType: string): number =>
    bench.active.length === 0 ? 0 : (rules.diversityPenalty * (bench.types.get(taskType) ?? 0)) / bench.active.length;
  const places = new Map<string, number>();
  const lanes = [...work.lanes].map(([key, items]): Lane & { readonly key: string } => ({
    key,
    step: items[0]!.step,
    taskType: items[0]!.taskType,
    items,
  }));
  lanes.sort((left, right) => left.step - right.step);
  while (!full(bench)) {
    let best: { readonly item: SeatedItem; readonly cost: number } | undefined;
    for (const lane of lanes) {
      if (best && lane.step > best.item.step) break;
      let place = places.get(lane.key) ?? 0;
      while (place < lane.items.length && (work.changed.has(lane.items[place]!.key) || !fits(lane.items[place]!)))
        place += 1;
      places.set(lane.key, place);
      const item = lane.items[place];
      if (!item) continue;
      const cost = penalty(lane.taskType);
      if (!best || cost < best.cost || (cost === best.cost && item.order < best.item.order)) best = { item, cost };
    }
    if (!best) return;
    const { item } = best;
    decisions.push({
      kind: 'admit',
      item: item.key,
      sampler: sampler.name,
      held: false,
      cause: seating.groups.get(item.group)?.probed === undefined ? 'probe of its group' : 'fits',
      figures: figuresOf(work, bench, item),
    });
    start(work, bench, item);
  }
};

/** Decides for each sampler, the least used first: pauses, then resumes, then admissions. */
export const seatingPlan = (
  seating: Seating,
  rules: SeatingRules,
  now: number,
): readonly [Seating, ReadonlyArray<Decision>] => {
  const work = workOf(seating, rules, now);
  const decisions: Decision[] = [];
  const share = ({ used, sampler }: Bench): number => used / Math.max(1, sampler.budget);
  const order = [...work.benches.values()].sort(
    (left, right) => share(left) - share(right) || (left.sampler.name < right.sampler.name ? -1 : 1),
  );
  for (const bench of order) {
    if (rules.mode === 'ctb') decisions.push(...pauses(work, bench));
    if (!open(bench.sampler)) continue;
    const starving = resumes(work, bench, decisions);
    if (!bench.sampler.closing && !starving) admits(work, bench, decisions);
  }
  if (work.changed.size === 0) return [seating, decisions];
  const items = new Map(seating.items);
  for (const [key, item] of work.changed) items.set(key, item);
  return [{ ...seating, items }, decisions];
};
