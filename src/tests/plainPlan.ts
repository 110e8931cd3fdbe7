import type { Decision, SeatedItem, SeatedSampler, Seating } from '../front/seating.js';
import { seatingBasics } from '../front/seatingBasics.js';
import type { SeatingRules } from '../shared/configuration.js';

const { footprint, priority, nearlyComplete, activeOn, usage, lotBudget, versionFits, holds, open, expected } =
  seatingBasics;

const start = (seating: Seating, item: SeatedItem, sampler: SeatedSampler): Seating => ({
  ...seating,
  items: new Map(seating.items).set(item.key, {
    ...item,
    state: 'active',
    sampler: sampler.name,
    holderIncarnation: sampler.incarnation,
    holderVersion: sampler.version,
    promptTokens: item.state === 'waiting' ? expected(seating, item) : item.promptTokens,
  }),
});

const pause = (seating: Seating, item: SeatedItem, now: number): Seating => ({
  ...seating,
  items: new Map(seating.items).set(item.key, { ...item, state: 'paused', pausedAt: now }),
});

const pauses = (
  seating: Seating,
  rules: SeatingRules,
  sampler: SeatedSampler,
  now: number,
): readonly [Seating, ReadonlyArray<Decision>] => {
  let state = seating;
  const decisions: Decision[] = [];
  for (;;) {
    const active = activeOn(state, sampler.name);
    const used = usage(state, sampler);
    const own = used - sampler.interactive;
    const over = own > lotBudget(rules, sampler) || used > sampler.budget;
    if (!over || active.length === 0 || (active.length === 1 && used <= sampler.budget)) return [state, decisions];
    const lowest = [...active].sort(
      (left, right) =>
        Number(nearlyComplete(state, left)) - Number(nearlyComplete(state, right)) ||
        priority(state, rules, left) - priority(state, rules, right) ||
        (left.key < right.key ? 1 : -1),
    )[0]!;
    decisions.push({
      kind: 'pause',
      item: lowest.key,
      sampler: sampler.name,
      held: true,
      cause: 'over budget',
      figures: {
        used,
        budget: sampler.budget,
        lotBudget: lotBudget(rules, sampler),
        footprint: footprint(lowest),
        priority: priority(state, rules, lowest),
      },
    });
    state = pause(state, lowest, now);
  }
};

const resumable = (
  seating: Seating,
  rules: SeatingRules,
  sampler: SeatedSampler,
  now: number,
): ReadonlyArray<SeatedItem> =>
  [...seating.items.values()]
    .filter((item) => {
      if (item.state !== 'paused' || item.retryAt > now || !versionFits(item, sampler)) return false;
      if (sampler.closing && !(item.singleVersion && item.generated > 0)) return false;
      const holder = item.sampler === undefined ? undefined : seating.samplers.get(item.sampler);
      return holds(item, sampler) || holder === undefined || !open(holder) || !holds(item, holder);
    })
    .sort(
      (left, right) =>
        priority(seating, rules, right) - priority(seating, rules, left) ||
        left.step - right.step ||
        left.order - right.order,
    );

const admissible = (
  seating: Seating,
  rules: SeatingRules,
  sampler: SeatedSampler,
  room: number,
  now: number,
): SeatedItem | undefined => {
  const active = activeOn(seating, sampler.name);
  const penalty = (item: SeatedItem): number =>
    active.length === 0
      ? 0
      : (rules.diversityPenalty * active.filter((other) => other.taskType === item.taskType).length) / active.length;
  const probing = new Set(
    [...seating.items.values()]
      .filter((item) => item.state === 'active' || item.state === 'paused')
      .map((item) => item.group),
  );
  return [...seating.items.values()]
    .filter((item) => {
      if (item.state !== 'waiting' || item.retryAt > now || !versionFits(item, sampler)) return false;
      if (item.staleness !== undefined && item.step - seating.trainerStep > item.staleness) return false;
      const group = seating.groups.get(item.group);
      if (rules.mode === 'admit-all') return true;
      if (group?.probed === undefined && probing.has(item.group)) return false;
      if (expected(seating, item) > room) return false;
      const home = [...seating.items.values()].find(
        (other) => other.group === item.group && other.sampler !== undefined,
      )?.sampler;
      const homeSampler = home === undefined || home === sampler.name ? undefined : seating.samplers.get(home);
      return (
        homeSampler === undefined ||
        !open(homeSampler) ||
        !versionFits(item, homeSampler) ||
        lotBudget(rules, homeSampler) - usage(seating, homeSampler) < expected(seating, item)
      );
    })
    .sort((left, right) => left.step - right.step || penalty(left) - penalty(right) || left.order - right.order)[0];
};

const fills = (
  seating: Seating,
  rules: SeatingRules,
  sampler: SeatedSampler,
  now: number,
): readonly [Seating, ReadonlyArray<Decision>] => {
  let state = seating;
  const decisions: Decision[] = [];
  while (open(sampler)) {
    const used = usage(state, sampler);
    const room = Math.min(lotBudget(rules, sampler) - (used - sampler.interactive), sampler.budget - used);
    const paused = resumable(state, rules, sampler, now);
    const fitting = paused.find((item) => rules.mode === 'admit-all' || footprint(item) <= room);
    const figures = (item: SeatedItem) => ({
      used,
      room,
      budget: sampler.budget,
      footprint: item.state === 'waiting' ? expected(state, item) : footprint(item),
      priority: priority(state, rules, item),
    });
    if (fitting) {
      const held = holds(fitting, sampler);
      decisions.push({
        kind: 'resume',
        item: fitting.key,
        sampler: sampler.name,
        held,
        cause: held ? 'room on its prefix holder' : 'its prefix is not to be had',
        figures: figures(fitting),
      });
      state = start(state, fitting, sampler);
      continue;
    }
    if (sampler.closing || paused.some((item) => now - item.pausedAt > rules.starvationMs)) return [state, decisions];
    const fresh = admissible(state, rules, sampler, room, now);
    if (!fresh) return [state, decisions];
    decisions.push({
      kind: 'admit',
      item: fresh.key,
      sampler: sampler.name,
      held: false,
      cause: state.groups.get(fresh.group)?.probed === undefined ? 'probe of its group' : 'fits',
      figures: figures(fresh),
    });
    state = start(state, fresh, sampler);
  }
  return [state, decisions];
};

/** The plan as plain sums over all items, against which the quick one is held. */
export const plainPlan = (
  state: Seating,
  rules: SeatingRules,
  now: number,
): readonly [Seating, ReadonlyArray<Decision>] => {
  let next = state;
  let decisions: ReadonlyArray<Decision> = [];
  const order = [...state.samplers.values()].sort(
    (left, right) =>
      usage(state, left) / Math.max(1, left.budget) - usage(state, right) / Math.max(1, right.budget) ||
      (left.name < right.name ? -1 : 1),
  );
  for (const sampler of order) {
    const [paused, out] = rules.mode === 'ctb' ? pauses(next, rules, sampler, now) : ([next, []] as const);
    const [filled, put] = fills(paused, rules, sampler, now);
    next = filled;
    decisions = [...decisions, ...out, ...put];
  }
  return [next, decisions];
};
