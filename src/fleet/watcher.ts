import type { Channels } from '../edge/channels.js';
import { rendezvous } from '../shared/rendezvous.js';
import { table } from '../shared/table.js';
import type { Followed, Member, Sampler } from './fleetTypes.js';

/** What a watcher says it knows already. */
export type WatchRequest = {
  /** The asking node; only its name and life where this life of the core was told the rest before. */
  readonly self?: Member;
  readonly brief?: Pick<Member, 'name' | 'incarnation'>;
  readonly incarnation: number;
  readonly revision: number;
  readonly sequence: number;
  readonly trafficVersion: number;
};

/** What moved on in the register; parts that did not change since the sequence of the request are left out. */
export type FollowedChange = Pick<Followed, 'sequence' | 'models'> &
  Partial<Pick<Followed, 'stores' | 'voters' | 'electorate' | 'traffic'>>;

/** A sequence that a majority of voters confirmed to be the newest, and how long before this answer it was asked. */
export type ConfirmedSequence = { readonly sequence: number; readonly agoMs: number };

/** What is newer at a core. */
export type WatchResponse = {
  readonly core: string;
  readonly incarnation: number;
  readonly revision: number;
  /** All members for a first ask, otherwise those that changed; and the names that left. */
  readonly members?: ReadonlyArray<Member>;
  readonly left?: ReadonlyArray<string>;
  readonly samplers?: ReadonlyArray<Sampler>;
  readonly followed?: FollowedChange;
  readonly confirmed?: ConfirmedSequence;
  /** The core knows no more of the asking node than what it was told just now. */
  readonly selfUnknown?: boolean;
  /** A former life of the asking node is known under this incarnation, so its word was not taken. */
  readonly outlived?: number;
};

/** The fleet as one process knows it: a snapshot that is swapped whole. */
export type FleetView = {
  readonly members: ReadonlyMap<string, Member>;
  readonly samplers: ReadonlyMap<string, Sampler>;
  readonly followed: Followed | undefined;
};

/** Follows every core it knows of, by long pulls. */
export type Watcher = {
  readonly view: () => FleetView;
  /** Tells all cores at once what this node has become. */
  readonly tell: () => void;
  /** True once some core has told its tables. */
  readonly heard: () => boolean;
  /** When a core answered last, by the steady clock. */
  readonly heardAt: () => number;
  /** No change of the register that the view lacks was decided before this time, by the steady clock. */
  readonly confirmedAt: () => number;
  /** Called after each change of the snapshot, with what changed. */
  readonly onChange: (listener: (before: FleetView, after: FleetView) => void) => void;
  /** Follows these cores too, from now on. */
  readonly reseed: (seeds: ReadonlyArray<string>) => void;
  readonly stop: () => void;
};

type CoreView = {
  readonly heardAt: number;
  readonly incarnation: number;
  readonly revision: number;
  readonly members: ReadonlyArray<Member>;
  readonly samplers: ReadonlyMap<string, Sampler>;
};

const nothingFollowed: Omit<Followed, 'sequence' | 'models'> = {
  stores: { epoch: 0, current: [], previous: [] },
  voters: [],
  electorate: 0,
  traffic: undefined,
};
const pullMs = 2000;
const staleMs = 2600;
const pauseMs = 250;

/** Of two words on one sampler the later one: an end is final, then the higher beat, then a doubt at the same beat. */
const later = (one: Sampler, other: Sampler): Sampler => {
  if (one.state === 'gone' || other.state === 'gone') return one.state === 'gone' ? one : other;
  if (one.beat !== other.beat) return one.beat > other.beat ? one : other;
  return one.quiet ? one : other;
};

const merge = (views: ReadonlyArray<CoreView>, followed: Followed | undefined): FleetView => {
  const members = new Map<string, Member>();
  const samplers = new Map<string, Sampler>();
  for (const view of views) {
    for (const member of view.members) {
      const known = members.get(member.name);
      if (!known || member.incarnation >= known.incarnation) members.set(member.name, member);
    }
    for (const sampler of view.samplers.values()) {
      const known = samplers.get(sampler.id);
      samplers.set(sampler.id, known ? later(known, sampler) : sampler);
    }
  }
  return { members, samplers, followed };
};

const membersAfter = (before: ReadonlyArray<Member>, heard: WatchResponse): ReadonlyArray<Member> => {
  if (!heard.members) return before;
  const gone = new Set([...(heard.left ?? []), ...heard.members.map((member) => member.name)]);
  return [...before.filter((member) => !gone.has(member.name)), ...heard.members];
};

