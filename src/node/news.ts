import { create } from '@bufbuild/protobuf';
import { Effect, FiberMap, type Context, type Scope } from 'effect';
import {
  EntrySchema,
  MarkSchema,
  PullSchema,
  type Answer,
  type Entry,
  type Mark,
  type Pull,
} from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import type { Address } from '../shared/brands.js';
import type { Links } from '../shared/links.js';
import { rendezvous } from '../shared/rendezvous.js';
import { table } from '../shared/table.js';
import type { Timepiece } from '../shared/timepiece.js';

type Held = { readonly entry: Entry; readonly until: number };

/** What a node tells of itself. */
export type Presence = {
  readonly name: string;
  readonly domain: string;
  readonly roles: ReadonlyArray<string>;
  readonly peer: Address;
  readonly http: Address;
  readonly state: 'ready' | 'draining' | 'waiting';
  readonly sequence: number;
  readonly disk: string;
  readonly coreFresh: boolean;
  readonly duties: ReadonlyArray<string>;
};

/** What a sampler announced. */
export type Announcement = {
  readonly name: string;
  readonly service: string;
  readonly address: Address;
  readonly domain: string;
  readonly state: 'starting' | 'ready' | 'draining' | 'leaving';
  readonly version: number;
  readonly kvUsed: number;
  readonly budget: number;
  readonly incarnation: number;
  readonly sequence: number;
};

/** Why a move waits, and the samplers that it lets go, by incarnation. */
export type MoveNews = {
  readonly name: string;
  readonly reason: string;
  readonly release: Readonly<Record<string, number>>;
};

/** The soft state that nodes tell one another, each entry under a lease. */
export type News = {
  readonly tell: (entry: {
    source: string;
    incarnation: number;
    sequence: number;
    kind: string;
    body: unknown;
    left: number;
  }) => boolean;
  readonly nodes: () => ReadonlyArray<Presence>;
  readonly samplers: () => ReadonlyArray<Announcement>;
  /** The same as they announced it, also those that a move lets go. */
  readonly announced: () => ReadonlyArray<Announcement>;
  readonly ended: () => ReadonlyArray<string>;
  /** What the calendar's holder says of moves that wait. */
  readonly moves: () => ReadonlyArray<MoveNews>;
  readonly newest: (source: string) => { readonly incarnation: number; readonly sequence: number } | undefined;
  readonly handle: (pull: Pull) => Answer;
  readonly run: Effect.Effect<void, never, Scope.Scope>;
};

const pullMs = 150;
const cohortSize = 4;
const tombstoneMs = 60_000;

const newer = (
  left: { incarnation: number; sequence: number },
  right: { incarnation: number; sequence: number },
): boolean =>
  left.incarnation > right.incarnation || (left.incarnation === right.incarnation && left.sequence > right.sequence);

