import type { ConfirmedSequence, FollowedChange, WatchResponse, WatchRequest } from '../watcher.js';
import { watchers } from '../watcher.js';
import type { Followed, Member, Sampler } from '../fleetTypes.js';

/** What a core tells those who follow it: members, samplers and the register, each with a revision. */
export type WatchServer = {
  readonly follow: (ask: WatchRequest) => Promise<WatchResponse>;
  /** Takes a node's word of itself; answers the incarnation of its former life where that one is greater. */
  readonly tell: (member: Member) => number | undefined;
  readonly members: () => ReadonlyArray<Member>;
  readonly samplers: () => Iterable<Sampler>;
  readonly sampler: (id: string) => Sampler | undefined;
  /** Takes a sampler's own announcement; answers whether anything was new. */
  readonly announce: (told: Omit<Sampler, 'quiet' | 'born'>) => boolean;
  /** Takes another core's word. */
  readonly hear: (told: Sampler) => void;
  /** Answers all who wait: the register moved on. */
  readonly wake: () => void;
  /** Ends leases that ran out. */
  readonly tick: () => void;
};

type Kept = { readonly sampler: Sampler; readonly revision: number; readonly heardAt: number | undefined };

const holdMs = 900;
const memberMs = 2400;
const goneKeptMs = 90_000;
const gatherDefaultMs = 100;

/** Whether watchers hear of a change at once, with their next poll, or not at all. */
type Urgency = 'atOnce' | 'nextPoll' | 'never';

/**
 * How urgent a newer word of a sampler is. Versions of weights can wait for the next poll: whoever hands items to it
 * sees its versions in its answers, and others only need them once they take it over.
 */
const urgencyOf = (before: Sampler | undefined, after: Sampler): Urgency => {
  if (!before) return 'atOnce';
  const same = (but: Partial<Sampler>): boolean =>
    JSON.stringify({ ...before, ...but }) === JSON.stringify({ ...after, ...but });
  if (same({ beat: 0 })) return 'never';
  return same({ beat: 0, models: {} }) ? 'nextPoll' : 'atOnce';
};

/** What makes a node's word news: not the sequence that it follows. */
const told = (member: Member): string => JSON.stringify({ ...member, sequence: 0 });

