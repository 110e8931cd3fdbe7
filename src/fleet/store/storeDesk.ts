import { Fault } from '../../shared/fault.js';
import { texts } from '../../shared/texts.js';
import type { Caller } from '../dialect.js';
import { tenantKeys } from '../tenantKeys.js';
import type { Advert, Grant, LotBody, LotResult, LotValue, Partial } from '../fleetTypes.js';
import { makeLotBoard, type LotBoard } from './lotBoard.js';
import type { Led } from './lotCopies.js';
import type { LotLeader, NotLed } from './lotLeader.js';

/** What a front says of an item: its result, or that it comes back. */
export type ItemReport = {
  readonly lot: string;
  readonly id: string;
  readonly result?: LotResult;
  readonly partial?: Partial;
  /** A run that failed and counts, and one that says the item can never be done. */
  readonly fault?: boolean;
  readonly never?: boolean;
};

/** What a front hears of a store's lots. */
export type WatchAnswer = {
  readonly revision: number;
  readonly adverts: ReadonlyArray<Advert>;
  /** Lots led here that ended of late. */
  readonly ended: ReadonlyArray<string>;
};

/** A store's desk for fronts: lots are taken, read and ended, and their items handed out. */
export type StoreDesk = {
  readonly handle: (name: string, body: unknown) => Promise<unknown> | undefined;
  readonly chosen: (led: Led, value: LotValue, result: LotResult | undefined) => void;
  readonly deposed: (led: Led) => void;
  readonly tick: () => void;
};

const holdMs = 600;
/** Where nothing is open here there is no lease to renew. */
const idleHoldMs = 1200;
const leaseMs = 2000;
const sessionMs = 1800;
const endedKeptMs = 20_000;
const readBytes = 700_000;

const promptsOf = (body: LotBody): number =>
  body.items.reduce((sum, item) => sum + (item.prompt || 0), 0) / Math.max(1, body.items.length);

type Open = { readonly board: LotBoard; wasWaiting: boolean };

