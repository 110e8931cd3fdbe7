import type { Channels } from '../../edge/channels.js';
import type { Dialect } from '../dialect.js';
import type { Advert, Grant, Partial } from '../fleetTypes.js';
import type { FleetView } from '../watcher.js';
import type { SamplerClient } from '../samplerClient.js';
import type { ItemReport, WatchAnswer } from '../store/storeDesk.js';
import { traffic } from '../traffic.js';
import { runItem, type RunEnd } from './itemRun.js';
import type { HedgeControl } from './hedgeControl.js';
import type { SamplerDirectory } from './samplerDirectory.js';
import type { StoreCalls } from './storeCalls.js';
import type { OrderLease } from './orderLease.js';
import { makeWeightLoads } from './weightLoads.js';
import type { Desk, Known, PullAsk, Running } from './deskTypes.js';
import { batchUrgency } from '../../policy/batchUrgency.js';
import { budget, type Running as Reckoned } from '../../policy/budget.js';
import { makeOwners } from '../../policy/owners.js';
import { makeRatings } from './ratings.js';
import { makeResultOutbox } from './resultOutbox.js';

/** The desks of one front: for each sampler that it owns, which items run there. */
export type Desks = {
  /** Takes no more items; those that run end, or go back with what there is of their text. */
  readonly leave: (mostMs: number) => Promise<void>;
  readonly counts: () => { readonly owned: number; readonly running: number; readonly rating: number };
};

const watchMs = 2500;
const fillMs = 4;
const suspectMs = 900;
const turnedAwayMs = 60;
/** How long a sampler rests after a fault; doubled with each more. */
const faultMs = 150;
const faultsMost = 6;

const averaged = (known: number | undefined, seen: number): number =>
  known === undefined ? seen : known + 0.1 * (seen - known);