/** Makes a core's desk. */
export const makeWatchServer = (options: {
  readonly self: () => Member;
  /** Names this life of the desk; revisions of another life count for nothing. */
  readonly incarnation: number;
  readonly beatMs: number;
  readonly now: () => number;
  readonly wall: () => number;
  readonly followed: () => Followed | undefined;
  /** The newest sequence that a majority of voters confirmed; none where nobody needs to know. */
  readonly confirmed?: () => ConfirmedSequence | undefined;
  /** Samplers known from a former life of this core; they count as heard of now. */
  readonly known?: ReadonlyArray<Sampler>;
  /** News that follows other news this closely is told together; the first is told at once. */
  readonly gatherMs?: number;
}): WatchServer => {
  const { now, gatherMs = gatherDefaultMs } = options;
  const members = new Map<string, { member: Member; heardAt: number; revision: number }>();
  const left = new Map<string, { at: number; revision: number }>();
  let selfAt = 1;
  const samplers = new Map<string, Kept>();
  let revision = 1;
  /** The last revision that watchers are to hear of at once. */
  let urgentRevision = 1;
  for (const sampler of options.known ?? []) samplers.set(sampler.id, { sampler, revision, heardAt: now() });
  let membersAt = 1;
  let waiting: Array<() => void> = [];

  let toldOfSelf = '';
  let waking = false;
  let wokeAt = -Infinity;
  const wake = (): void => {
    if (waking) return;
    waking = true;
    const tellAll = (): void => {
      waking = false;
      wokeAt = now();
      const woken = waiting;
      waiting = [];
      for (const each of woken) each();
    };
    const wait = gatherMs - (now() - wokeAt);
    if (wait > 0) setTimeout(tellAll, wait);
    else setImmediate(tellAll);
  };
  /** The wall clock may go back; the order in which lives were heard of may not. */
  let lastBorn = Math.max(0, ...(options.known ?? []).map((sampler) => sampler.born));
  const bornNow = (): number => Math.max(options.wall(), lastBorn + 1);
  const keep = (sampler: Sampler, heardAt: number | undefined, urgency: Urgency = 'atOnce'): void => {
    lastBorn = Math.max(lastBorn, sampler.born);
    if (urgency !== 'never') revision += 1;
    const at = urgency === 'never' ? samplers.get(sampler.id)!.revision : revision;
    samplers.set(sampler.id, { sampler, revision: at, heardAt });
    if (urgency === 'atOnce') {
      urgentRevision = revision;
      wake();
    }
  };
  const list = (): ReadonlyArray<Member> => [options.self(), ...[...members.values()].map(({ member }) => member)];

  const tell = (member: Member): number | undefined => {
    if (member.name === options.self().name) return undefined;
    const known = members.get(member.name);
    if (known && known.member.incarnation > member.incarnation) return known.member.incarnation;
    const changed = !known || told(known.member) !== told(member);
    if (changed) revision += 1;
    members.set(member.name, { member, heardAt: now(), revision: changed ? revision : known.revision });
    if (!changed) return undefined;
    left.delete(member.name);
    membersAt = revision;
    wake();
    return undefined;
  };
  /** The stores and voters of the newest sequence, and the one at which they were first seen so. */
  let layout = { text: '', sequence: 0, since: 0 };
  const layoutSince = ({ sequence, stores, voters, electorate }: Followed): number => {
    if (sequence === layout.sequence) return layout.since;
    const text = JSON.stringify([stores, voters, electorate]);
    layout = { text, sequence, since: text === layout.text ? layout.since : sequence };
    return layout.since;
  };
  const changeOf = (followed: Followed, ask: WatchRequest): FollowedChange => {
    const { sequence, models, stores, voters, electorate, traffic } = followed;
    return {
      sequence,
      models,
      ...(layoutSince(followed) > ask.sequence && { stores, voters, electorate }),
      ...(traffic && traffic.version !== ask.trafficVersion && { traffic: { ...traffic, document: '' } }),
    };
  };
  const news = (ask: WatchRequest): WatchResponse | undefined => {
    const from = ask.incarnation === options.incarnation ? ask.revision : 0;
    const followed = options.followed();
    const newer = followed && followed.sequence > ask.sequence ? followed : undefined;
    if (from >= revision && !newer) return undefined;
    const changed = [...samplers.values()].filter((kept) => kept.revision > from).map((kept) => kept.sampler);
    return {
      core: options.self().name,
      incarnation: options.incarnation,
      revision,
      ...(membersAt > from && {
        members:
          from === 0
            ? list()
            : [
                ...(selfAt > from ? [options.self()] : []),
                ...[...members.values()].filter((each) => each.revision > from).map((each) => each.member),
              ],
        left: [...left].filter(([, each]) => each.revision > from).map(([name]) => name),
      }),
      ...(changed.length > 0 && { samplers: changed }),
      ...(newer && { followed: changeOf(newer, ask) }),
    };
  };

  /** Takes that a node is still there; false where it has to say more of itself. */
  const heardOf = ({ name, incarnation }: Pick<Member, 'name' | 'incarnation'>): boolean => {
    const known = members.get(name);
    if (known?.member.incarnation !== incarnation) return false;
    members.set(name, { ...known, heardAt: now() });
    return true;
  };
  const withConfirmed = (response: WatchResponse): WatchResponse => {
    const confirmed = options.confirmed?.();
    return confirmed ? { ...response, confirmed } : response;
  };
  const urgentFor = (ask: WatchRequest): boolean =>
    ask.incarnation !== options.incarnation ||
    ask.revision < Math.max(urgentRevision, membersAt) ||
    (options.followed()?.sequence ?? 0) > ask.sequence;

  return {
    tell,
    follow: (ask) => {
      const unchanged = {
        core: options.self().name,
        incarnation: options.incarnation,
        revision: ask.incarnation === options.incarnation ? ask.revision : 0,
      };
      if (ask.brief && !heardOf(ask.brief)) return Promise.resolve({ ...unchanged, selfUnknown: true });
      const outlived = ask.self && tell(ask.self);
      if (outlived !== undefined) return Promise.resolve({ ...unchanged, outlived });
      const at = urgentFor(ask) ? news(ask) : undefined;
      const first = ask.incarnation !== options.incarnation || ask.revision === 0;
      if (at && (first || now() - wokeAt >= gatherMs)) return Promise.resolve(withConfirmed(at));
      if (at) wake();
      return new Promise((resolve) => {
        const settle = (): void => {
          clearTimeout(timer);
          const idle = { core: options.self().name, incarnation: options.incarnation, revision };
          resolve(withConfirmed(news(ask) ?? idle));
        };
        const timer = setTimeout(() => {
          waiting = waiting.filter((each) => each !== settle);
          settle();
        }, holdMs);
        waiting.push(settle);
      });
    },
    members: list,
    samplers: function* () {
      for (const kept of samplers.values()) yield kept.sampler;
    },
    sampler: (id) => samplers.get(id)?.sampler,
    announce: (told) => {
      const known = samplers.get(told.id);
      if (known?.sampler.state === 'gone') return false;
      if (known && told.state !== 'gone' && told.beat <= known.sampler.beat) {
        keep(known.sampler, now(), 'never');
        return false;
      }
      const next: Sampler = { ...told, quiet: false, born: known?.sampler.born ?? bornNow() };
      const urgency = urgencyOf(known?.sampler, next);
      keep(next, now(), urgency);
      return urgency !== 'never';
    },
    hear: (told) => {
      const known = samplers.get(told.id);
      if (!known) return keep(told, undefined);
      const heard = watchers.later(known.sampler, told);
      if (heard === told) {
        // Whoever heard it last watches over it.
        const passed = told.state !== 'gone' && told.beat > known.sampler.beat;
        keep(told, passed ? undefined : known.heardAt, urgencyOf(known.sampler, told));
      } else if (told.quiet && !known.sampler.quiet && known.sampler.beat > told.beat)
        keep(known.sampler, known.heardAt);
    },
    wake,
    tick: () => {
      const at = now();
      const own = told(options.self());
      let lost = own !== toldOfSelf;
      if (lost) selfAt = revision + 1;
      toldOfSelf = own;
      for (const [name, each] of left) if (at - each.at > goneKeptMs) left.delete(name);
      for (const [name, { heardAt }] of members)
        if (at - heardAt > memberMs) {
          members.delete(name);
          left.set(name, { at, revision: revision + 1 });
          lost = true;
        }
      if (lost) {
        revision += 1;
        membersAt = revision;
        wake();
      }
      for (const [id, kept] of samplers) {
        const { sampler, heardAt } = kept;
        if (heardAt === undefined) continue;
        const silent = at - heardAt;
        if (silent > goneKeptMs) {
          if (sampler.state === 'gone') samplers.delete(id);
          else keep({ ...sampler, state: 'gone' }, at);
        } else if (!sampler.quiet && sampler.state !== 'gone' && silent > options.beatMs * 3.2)
          keep({ ...sampler, quiet: true }, heardAt);
      }
    },
  };
};