/** Makes the desk over a store's leading. */
export const makeStoreDesk = (options: {
  readonly leader: () => LotLeader;
  readonly now: () => number;
  readonly wall: () => number;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): StoreDesk => {
  const { now } = options;
  const boards = new Map<string, Open>();
  const ended = new Map<string, number>();
  const sessions = new Map<string, number>();
  const readers = new Map<string, Array<() => void>>();
  let revision = 1;
  let watchers: Array<() => void> = [];

  let bumping = false;
  const bump = (): void => {
    revision += 1;
    if (bumping) return;
    bumping = true;
    setImmediate(() => {
      bumping = false;
      const woken = watchers;
      watchers = [];
      for (const each of woken) each();
    });
  };
  const wakeReaders = (lot: string): void => {
    const woken = readers.get(lot) ?? [];
    readers.delete(lot);
    for (const each of woken) each();
  };
  const boardOf = (led: Led): LotBoard | undefined => {
    const { body } = led.state;
    if (!body || led.state.ended || !led.open || led.chosen < led.found) return undefined;
    const known = boards.get(led.lot);
    if (known) return known.board;
    const board = makeLotBoard({ lot: led.lot, body, done: led.state.listed, now });
    boards.set(led.lot, { board, wasWaiting: true });
    bump();
    return board;
  };
  const advertOf = (led: Led, board: LotBoard): Advert => {
    const body = led.state.body!;
    const passed = Math.max(0, options.wall() - body.handedAt);
    return {
      lot: led.lot,
      host: body.host,
      path: body.items[0]?.path ?? '/',
      model: body.model,
      minVersion: body.minVersion,
      single: body.single,
      leftMs: body.dueMs - Math.min(passed, 10 * body.dueMs),
      ...board.counts(),
      prompt: Math.round(promptsOf(body)),
      leaseMs: Math.max(0, Math.round(led.confirmedAt + leaseMs - now())),
    };
  };
  const adverts = (): ReadonlyArray<Advert> =>
    [...options.leader().led()].flatMap((led) => {
      const board = boardOf(led);
      return board ? [advertOf(led, board)] : [];
    });
  const watching = (): WatchAnswer => ({ revision, adverts: adverts(), ended: [...ended.keys()] });
  const leading = async (lot: string, force: boolean): Promise<Led | { moved: string } | { unknown: true }> =>
    options.leader().lead(lot, { force, make: false });

  /** Whether the lot is there; a leader that knows of none says so only while nobody else may lead. */
  const there = async (led: Led): Promise<boolean> => {
    if (led.state.body) return true;
    const none = led.values.length === 0 && (await options.leader().confirm(led)) && led.values.length === 0;
    if (!none && !led.state.body) throw new Fault({ step: 'find lot', reason: `${led.lot} is being written` });
    return led.state.body !== undefined;
  };

  type Asked = { readonly lot: string; readonly force: boolean; readonly caller?: Caller };
  /** Nobody but its tenant learns of a lot or changes it. */
  const foreign = (led: Led, caller: Caller | undefined): boolean => !tenantKeys.mayUse(led.state.body?.tenant, caller);
  /** Leads a lot that is handed in; where it can't, nothing of the lot was written by this call. */
  const leadNew = async (lot: string, force: boolean): Promise<Led | NotLed> => {
    try {
      return await options.leader().lead(lot, { force, make: true });
    } catch (cause) {
      throw new Fault({ step: 'lead lot', reason: `${lot}: ${String(cause)}`, unknown: false });
    }
  };
  const create = async ({ lot, force, caller, body }: Asked & { body: LotBody }): Promise<unknown> => {
    const led = await leadNew(lot, force);
    if (!('state' in led)) return led;
    if (!led.state.body) await options.leader().propose(led, { kind: 'lot', body });
    if (foreign(led, caller)) return { foreign: true };
    boardOf(led);
    return { taken: true };
  };
  type AskedToRead = Asked & { readonly after: number; readonly waitMs: number };
  const read = async ({ lot, force, caller, after, waitMs }: AskedToRead): Promise<unknown> => {
    const start = now();
    const led = await leading(lot, force);
    if (!('state' in led)) return led;
    if (!(await there(led))) return { unknown: true };
    if (foreign(led, caller)) return { foreign: true };
    boardOf(led);
    const { results } = led.state;
    if (results.length <= after && !led.state.ended && waitMs > 0)
      await new Promise<void>((resolve) => {
        const woken = (): void => {
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(() => {
          const left = (readers.get(lot) ?? []).filter((each) => each !== woken);
          if (left.length > 0) readers.set(lot, left);
          else readers.delete(lot);
          resolve();
        }, waitMs);
        readers.set(lot, [...(readers.get(lot) ?? []), woken]);
      });
    if (results.length <= after && led.confirmedAt < start && !(await options.leader().confirm(led)))
      throw new Fault({ step: 'read lot', reason: `${lot}: no majority confirms this leader` });
    let bytes = 0;
    const some: LotResult[] = [];
    for (let at = after; at < results.length && (some.length === 0 || bytes < readBytes); at += 1) {
      some.push(results[at]!);
      bytes += texts.readSize(results[at]!.text) * 1.1 + 300;
    }
    return { total: led.state.body!.items.length, results: some };
  };
  const item = async ({ lot, force, caller, id }: Asked & { id: string }): Promise<unknown> => {
    const led = await leading(lot, force);
    if (!('state' in led)) return led;
    if (!(await there(led))) return { unknown: true };
    if (foreign(led, caller)) return { foreign: true };
    const found = led.state.body?.items.find((each) => each.id === id);
    return found ? { body: found.body } : { unknown: true };
  };
  const end = async ({ lot, force, caller }: Asked): Promise<unknown> => {
    const led = await leading(lot, force);
    if (!('state' in led)) return led;
    if (!(await there(led))) return { unknown: true };
    if (foreign(led, caller)) return { foreign: true };
    if (!led.state.ended) await options.leader().propose(led, { kind: 'end' });
    return { ended: true };
  };
  const watch = async (ask: {
    readonly front: string;
    readonly revision: number;
    readonly holds: ReadonlyArray<{ readonly lot: string; readonly id: string; readonly sampler: string }>;
  }): Promise<WatchAnswer> => {
    sessions.set(ask.front, now());
    const byLot = new Map<string, Set<string>>();
    for (const { lot, id, sampler } of ask.holds) {
      byLot.set(lot, (byLot.get(lot) ?? new Set()).add(id));
      const led = options.leader().get(lot);
      if (led) boardOf(led)?.claim(id, ask.front, sampler);
    }
    for (const [lot, { board }] of boards) if (board.release(ask.front, byLot.get(lot) ?? new Set()) > 0) bump();
    if (ask.revision !== revision) return watching();
    return new Promise((resolve) => {
      const settle = (): void => {
        clearTimeout(timer);
        sessions.set(ask.front, now());
        resolve(watching());
      };
      const timer = setTimeout(
        () => {
          watchers = watchers.filter((each) => each !== settle);
          settle();
        },
        boards.size > 0 ? holdMs : idleHoldMs,
      );
      watchers.push(settle);
    });
  };
  const pull = (ask: {
    readonly front: string;
    readonly asks: ReadonlyArray<{ lot: string; sampler: string; version: number; most: number; spare: boolean }>;
  }): Promise<{ grants: ReadonlyArray<Grant & { sampler: string }>; adverts: ReadonlyArray<Advert> }> => {
    const grants: Array<Grant & { sampler: string }> = [];
    const told = new Map<string, Advert>();
    sessions.set(ask.front, now());
    for (const each of ask.asks) {
      const led = options.leader().get(each.lot);
      const board = led && boardOf(led);
      if (!led || !board) continue;
      for (const grant of board.pull({ front: ask.front, ...each })) grants.push({ ...grant, sampler: each.sampler });
      told.set(each.lot, advertOf(led, board));
    }
    return Promise.resolve({ grants, adverts: [...told.values()] });
  };
  const word = async (front: string, each: ItemReport): Promise<'ok' | 'moved'> => {
    const led = options.leader().get(each.lot);
    if (!led || led.chosen < led.found) return 'moved';
    const { state } = led;
    if (state.ended || !state.body || state.listed.has(each.id)) return 'ok';
    const board = boardOf(led);
    const idle = board?.waiting() === 0;
    const faults = each.result ? 0 : (board?.back(each.id, front, each.partial, each.fault === true) ?? 0);
    const given = each.never === true || (each.fault === true && faults >= state.body.attempts);
    const result: LotResult | undefined =
      each.result ?? (given ? { id: each.id, state: 'abandoned', text: '', versions: [], rating: '' } : undefined);
    if (!result) {
      // Desks ask again soon by themselves; only where nothing waited must they be told.
      if (idle) bump();
      return 'ok';
    }
    try {
      await options.leader().propose(led, { kind: 'result', result });
      return 'ok';
    } catch {
      return 'moved';
    }
  };

  const handlers = {
    'lot.create': create,
    'lot.read': read,
    'lot.item': item,
    'lot.end': end,
    'board.watch': watch,
    'board.pull': pull,
    'board.words': ({ front, words }: { front: string; words: ReadonlyArray<ItemReport> }) =>
      Promise.all(words.map((each) => word(front, each))),
  };
  return {
    handle: (name, body) => (handlers as Record<string, (body: never) => Promise<unknown>>)[name]?.(body as never),
    chosen: (led, value, result) => {
      if (result) {
        boards.get(led.lot)?.board.listed(result.id);
        wakeReaders(led.lot);
      }
      if (value.kind !== 'end') return;
      boards.delete(led.lot);
      ended.set(led.lot, now());
      wakeReaders(led.lot);
      bump();
    },
    deposed: (led) => {
      if (boards.delete(led.lot)) bump();
      wakeReaders(led.lot);
    },
    tick: () => {
      const at = now();
      for (const [front, heardAt] of sessions)
        if (at - heardAt > sessionMs) {
          sessions.delete(front);
          let count = 0;
          for (const { board } of boards.values()) count += board.release(front);
          if (count > 0) {
            options.event('items_taken_back', { front, count });
            bump();
          }
        }
      for (const [lot, since] of ended) if (at - since > endedKeptMs) ended.delete(lot);
      for (const led of options.leader().led()) boardOf(led);
    },
  };
};