/** Makes a node's news; `run` pulls from the cohort until its scope closes. */
export const makeNews = (options: {
  readonly name: string;
  readonly peer: Address;
  readonly seeds: ReadonlyArray<Address>;
  readonly links: Context.Tag.Service<typeof Links>;
  readonly time: Context.Tag.Service<typeof Timepiece>;
  readonly changed: () => void;
}): News => {
  const { time, links } = options;
  const held = table<ReadonlyMap<string, Held>>(new Map());
  const parsed = new WeakMap<Entry, unknown>();
  const bodyOf = <T>(entry: Entry): T => {
    const known = parsed.get(entry) ?? JSON.parse(entry.body);
    parsed.set(entry, known);
    return known as T;
  };
  const take = (entries: ReadonlyArray<{ entry: Entry; until: number }>): boolean => {
    const now = time.held();
    let taken = false;
    held.swap((before) => {
      const fresh = entries.filter(({ entry }) => {
        const known = before.get(entry.source);
        return known === undefined || newer(entry, known.entry);
      });
      if (fresh.length === 0) return before;
      taken = true;
      const next = new Map([...before].filter(([, value]) => value.until + tombstoneMs > now));
      for (const each of fresh) {
        const known = next.get(each.entry.source);
        if (known === undefined || newer(each.entry, known.entry)) next.set(each.entry.source, each);
      }
      return next;
    });
    if (taken) options.changed();
    return taken;
  };
  const seen = new Map<
    string,
    { readonly from: ReadonlyMap<string, Held>; readonly until: number; readonly bodies: ReadonlyArray<unknown> }
  >();
  /** What lives of one kind; it stays the same array until an entry is taken or ends. */
  const live = <T>(kind: string): ReadonlyArray<T> => {
    const now = time.held();
    const from = held.get();
    const known = seen.get(kind);
    if (known && known.from === from && now < known.until) return known.bodies as ReadonlyArray<T>;
    const alive = [...from.values()].filter(({ entry, until }) => entry.kind === kind && until > now);
    const bodies = alive.map(({ entry }) => bodyOf<T>(entry));
    seen.set(kind, { from, until: Math.min(Infinity, ...alive.map(({ until }) => until)), bodies });
    return bodies;
  };
  let marked: { readonly from: ReadonlyMap<string, Held>; readonly marks: Mark[] } | undefined;
  const marks = (): Mark[] => {
    const from = held.get();
    if (marked?.from !== from) {
      marked = {
        from,
        marks: [...from.values()].map(({ entry }) =>
          create(MarkSchema, { source: entry.source, incarnation: entry.incarnation, sequence: entry.sequence }),
        ),
      };
    }
    return marked.marks;
  };

  let drained:
    | {
        readonly from: ReadonlyArray<Announcement>;
        readonly by: ReadonlyArray<MoveNews>;
        all: ReadonlyArray<Announcement>;
      }
    | undefined;
  /** Samplers, those that a move lets go as draining. */
  const samplers = (): ReadonlyArray<Announcement> => {
    const [from, by] = [live<Announcement>('sampler'), live<MoveNews>('move')];
    if (by.length === 0) return from;
    if (drained?.from === from && drained.by === by) return drained.all;
    const goes = (each: Announcement): boolean => by.some((move) => move.release[each.name] === each.incarnation);
    const all = from.map((each) =>
      each.state === 'ready' && goes(each) ? { ...each, state: 'draining' as const } : each,
    );
    drained = { from, by, all };
    return all;
  };

  const introduced = (): Entry | undefined => {
    const own = held.get().get(`node/${options.name}`);
    return own && create(EntrySchema, { ...own.entry, left: Math.max(0, Math.floor(own.until - time.held())) });
  };
  const pull = (address: Address): Effect.Effect<void> =>
    Effect.gen(function* () {
      const askedAt = time.held();
      const ask = answers.ask({ case: 'pull', value: create(PullSchema, { known: marks(), self: introduced() }) });
      const answer = yield* links.ask(address, ask, 1000);
      if (answer.kind.case === 'news')
        take(answer.kind.value.entries.map((entry) => ({ entry, until: askedAt + entry.left })));
    }).pipe(Effect.ignore);

  const cohort = (): ReadonlyArray<Address> => {
    const others = live<Presence>('node').filter((node) => node.name !== options.name);
    const chosen = rendezvous(
      options.name,
      others.map((node) => node.name),
    ).slice(0, cohortSize);
    const near = others.filter((node) => chosen.includes(node.name)).map((node) => node.peer);
    const seeds = options.seeds.filter((seed) => seed !== options.peer);
    const seed = seeds[Math.floor(time.chance() * seeds.length)];
    const wanted = near.length < cohortSize ? [...near, ...seeds] : seed !== undefined ? [...near, seed] : near;
    return [...new Set(wanted)];
  };

  return {
    tell: ({ body, left, ...rest }) =>
      take([{ entry: create(EntrySchema, { ...rest, left, body: JSON.stringify(body) }), until: time.held() + left }]),
    nodes: () => live<Presence>('node'),
    samplers: () => samplers(),
    announced: () => live<Announcement>('sampler'),
    moves: () => live<MoveNews>('move'),
    ended: () => live<{ lot: string }>('ended').map(({ lot }) => lot),
    newest: (source) => held.get().get(source)?.entry,
    handle: (asked) => {
      const now = time.held();
      if (asked.self && asked.self.left > 0) take([{ entry: asked.self, until: now + asked.self.left }]);
      const known = new Map(asked.known.map((mark) => [mark.source, mark]));
      const entries = [...held.get().values()].flatMap(({ entry, until }) => {
        const mark = known.get(entry.source);
        return until > now && (mark === undefined || newer(entry, mark))
          ? [create(EntrySchema, { ...entry, left: Math.floor(until - now) })]
          : [];
      });
      return answers.answer({ case: 'news', value: { entries } });
    },
    run: Effect.gen(function* () {
      const tasks = yield* FiberMap.make<Address>();
      const watch = (address: Address): Effect.Effect<void> =>
        Effect.forever(Effect.zipRight(pull(address), Effect.sleep(pullMs * (0.75 + time.chance() * 0.5))));
      yield* Effect.forever(
        Effect.gen(function* () {
          const wanted = cohort();
          for (const [address] of tasks) if (!wanted.includes(address)) yield* FiberMap.remove(tasks, address);
          for (const address of wanted) yield* FiberMap.run(tasks, address, watch(address), { onlyIfMissing: true });
          yield* Effect.sleep(700);
        }),
      );
    }),
  };
};
