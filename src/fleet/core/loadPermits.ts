/** A front's wish to load a version at a sampler, with what waits for that version. */
export type LoadWish = {
  readonly sampler: string;
  readonly model: string;
  readonly version: number;
  /** Items that wait, the time until they are due, and how long one runs. */
  readonly items: number;
  readonly leftMs: number;
  readonly runMs: number;
  readonly slots: number;
  /** How many samplers the service has, and how many models share them. */
  readonly samplers: number;
  readonly models: number;
};

/** Says which samplers load new weights: few at once, and no more of them than the waiting work needs. */
export type LoadPermits = {
  readonly ask: (wish: LoadWish) => { readonly granted: boolean };
  /** A load is over; one that failed does not count among those that the work needs. */
  readonly done: (
    load: Pick<LoadWish, 'sampler' | 'model' | 'version'> & { readonly failed?: boolean },
  ) => Record<string, never>;
};

/** Loads slow down when too many run; this share of a service's samplers, and two at least, was well. */
const atOnceShare = 0.25;
const atOnceLeast = 2;
const underMs = 1800;
const spareShare = 0.4;
const grantedMs = 60_000;

/** Makes a core's permits: soft state, since more loads than meant are only slower. */
export const makeLoadPermits = (now: () => number, alive: (sampler: string) => boolean = () => true): LoadPermits => {
  const under = new Map<string, number>();
  const granted = new Map<string, { readonly samplers: Set<string>; readonly at: number }>();
  return {
    ask: (wish) => {
      const at = now();
      for (const [key, until] of under) if (until <= at) under.delete(key);
      for (const [key, each] of granted) if (at - each.at > grantedMs) granted.delete(key);
      const key = `${wish.model} ${wish.version}`;
      const entry = granted.get(key) ?? { samplers: new Set<string>(), at };
      const time = Math.max(300, wish.leftMs * spareShare);
      const need = Math.ceil((wish.items * wish.runMs) / (Math.max(1, wish.slots) * time));
      // As many loads are free as there are samplers for one trainer, where all share alike.
      const least = Math.max(2, Math.floor(wish.samplers / Math.max(1, wish.models)));
      const atOnce = Math.max(atOnceLeast, Math.floor(wish.samplers * atOnceShare));
      const loaded = [...entry.samplers].filter(alive).length;
      const enough = loaded >= Math.max(least, need) && !entry.samplers.has(wish.sampler);
      if (enough || (under.size >= atOnce && !under.has(wish.sampler))) return { granted: false };
      entry.samplers.add(wish.sampler);
      granted.set(key, entry);
      under.set(wish.sampler, at + underMs);
      return { granted: true };
    },
    done: ({ sampler, model, version, failed }) => {
      under.delete(sampler);
      if (failed) granted.get(`${model} ${version}`)?.samplers.delete(sampler);
      return {};
    },
  };
};
