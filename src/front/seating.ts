import type { SeatingRules } from '../shared/configuration.js';

/** A generation as the seater sees it. */
export type SeatedItem = {
  readonly key: string;
  readonly lot: string;
  readonly group: string;
  readonly step: number;
  readonly order: number;
  readonly taskType: string;
  readonly minVersion: number;
  readonly singleVersion: boolean;
  readonly staleness: number | undefined;
  readonly promptTokens: number;
  readonly generated: number;
  readonly state: 'waiting' | 'active' | 'paused' | 'done';
  /** Where it runs, or where its prefix was left. */
  readonly sampler: string | undefined;
  readonly holderIncarnation: number;
  readonly holderVersion: number;
  /** The version of the last piece, and of all pieces of a text that may not mix them. */
  readonly version: number;
  readonly pausedAt: number;
  readonly retryAt: number;
};

/** A sampler as the seater sees it. */
export type SeatedSampler = {
  readonly name: string;
  readonly incarnation: number;
  readonly budget: number;
  readonly version: number;
  readonly ready: boolean;
  readonly loading: boolean;
  /** Kept on its version only for texts of a single version that were begun on it. */
  readonly closing: boolean;
  /** Tokens of interactive requests that run on it. */
  readonly interactive: number;
  /** Tokens that the sampler reports and no known item explains. */
  readonly unexplained: number;
};

/** All that seating decides from. */
export type Seating = {
  readonly items: ReadonlyMap<string, SeatedItem>;
  readonly samplers: ReadonlyMap<string, SeatedSampler>;
  /** Items of a group that are done, and all of them. */
  readonly groups: ReadonlyMap<
    string,
    { readonly finished: number; readonly size: number; readonly probed: number | undefined }
  >;
  readonly trainerStep: number;
};

/** A decision, with the figures that it rests on. */
export type Decision = {
  readonly kind: 'pause' | 'resume' | 'admit';
  readonly item: string;
  readonly sampler: string;
  /** Whether the sampler still holds the prefix: it goes on by Last-Event-Id, else it prefills afresh. */
  readonly held: boolean;
  readonly cause: string;
  readonly figures: Readonly<Record<string, number>>;
};

const footprint = (item: SeatedItem): number => item.promptTokens + item.generated;

const priority = (seating: Seating, rules: SeatingRules, item: SeatedItem): number => {
  const group = seating.groups.get(item.group);
  const finished = group && group.size > 0 ? group.finished / group.size : 0;
  return (
    rules.finishedWeight * finished +
    (item.state === 'active' ? rules.activeWeight : 0) +
    (rules.perThousandWeight * footprint(item)) / 1000
  );
};

const nearlyComplete = (seating: Seating, item: SeatedItem): boolean => {
  const group = seating.groups.get(item.group);
  return group !== undefined && group.finished / group.size >= 0.75;
};

const activeOn = (seating: Seating, sampler: string): ReadonlyArray<SeatedItem> =>
  [...seating.items.values()].filter((item) => item.state === 'active' && item.sampler === sampler);

const usage = (seating: Seating, sampler: SeatedSampler): number =>
  activeOn(seating, sampler.name).reduce((sum, item) => sum + footprint(item), 0) +
  sampler.interactive +
  sampler.unexplained;

const lotBudget = (rules: SeatingRules, sampler: SeatedSampler): number =>
  Math.floor(sampler.budget * (1 - rules.reserve));

const versionFits = (item: SeatedItem, sampler: SeatedSampler): boolean =>
  sampler.version >= item.minVersion &&
  (!item.singleVersion || item.generated === 0 || sampler.version === item.version);

const holds = (item: SeatedItem, sampler: SeatedSampler | undefined): boolean =>
  sampler !== undefined &&
  item.sampler === sampler.name &&
  item.holderIncarnation === sampler.incarnation &&
  item.holderVersion === sampler.version;

const open = (sampler: SeatedSampler): boolean => sampler.ready && !sampler.loading;

/** What an item would take on admission: its own count, or what its group's probe showed. */
const expected = (seating: Seating, item: SeatedItem): number =>
  Math.max(footprint(item), seating.groups.get(item.group)?.probed ?? 0);

/** Why a waiting or paused item does not run, most telling reason first. */
const obstacle = (seating: Seating, item: SeatedItem, rules: SeatingRules): string => {
  const samplers = [...seating.samplers.values()].filter(open);
  if (samplers.length === 0) return 'no sampler is ready';
  if (!samplers.some((sampler) => versionFits(item, sampler))) {
    return item.singleVersion && item.generated > 0
      ? `no ready sampler has version ${item.version}`
      : `no ready sampler has version ${item.minVersion} or later`;
  }
  if (item.state === 'waiting' && item.staleness !== undefined && item.step - seating.trainerStep > item.staleness) {
    return `step ${item.step} is over ${item.staleness} ahead of the trainer's step ${seating.trainerStep}`;
  }
  const group = seating.groups.get(item.group);
  if (
    item.state === 'waiting' &&
    rules.mode === 'ctb' &&
    group?.probed === undefined &&
    [...seating.items.values()].some(
      (other) => other.group === item.group && other.state !== 'waiting' && other.state !== 'done',
    )
  ) {
    return "waits for its group's probe";
  }
  const holder = item.sampler === undefined ? undefined : seating.samplers.get(item.sampler);
  if (item.state === 'paused' && holder && open(holder) && holds(item, holder))
    return `waits for room on its prefix holder ${holder.name}`;
  return 'no sampler has room for it';
};

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

/** Continuous Task Batching as a reducer: what to pause, then what to resume, then what to admit. */
export const seating = {
  plan: (state: Seating, rules: SeatingRules, now: number): readonly [Seating, ReadonlyArray<Decision>] => {
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
  },
  priority,
  footprint,
  usage,
  versionFits,
  holds,
  obstacle,
  lotBudget,
  activeOn,
};
