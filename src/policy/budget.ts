/** An item that runs at a sampler, as its desk reckons it. */
export type Running = {
  readonly key: string;
  readonly group: string;
  /** Tokens of the prompt, which the group shares, and tokens made so far. */
  readonly prompt: number;
  readonly made: number;
  /** The weight that its lot's leader gave it, and whether its group is nearly complete. */
  readonly priority: number;
  readonly near: boolean;
};

/** The share of a sampler's cache that is left free: reports come late and events hold several tokens. */
const reserve = 0.1;

/** Tokens that items hold in a sampler's cache: what they made, and each group's prompt once. */
const usage = (running: ReadonlyArray<Running>): number => {
  const prompts = new Map<string, number>();
  let made = 0;
  for (const item of running) {
    made += item.made;
    prompts.set(item.group, Math.max(item.prompt, prompts.get(item.group) ?? 0));
  }
  return made + [...prompts.values()].reduce((sum, prompt) => sum + prompt, 0);
};

/** How many more items of a footprint fit; a sampler whose size is not known takes any, an empty one at least one. */
const fits = (cacheTokens: number, running: ReadonlyArray<Running>, footprint: number): number => {
  if (cacheTokens <= 0) return Infinity;
  const room = cacheTokens * (1 - reserve) - usage(running);
  const count = Math.max(0, Math.floor(room / Math.max(1, footprint)));
  return running.length === 0 ? Math.max(1, count) : count;
};

/** The item to pause while a sampler holds more than it may: the lowest one, nearly complete groups last. */
const victim = (cacheTokens: number, running: ReadonlyArray<Running>): Running | undefined => {
  if (cacheTokens <= 0 || running.length < 2 || usage(running) <= cacheTokens * (1 - reserve)) return undefined;
  const below = (one: Running, other: Running): boolean =>
    one.near !== other.near ? !one.near : one.priority < other.priority;
  return running.reduce((lowest, item) => (below(item, lowest) ? item : lowest));
};

/** A sampler's token budget, by footprints that are derived and never reported. */
export const budget = { usage, fits, victim };
