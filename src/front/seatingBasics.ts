import type { SeatingRules } from '../shared/configuration.js';
import type { SeatedItem, SeatedSampler, Seating } from './seating.js';

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

/** Whether an item waits for the holder of its prefix, or of its group's: not for a slow one. */
const awaited = (sampler: SeatedSampler): boolean => open(sampler) && sampler.most === undefined;

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

/** What seating knows of items and samplers, figure by figure. */
export const seatingBasics = {
  footprint,
  priority,
  nearlyComplete,
  activeOn,
  usage,
  lotBudget,
  versionFits,
  holds,
  open,
  awaited,
  expected,
  obstacle,
};