/** The rules by which several cores' words become one. */
const makeWatcher = (options: {
  readonly channels: Channels;
  readonly seeds: ReadonlyArray<string>;
  readonly self: () => Member;
  readonly now: () => number;
  /** A former life of this node is known under that incarnation: `self` has to name a greater one from now on. */
  readonly outlive?: (incarnation: number) => void;
  /**
   * How many cores may be lost at once, where not all are to be followed. Cores pass samplers and the register on, but
   * members only as they heard them, so any two nodes must follow a core in common, also after that loss.
   */
  readonly tolerance?: number;
}): Watcher => {
  const { channels, now } = options;
  const empty: FleetView = { members: new Map(), samplers: new Map(), followed: undefined };
  const state = table(empty);
  const cores = new Map<string, CoreView>();
  const running = new Set<string>();
  const listeners: Array<(before: FleetView, after: FleetView) => void> = [];
  let stopped = false;
  let heardAt = -Infinity;
  let confirmedAt = -Infinity;

  /** The cores to follow: the nearest by rendezvous, so that each is followed by its share of the nodes. */
  const chosen = (view: FleetView): ReadonlyArray<string> => {
    const all = [...view.members.values()].filter((member) => member.role === 'core' && member.state !== 'leaving');
    const width = watchers.width(all.length, options.tolerance);
    if (all.length <= width) return all.map((member) => member.peer);
    const { name } = options.self();
    const first = rendezvous(
      name,
      all.map((member) => member.name),
    ).slice(0, width);
    return all.filter((member) => first.includes(member.name)).map((member) => member.peer);
  };
  const wanted = (address: string): boolean => {
    const view = state.get();
    const cores = chosen(view);
    return cores.length === 0 || cores.includes(address);
  };
  const publish = (followed: Followed | undefined): void => {
    const live = [...cores.values()].filter((view) => now() - view.heardAt < staleMs);
    const before = state.get();
    const views = live.length > 0 ? live : [...cores.values()];
    const after = state.swap(() => merge(views, followed));
    for (const listener of listeners) listener(before, after);
    for (const address of chosen(after)) run(address);
  };
  const take = (address: string, heard: WatchResponse): void => {
    const known = cores.get(address);
    const same = known?.incarnation === heard.incarnation ? known : undefined;
    const samplers = heard.samplers
      ? new Map([...(same?.samplers ?? []), ...heard.samplers.map((sampler) => [sampler.id, sampler] as const)])
      : (same?.samplers ?? new Map<string, Sampler>());
    cores.set(address, {
      heardAt: now(),
      incarnation: heard.incarnation,
      revision: heard.revision,
      members: membersAfter(same?.members ?? [], heard),
      samplers,
    });
    const had = state.get().followed;
    const newer = heard.followed && heard.followed.sequence > (had?.sequence ?? 0) ? heard.followed : undefined;
    const followed = newer ? { ...nothingFollowed, ...had, ...newer } : had;
    const revived = known === undefined || now() - known.heardAt > staleMs;
    if (newer || heard.members || heard.samplers || revived) publish(followed);
  };
  /** The answer was made after it was asked for, so the confirmation is no older than counted from then. */
  const noteContact = (askedAt: number, confirmed: ConfirmedSequence | undefined): void => {
    heardAt = now();
    if (confirmed && (state.get().followed?.sequence ?? 0) >= confirmed.sequence)
      confirmedAt = Math.max(confirmedAt, askedAt - confirmed.agoMs);
  };
  const run = (address: string): void => {
    if (running.has(address) || stopped) return;
    running.add(address);
    void (async () => {
      let faults = 0;
      /** What this life of the core was told of this node. */
      let told: { readonly core: number; readonly text: string } | undefined;
      while (!stopped) {
        const known = cores.get(address);
        const { followed } = state.get();
        const self = options.self();
        const text = JSON.stringify(self);
        const brief = told?.text === text && told.core === known?.incarnation;
        const ask: WatchRequest = {
          ...(brief ? { brief: { name: self.name, incarnation: self.incarnation } } : { self }),
          incarnation: known?.incarnation ?? 0,
          revision: known?.revision ?? 0,
          sequence: followed?.sequence ?? 0,
          trafficVersion: followed?.traffic?.version ?? 0,
        };
        const askedAt = now();
        try {
          const heard = (await channels.call(address, 'watch.poll', ask, pullMs)) as WatchResponse;
          faults = 0;
          told = undefined;
          if (heard.selfUnknown) continue;
          if (heard.outlived !== undefined) {
            const behind = heard.outlived >= options.self().incarnation;
            if (behind && !options.outlive) throw new Error(`a former life is known as ${heard.outlived}`);
            if (behind) options.outlive!(heard.outlived);
            continue;
          }
          told = { core: heard.incarnation, text };
          take(address, heard);
          noteContact(askedAt, heard.confirmed);
          if (!wanted(address)) break;
        } catch {
          faults += 1;
          const listed = [...state.get().members.values()].some((member) => member.peer === address);
          if (!listed && !seeds.includes(address) && faults > 8) break;
          // What the other cores told meanwhile holds, not what was known when this one was asked.
          if (cores.has(address) && now() - cores.get(address)!.heardAt > staleMs) publish(state.get().followed);
          await new Promise((resolve) => setTimeout(resolve, pauseMs * Math.min(4, faults)));
        }
      }
      running.delete(address);
      cores.delete(address);
    })();
  };
  let seeds = options.seeds;
  for (const seed of seeds) run(seed);
  return {
    view: state.get,
    heard: () => cores.size > 0,
    heardAt: () => heardAt,
    confirmedAt: () => confirmedAt,
    onChange: (listener) => void listeners.push(listener),
    tell: () => {
      const body = { self: options.self() };
      for (const address of cores.keys()) void channels.call(address, 'watch.report', body, 800).catch(() => undefined);
    },
    reseed: (next) => {
      seeds = next.filter((seed) => seed !== options.self().peer);
      for (const seed of seeds) run(seed);
    },
    stop: () => {
      stopped = true;
    },
  };
};

/** Following the cores: what is known of the fleet, and how it is merged. */
export const watchers = {
  make: makeWatcher,
  later,
  /** How many of so many cores a node follows, so that any two nodes have more in common than may be lost. */
  width: (cores: number, tolerance: number | undefined): number =>
    tolerance === undefined ? cores : Math.min(cores, Math.ceil((cores + 1 + tolerance) / 2)),
};
