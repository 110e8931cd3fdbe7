import type { Announcement } from '../node/news.js';
import { lot, type ItemResult, type Lot, type TextPiece } from './lot.js';
import type { SeatedItem, SeatedSampler, Seating } from './seating.js';

/** A text as it grows: only confirmed pieces stand on a majority of stores and may be shown. */
export type GrowingText = {
  readonly pieces: TextPiece[];
  confirmed: number;
  saved: number;
  final: boolean;
};

/** A lot that the seater works on. */
export type OpenLot = {
  readonly id: string;
  readonly lot: Lot;
  /** When a read that found it not ended was begun. */
  readonly verifiedAt: number;
  readonly ended: boolean;
};

/** An interactive request's seat. */
export type Permit = { readonly id: string; readonly sampler: string; readonly burden: number; readonly until: number };

/** What is known of a sampler beyond its announcement. */
export type SamplerNote = {
  readonly loading: boolean;
  /** Held back from loading, as the last one with a version that begun texts need. */
  readonly closing: boolean;
  /** From when on, before a load, items that may go on elsewhere are taken off. */
  readonly evacuateAt: number;
  readonly setAside: string | undefined;
  readonly failedAt: number;
  /** The range of what the seater thought was cached there, of late; late reports are held against it. */
  readonly window: ReadonlyArray<{ readonly at: number; readonly cached: number }>;
  readonly unexplained: number;
  /** What the last report showed beyond the known items; while it stands still it is idle cache. */
  readonly idle: number;
  readonly heard: number;
};

/** The seater's whole table. */
export type SeaterState = {
  readonly lots: ReadonlyMap<string, OpenLot>;
  readonly items: ReadonlyMap<string, SeatedItem>;
  readonly finished: ReadonlyMap<string, ItemResult['state']>;
  readonly probes: ReadonlyMap<string, number>;
  readonly notes: ReadonlyMap<string, SamplerNote>;
  readonly permits: ReadonlyMap<string, Permit>;
};

const lateMs = 2500;
const note: SamplerNote = {
  loading: false,
  closing: false,
  evacuateAt: Infinity,
  setAside: undefined,
  failedAt: -Infinity,
  window: [],
  unexplained: 0,
  idle: 0,
  heard: 0,
};

const noteOf = (state: SeaterState, sampler: string): SamplerNote => state.notes.get(sampler) ?? note;

const withNote = (state: SeaterState, sampler: string, change: Partial<SamplerNote>): SeaterState => ({
  ...state,
  notes: new Map(state.notes).set(sampler, { ...noteOf(state, sampler), ...change }),
});

const withItem = (state: SeaterState, key: string, change: Partial<SeatedItem>): SeaterState => {
  const item = state.items.get(key);
  return item ? { ...state, items: new Map(state.items).set(key, { ...item, ...change }) } : state;
};

const interactiveOn = (state: SeaterState, sampler: string, now: number): number =>
  [...state.permits.values()]
    .filter((permit) => permit.sampler === sampler && permit.until > now)
    .reduce((sum, permit) => sum + permit.burden, 0);

const cachedOn = (state: SeaterState, sampler: Announcement): number =>
  [...state.items.values()]
    .filter(
      (item) =>
        item.sampler === sampler.name && item.holderIncarnation === sampler.incarnation && item.state !== 'waiting',
    )
    .reduce((sum, item) => sum + item.promptTokens + item.generated, 0);

/** What is thought to be cached of items, by sampler and incarnation. */
const cachedBy = (state: SeaterState): ((sampler: Announcement) => number) => {
  const sums = new Map<string, number>();
  for (const item of state.items.values()) {
    if (item.sampler === undefined || item.state === 'waiting') continue;
    const place = `${item.sampler}#${item.holderIncarnation}`;
    sums.set(place, (sums.get(place) ?? 0) + item.promptTokens + item.generated);
  }
  return (sampler) => sums.get(`${sampler.name}#${sampler.incarnation}`) ?? 0;
};

/**
 * Holds a late `kvUsed` against what was thought to be cached. Less is a silent eviction. More is a burden while it
 * grows; once it stands still it is the idle cache of finished texts, which the sampler gives up itself, so it fades.
 */