/** Makes a front's desks. */
export const makeDesks = (options: {
  readonly name: string;
  readonly channels: Channels;
  readonly client: SamplerClient;
  readonly directory: SamplerDirectory;
  readonly stores: StoreCalls;
  readonly dialect: Dialect;
  readonly hedges: HedgeControl;
  readonly view: () => FleetView;
  readonly now: () => number;
  readonly chance: () => number;
  readonly lease: OrderLease;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): Desks & { readonly changed: () => void } => {
  const { now, view, directory, channels } = options;
  const desks = new Map<string, Desk>();
  const items = new Map<string, Running>();
  const known = new Map<string, Known>();
  const watching = new Set<string>();
  /** How long an item of each model runs, and how many tokens it makes, on the average of late. */
  const runMs = new Map<string, number>();
  const madeTokens = new Map<string, number>();
  let leaving = false;
  const keyOf = (lot: string, id: string): string => `${lot} ${id}`;

  const stopRun = (entry: Running): Partial | undefined => {
    if (!entry.run) return undefined;
    directory.ended(entry.sampler.id, undefined, 0);
    const partial = entry.run.stop();
    entry.run = undefined;
    return partial;
  };
  const drop = (lot: string): void => {
    known.delete(lot);
    for (const [key, entry] of items)
      if (entry.grant.lot === lot) {
        stopRun(entry);
        entry.cancel?.();
        release(key);
      }
  };
  const release = (key: string): void => {
    const entry = items.get(key);
    if (!entry) return;
    items.delete(key);
    desks.get(entry.sampler.id)?.running.delete(key);
    schedule();
  };
  /** Samplers at whose address another life answered. */
  const outlived = new Set<string>();
  const noteOver = (sampler: string): void => void outlived.add(sampler);
  const loads = makeWeightLoads({ ...options, changed: () => schedule(), outlived: noteOver });
  const outbox = makeResultOutbox({ channels, stores: options.stores, view, name: options.name, now, dropped: drop });
  const say = (key: string, word: ItemReport): void => {
    release(key);
    outbox.send(word);
  };

  const versionAt = (desk: Desk, model: string): number =>
    Math.max(desk.sampler.models[model] ?? 0, desk.learnt.get(model) ?? 0);
  const loading = (desk: Desk, model: string): number | undefined => {
    const coming = loads.coming(desk.sampler.id, model);
    return coming !== undefined && coming > versionAt(desk, model) ? coming : undefined;
  };
  const leased = (entry: Known | undefined): boolean => entry !== undefined && now() < entry.at + entry.advert.leaseMs;

  const ratings = makeRatings({
    ...options,
    wanted: (grant) => items.has(keyOf(grant.lot, grant.item.id)),
    leased: (lot) => leased(known.get(lot)),
  });
  const rate = (key: string, entry: Running, text: string, versions: ReadonlyArray<number>): void => {
    const { lot, item } = entry.grant;
    entry.cancel = ratings.rate(entry.grant, { text, versions }, (result) => say(key, { lot, id: item.id, result }));
  };

  const ended = (key: string, entry: Running, desk: Desk, model: string, began: number, end: RunEnd): void => {
    const { lot, item } = entry.grant;
    const made = averaged(madeTokens.get(model), entry.run?.made() ?? 0);
    entry.run = undefined;
    desk.running.delete(key);
    schedule();
    if (end.kind === 'whole') {
      runMs.set(model, averaged(runMs.get(model), now() - began));
      madeTokens.set(model, made);
      desk.faults = Math.max(0, desk.faults - 1);
      directory.ended(desk.sampler.id, undefined, 0);
      return rate(key, entry, end.text, end.versions);
    }
    const restMs = end.kind === 'fault' ? faultMs * 2 ** desk.faults : 0;
    if (end.kind === 'fault') desk.faults = Math.min(faultsMost, desk.faults + 1);
    directory.ended(desk.sampler.id, undefined, end.kind === 'cut' && end.suspect ? suspectMs : restMs);
    if (end.kind === 'notRun') {
      if (end.status === 421) desk.learnt.delete(model);
      desk.modelBlocked.set(model, now() + turnedAwayMs);
      return say(key, { lot, id: item.id, ...(entry.grant.partial && { partial: entry.grant.partial }) });
    }
    if (end.kind === 'cut')
      options.event('item_cut', {
        item: item.id,
        sampler: desk.sampler.id,
        reason: end.reason,
        kept: end.partial?.events.length ?? 0,
        ms: Math.round(now() - began),
      });
    say(key, {
      lot,
      id: item.id,
      ...(end.kind === 'cut' && end.partial && { partial: end.partial }),
      ...(end.kind === 'fault' && { fault: true }),
      ...(end.kind === 'never' && { never: true }),
    });
  };
  const start = (grant: Grant & { readonly sampler: string }): void => {
    const desk = desks.get(grant.sampler);
    const key = keyOf(grant.lot, grant.item.id);
    const back: ItemReport = { lot: grant.lot, id: grant.item.id, ...(grant.partial && { partial: grant.partial }) };
    const advert = known.get(grant.lot);
    if (items.has(key)) return;
    if (!desk || leaving || !leased(advert)) return outbox.send(back);
    const { followed } = view();
    const binding = traffic.match(followed?.traffic, grant.host, grant.item.path);
    const serves = binding?.shares.some((share) => share.weight > 0 && share.service === desk.sampler.service);
    if (!binding || !serves || desk.sampler.state !== 'ready') return outbox.send(back);
    const model = advert!.advert.model;
    const version = loading(desk, model) ?? versionAt(desk, model);
    const entry: Running = { grant, sampler: desk.sampler, run: undefined, cancel: undefined };
    items.set(key, entry);
    desk.running.add(key);
    directory.began(desk.sampler.id);
    const began = now();
    entry.run = runItem(
      options,
      grant,
      { sampler: desk.sampler, model, version, urgency: 5, stride: serviceOf(desk)?.stride ?? 1 },
      (end) => ended(key, entry, desk, model, began, end),
      (seen) => {
        if (seen > (desk.learnt.get(model) ?? 0)) desk.learnt.set(model, seen);
        loads.reached(desk.sampler.id, model, seen);
      },
    );
  };

  const serviceOf = (desk: Desk) =>
    view().followed?.traffic?.services.find((service) => service.name === desk.sampler.service);
  const reckoned = (desk: Desk): ReadonlyArray<Reckoned> =>
    [...desk.running].flatMap((key) => {
      const entry = items.get(key);
      if (!entry?.run) return [];
      const { lot, item, priority, near } = entry.grant;
      const group = `${lot} ${item.group}`;
      return [{ key, group, prompt: item.prompt, made: entry.run.made(), priority, near }];
    });
  /** Pauses what a sampler holds too much of, the lowest first; it goes on later, here first. */
  const pause = (desk: Desk): void => {
    const lowest = budget.victim(serviceOf(desk)?.cacheTokens ?? 0, reckoned(desk));
    const entry = lowest && items.get(lowest.key);
    if (!entry) return;
    const partial = stopRun(entry);
    const { lot, item, priority } = entry.grant;
    options.event('item_paused', { item: item.id, sampler: desk.sampler.id, priority });
    say(lowest.key, { lot, id: item.id, ...(partial && { partial }) });
  };

  const wishFor = (desk: Desk, { advert, at: heard }: Known, at: number): void => {
    const version = view().followed?.models[advert.model] ?? 1;
    if (version < advert.minVersion || !(advert.model in desk.sampler.models)) return;
    const leftMs = advert.leftMs - (at - heard);
    loads.wish(desk.sampler, {
      model: advert.model,
      version,
      items: advert.needed,
      leftMs: Math.max(300, leftMs),
      runMs: runMs.get(advert.model) ?? 500,
      samplers: directory.of(desk.sampler.service).length,
      models: Object.keys(desk.sampler.models).length,
    });
  };
  const fill = (): void => {
    if (leaving) return;
    const at = now();
    const byStore = new Map<string, PullAsk[]>();
    const lots = [...known.values()].filter(leased);
    const urgency = ({ advert, at: heard }: Known): number => batchUrgency(advert.leftMs - (at - heard));
    lots.sort((one, other) => urgency(one) - urgency(other));
    for (const desk of desks.values()) {
      // One item tells whether a sampler with several faults is well again.
      let free = (desk.faults > 1 ? 1 : desk.sampler.slots) - desk.running.size - desk.pulling;
      const { id, state } = desk.sampler;
      if (free <= 0 || state !== 'ready' || outlived.has(id) || !directory.usable(id)) continue;
      const cacheTokens = serviceOf(desk)?.cacheTokens ?? 0;
      const held = cacheTokens > 0 ? reckoned(desk) : [];
      for (const spare of [false, true])
        for (const entry of lots) {
          const wanted = spare ? entry.spare : entry.needed;
          const { advert } = entry;
          if (free <= 0 || wanted <= 0) continue;
          const coming = loading(desk, advert.model);
          const version = coming ?? versionAt(desk, advert.model);
          if (version < advert.minVersion) {
            wishFor(desk, entry, at);
            continue;
          }
          if (at < (desk.modelBlocked.get(advert.model) ?? 0)) continue;
          if (coming !== undefined && !loads.due(desk.sampler.id)) continue;
          const binding = traffic.match(view().followed?.traffic, advert.host, advert.path);
          if (!binding?.shares.some((share) => share.weight > 0 && share.service === desk.sampler.service)) continue;
          // While a version is being loaded, one item tells whether it is there.
          const footprint = advert.prompt + (madeTokens.get(advert.model) ?? 0);
          const room = budget.fits(cacheTokens, held, footprint) - desk.pulling;
          const count = Math.min(free, wanted, room, coming === undefined ? free : 1);
          if (count <= 0) continue;
          if (coming !== undefined) desk.modelBlocked.set(advert.model, at + turnedAwayMs);
          if (spare) entry.spare -= count;
          else entry.needed -= count;
          free -= count;
          desk.pulling += count;
          const asks = byStore.get(entry.store) ?? [];
          asks.push({ lot: advert.lot, sampler: desk.sampler.id, version, most: count, spare });
          byStore.set(entry.store, asks);
        }
    }
    for (const [store, asks] of byStore) void pull(store, asks);
  };
  const pull = async (store: string, asks: ReadonlyArray<PullAsk>): Promise<void> => {
    const member = view().members.get(store);
    const over = (): void => {
      for (const ask of asks) {
        const desk = desks.get(ask.sampler);
        if (desk) desk.pulling = Math.max(0, desk.pulling - ask.most);
      }
    };
    if (!member) return over();
    try {
      const asked = now();
      const heard = (await channels.call(member.peer, 'board.pull', { front: options.name, asks }, 800)) as {
        readonly grants: ReadonlyArray<Grant & { sampler: string }>;
        readonly adverts: ReadonlyArray<Advert>;
      };
      over();
      for (const advert of heard.adverts) note(advert, store, asked);
      for (const grant of heard.grants) start(grant);
      if (heard.grants.length > 0) schedule();
    } catch {
      over();
    }
  };
  let filling: NodeJS.Timeout | undefined;
  const schedule = (): void => {
    filling ??= setTimeout(() => {
      filling = undefined;
      fill();
    }, fillMs);
  };

  /** Counts from the time of asking: the answer may have lain here while this machine stood still. */
  const note = (advert: Advert, store: string, asked: number): void => {
    known.set(advert.lot, { advert, store, at: asked, needed: advert.needed, spare: advert.spare });
    options.stores.leads(advert.lot, store);
  };
  const watch = async (store: string): Promise<void> => {
    if (watching.has(store)) return;
    watching.add(store);
    let revision = 0;
    while (!leaving && (desks.size > 0 || items.size > 0)) {
      const member = view().members.get(store);
      if (!member) break;
      try {
        const holds = [
          ...[...items.values()].map(({ grant, sampler }) => ({
            lot: grant.lot,
            id: grant.item.id,
            sampler: sampler.id,
          })),
          ...outbox.pending().map(({ lot, id }) => ({ lot, id, sampler: '' })),
        ];
        const asked = now();
        const heard = (await channels.call(
          member.peer,
          'board.watch',
          { front: options.name, revision, holds },
          watchMs,
        )) as WatchAnswer;
        revision = heard.revision;
        const there = new Set(heard.adverts.map((advert) => advert.lot));
        for (const advert of heard.adverts) note(advert, store, asked);
        for (const [lot, entry] of known)
          if (entry.store === store && !there.has(lot) && entry.at < asked) known.delete(lot);
        for (const lot of heard.ended) drop(lot);
        schedule();
      } catch {
        await new Promise((resolve) => setTimeout(resolve, 200));
      }
    }
    watching.delete(store);
  };

  const owners = makeOwners();
  const changed = (): void => {
    const { members, samplers, followed } = view();
    const ownerOf = owners(members.values());
    const models = new Set(
      followed?.traffic?.services.filter((service) => service.model).map((service) => service.name),
    );
    for (const sampler of samplers.values()) {
      const mine = sampler.state === 'ready' && models.has(sampler.service) && ownerOf(sampler) === options.name;
      const desk = desks.get(sampler.id);
      if (desk && desk.sampler !== sampler) {
        desk.sampler = sampler;
        for (const [model, version] of Object.entries(sampler.models)) loads.reached(sampler.id, model, version);
      }
      if (mine && !desk && !leaving)
        desks.set(sampler.id, {
          sampler,
          running: new Set(),
          pulling: 0,
          modelBlocked: new Map(),
          learnt: new Map(),
          faults: 0,
        });
      else if (!mine && desk && sampler.state === 'gone') {
        for (const key of desk.running) {
          const entry = items.get(key);
          const partial = entry && stopRun(entry);
          if (entry) say(key, { lot: entry.grant.lot, id: entry.grant.item.id, ...(partial && { partial }) });
        }
        desks.delete(sampler.id);
      } else if (!mine && desk && desk.running.size === 0) desks.delete(sampler.id);
    }
    for (const [id, desk] of desks) if (!samplers.has(id) && desk.running.size === 0) desks.delete(id);
    if (desks.size > 0 || items.size > 0)
      for (const member of members.values()) if (member.role === 'store') void watch(member.name);
    schedule();
  };
  const ticking = setInterval(() => {
    if (known.size === 0) return;
    for (const desk of desks.values()) pause(desk);
    if (desks.size > 0) schedule();
  }, 60);

  return {
    changed,
    counts: () => ({
      owned: desks.size,
      running: [...desks.values()].reduce((sum, d) => sum + d.running.size, 0),
      rating: ratings.open(),
    }),
    leave: async (mostMs) => {
      const until = now() + mostMs;
      leaving = true;
      while (items.size > 0 && now() < until) await new Promise((resolve) => setTimeout(resolve, 50));
      for (const [key, entry] of items) {
        const partial = stopRun(entry);
        entry.cancel?.();
        say(key, { lot: entry.grant.lot, id: entry.grant.item.id, ...(partial && { partial }) });
      }
      clearInterval(ticking);
      await outbox.flush(800);
    },
  };
};
