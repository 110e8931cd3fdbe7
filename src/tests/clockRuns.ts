import type { AskHead, Caller, Dialect, LotCall, Reply } from '../fleet/dialect.js';
import type { Advert, Grant, HostBinding, LotBody, LotResult, Member } from '../fleet/fleetTypes.js';
import type { FleetView } from '../fleet/watcher.js';
import { makeLotAsks } from '../fleet/front/lotAsks.js';
import { makeStoreCalls } from '../fleet/front/storeCalls.js';
import { makeLotLeader, type LotLeader } from '../fleet/store/lotLeader.js';
import { lotReplica, type ReplicaLog } from '../fleet/store/lotReplica.js';
import { makeStoreDesk } from '../fleet/store/storeDesk.js';
import type { Channels } from '../edge/channels.js';

const anyone = { keysInUse: false };
const self = { name: 'store-1', disk: 'd' };
const items = Array.from({ length: 6 }, (_, at) => ({
  id: `i${at}`,
  path: '/p',
  headers: {},
  body: '',
  tokens: 10,
  prompt: 1,
  group: `g${at >> 1}`,
}));
const dialect = {
  lotBody: (_bytes, host, _binding, wall, { tenant }): LotBody => ({
    host,
    ...(tenant !== undefined && { tenant }),
    model: 'm',
    step: 1,
    minVersion: 1,
    wanted: 3,
    single: false,
    handedAt: wall,
    dueMs: 5000,
    waitMs: 5000,
    attempts: 5,
    items,
  }),
  refusal: (status, _attempt, _againMs, cause): Reply => ({ status, body: cause }),
  lotItem: (base64): Reply => ({ status: 200, body: Buffer.from(base64, 'base64') }),
  lotRead: (total, after, results): Reply => ({ status: 200, body: JSON.stringify({ total, after, results }) }),
} satisfies Partial<Dialect> as unknown as Dialect;

/** A front and a store, each with a wall clock that the test moves; `now` only goes on. */
const begin = (walls: { readonly front: () => number; readonly store: () => number }) => {
  const now = (): number => performance.now();
  const logs = new Map<string, ReplicaLog>();
  const journal = {
    append: () => Promise.resolve(),
    retire: () => Promise.resolve(),
    stats: () => ({ bytes: 0, syncs: 0, segments: 1 }),
  };
  const place = { ...self, peer: self.name, zone: 'a' };
  const member: Member = { ...place, role: 'store', state: 'ready', incarnation: 1, sequence: 0, coreFresh: false };
  const stores = { epoch: 1, current: [self], previous: [] };
  const view: FleetView = {
    members: new Map([[self.name, member]]),
    samplers: new Map(),
    followed: { sequence: 1, models: {}, stores, voters: [], electorate: 1, traffic: undefined },
  };
  const taken: string[] = [];
  let leader: LotLeader | undefined = undefined;
  const desk = makeStoreDesk({
    leader: () => leader!,
    now,
    wall: walls.store,
    event: (name) => taken.push(name),
  });
  const channels = {
    call: (_to: string, name: string, body: unknown) =>
      leader!.handle(name, body) ?? desk.handle(name, body) ?? Promise.reject(new Error('not answered')),
  } as unknown as Channels;
  const made = makeLotLeader({
    self,
    owner: 'store-1#1',
    copies: 1,
    replica: lotReplica.make({ logs, journal, now }),
    channels,
    view: () => stores,
    member: () => member,
    now,
    leaving: () => false,
    chosen: desk.chosen,
    deposed: desk.deposed,
    event: () => undefined,
  });
  leader = made;
  const calls = makeStoreCalls({ channels, view: () => view, now });
  const lots = makeLotAsks({ stores: calls, dialect, wall: walls.front, event: () => undefined });
  const call = <T>(name: string, body: object): Promise<T> => channels.call('store-1', name, body, 500) as Promise<T>;
  const binding = {} as HostBinding;
  return {
    taken,
    tick: () => {
      made.tick();
      desk.tick();
      void made.confirmAll();
    },
    hand: async (lot: string, caller: Caller = anyone): Promise<number> => {
      const head: AskHead = { attempt: lot, timeLeftMs: 5000, resumeAfter: undefined };
      return (await lots.hand(head, 'h', binding, new Uint8Array(), caller)).status;
    },
    read: async (lot: string, after = 0, waitMs = 0): Promise<ReadonlyArray<LotResult>> => {
      const reply = await lots.call({ kind: 'read', lot, after, waitMs }, anyone);
      return (JSON.parse(String(reply.body)) as { readonly results: ReadonlyArray<LotResult> }).results;
    },
    end: async (lot: string): Promise<number> => (await lots.call({ kind: 'end', lot }, anyone)).status,
    call: async (call: LotCall, caller: Caller): Promise<number> => (await lots.call(call, caller)).status,
    watch: (holds: ReadonlyArray<{ lot: string; id: string; sampler: string }> = []) =>
      call<{ adverts: ReadonlyArray<Advert>; ended: ReadonlyArray<string> }>('board.watch', {
        front: 'f0',
        revision: -1,
        holds,
      }),
    pull: (lot: string, most: number) =>
      call<{ grants: ReadonlyArray<Grant>; adverts: ReadonlyArray<Advert> }>('board.pull', {
        front: 'f0',
        asks: [{ lot, sampler: 's', version: 1, most, spare: true }],
      }),
    say: (lot: string, id: string) => {
      const result: LotResult = { id, state: 'completed', text: id, versions: [1], rating: '' };
      return call<ReadonlyArray<string>>('board.words', { front: 'f0', words: [{ lot, id, result }] });
    },
  };
};

/** Lots at a store, handed in by a front, under clocks that jump. */
export const clockRuns = { begin, items: items.map(({ id }) => id) };