const reconcile = (
  state: SeaterState,
  sampler: Announcement,
  now: number,
  cachedItems = cachedOn(state, sampler),
): SeaterState => {
  const before = noteOf(state, sampler.name);
  const cached = cachedItems + interactiveOn(state, sampler.name, now);
  const window = [...before.window.filter((each) => now - each.at <= lateMs), { at: now, cached }];
  if (before.heard === sampler.sequence) return withNote(state, sampler.name, { window });
  const most = Math.max(...window.map((each) => each.cached));
  const least = Math.min(...window.map((each) => each.cached));
  const excess = Math.max(0, sampler.kvUsed - most);
  const unexplained = Math.floor(before.unexplained * 0.7) + Math.max(0, excess - before.idle);
  const next = withNote(state, sampler.name, { window, unexplained, idle: excess, heard: sampler.sequence });
  let missing = least - sampler.kvUsed;
  if (missing <= 0) return next;
  const paused = [...next.items.values()]
    .filter((item) => item.state === 'paused' && item.sampler === sampler.name && now - item.pausedAt > lateMs)
    .sort((left, right) => left.pausedAt - right.pausedAt);
  let items = next.items;
  for (const item of paused) {
    if (missing <= 0) break;
    missing -= item.promptTokens + item.generated;
    items = new Map(items).set(item.key, { ...item, holderVersion: -1 });
  }
  return { ...next, items };
};

/** Why an active item may not stay where it runs, if so. */
const mustLeave = (
  state: SeaterState,
  item: SeatedItem,
  sampler: Announcement,
  live: ReadonlyArray<Announcement>,
  now: number,
): string | undefined => {
  if (sampler.state === 'leaving') return 'sampler is leaving';
  if (sampler.incarnation !== item.holderIncarnation) return 'sampler restarted';
  const known = noteOf(state, sampler.name);
  if (!known.loading || now < known.evacuateAt) return undefined;
  const elsewhere = live.some(
    (other) =>
      other.name !== sampler.name &&
      other.state === 'ready' &&
      !noteOf(state, other.name).loading &&
      (item.singleVersion ? other.version === sampler.version : other.version >= item.minVersion),
  );
  return elsewhere ? 'sampler loads weights' : undefined;
};

/** The seating view of the table, from the samplers' latest announcements. */
const view = (
  state: SeaterState,
  samplers: ReadonlyArray<Announcement>,
  trainerStep: number,
  now: number,
  slow: (sampler: string) => boolean,
): Seating => {
  const sizes = new Map<string, { finished: number; size: number; probed: number | undefined }>();
  for (const item of state.items.values()) {
    const group = sizes.get(item.group) ?? { finished: 0, size: 0, probed: state.probes.get(item.group) };
    sizes.set(item.group, {
      ...group,
      size: group.size + 1,
      finished: group.finished + (state.finished.has(item.key) ? 1 : 0),
    });
  }
  return {
    items: state.items,
    groups: sizes,
    trainerStep,
    samplers: new Map(
      samplers.map((sampler): [string, SeatedSampler] => {
        const known = noteOf(state, sampler.name);
        return [
          sampler.name,
          {
            name: sampler.name,
            incarnation: sampler.incarnation,
            budget: sampler.budget,
            version: sampler.version,
            ready: sampler.state === 'ready' && now - known.failedAt > 1000,
            loading: known.loading || known.setAside !== undefined,
            closing: known.closing,
            interactive: interactiveOn(state, sampler.name, now),
            unexplained: known.unexplained,
            ...(slow(sampler.name) ? { most: 1 } : {}),
          },
        ];
      }),
    ),
  };
};

const openItems = (id: string, given: Lot, now: number): ReadonlyArray<SeatedItem> =>
  lot.itemsOf(given).map((each, order): SeatedItem => ({
    key: lot.keys.item(id, each.group, each.item),
    lot: id,
    group: `${id}/${each.group}`,
    step: given.step,
    order,
    taskType: given.taskType,
    minVersion: given.minVersion ?? 0,
    singleVersion: given.singleVersion ?? false,
    staleness: given.stalenessBound,
    promptTokens: Math.ceil(each.prompt.length / 4),
    generated: 0,
    state: 'waiting',
    sampler: undefined,
    holderIncarnation: 0,
    holderVersion: -1,
    version: 0,
    pausedAt: now,
    retryAt: 0,
  }));

/** The seater's reducers. */
export const seaterState = {
  empty: {
    lots: new Map(),
    items: new Map(),
    finished: new Map(),
    probes: new Map(),
    notes: new Map(),
    permits: new Map(),
  } satisfies SeaterState as SeaterState,
  withNote,
  withItem,
  noteOf,
  mustLeave,
  reconcile,
  cachedBy,
  view,
  openItems,
  interactiveOn,
  finish: (state: SeaterState, key: string, end: ItemResult['state']): SeaterState => ({
    ...withItem(state, key, { state: 'done' }),
    finished: new Map(state.finished).set(key, end),
  }),
  dropLot: (state: SeaterState, id: string): SeaterState => ({
    ...state,
    lots: new Map([...state.lots].filter(([key]) => key !== id)),
    items: new Map([...state.items].filter(([, item]) => item.lot !== id)),
    finished: new Map([...state.finished].filter(([key]) => !key.startsWith(`${id}/`))),
    probes: new Map([...state.probes].filter(([key]) => !key.startsWith(`${id}/`))),
  }),
};
