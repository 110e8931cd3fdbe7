import { Effect } from 'effect';
import type { Register } from '../core/register.js';
import type { Channels } from '../edge/channels.js';
import { packing } from '../edge/packing.js';
import { membershipReconciler } from '../fleet/core/membershipReconciler.js';
import type { Member, StoreView } from '../fleet/fleetTypes.js';
import type { FleetView } from '../fleet/watcher.js';
import type { Journal } from '../fleet/store/journal.js';
import { makeLotLeader, type LotLeader } from '../fleet/store/lotLeader.js';
import { lotReplica, type LotReplica, type ReplicaLog, type ReplicaRecord } from '../fleet/store/lotReplica.js';
import { makeStoreDesk } from '../fleet/store/storeDesk.js';
import { Fault } from '../shared/fault.js';
import { Parted } from '../shared/parted.js';
import { randomSource } from '../sim/randomSource.js';

type Life = { readonly name: string; dead: boolean; frozen: boolean; held: Array<() => void> };
type Due = { readonly at: number; readonly life: Life; readonly run: () => void; off: boolean };
type Saved = ReturnType<typeof Parted.split>;
type Write = { readonly saved: Saved; readonly done: () => void; readonly failed: (fault: Fault) => void };
type Handle = (name: string, body: unknown) => Promise<unknown> | undefined;
type Node = {
  readonly life: Life;
  readonly handle: Handle;
  readonly logs: Map<string, ReplicaLog>;
  readonly leader: LotLeader;
};

/** A disk: what lasts on it, and writes that no sync has covered. */
export type FakeDisk = { readonly id: string; lasting: Saved[]; unsynced: Write[]; failing: boolean; slowMs: number };

/** How a run is broken on purpose, to check the checker. */
export type Sabotage = 'none' | 'confirmsAll' | 'answersBeforeSync' | 'acceptsAll';

/** Several stores, a core with the product's membershipReconciler and any number of fronts, in virtual time. */
export type LotFleet = {
  readonly now: () => number;
  readonly chance: () => number;
  readonly int: (below: number) => number;
  readonly advance: (ms: number) => Promise<void>;
  readonly sleep: (ms: number) => Promise<void>;
  readonly channels: (front: string) => Channels;
  readonly fleetView: (front: string) => FleetView;
  readonly view: () => StoreView;
  readonly setView: (view: StoreView) => void;
  readonly node: (name: string) => Node | undefined;
  readonly disk: (name: string) => FakeDisk;
  readonly boot: (name: string) => void;
  readonly kill: (name: string) => void;
  readonly wipe: (name: string) => void;
  readonly freeze: (name: string) => void;
  readonly thaw: (name: string) => void;
  readonly empty: (name: string) => void;
  /** Loses what goes one way; answers how that ends. */
  readonly cut: (from: string, to: string) => () => void;
  readonly heal: () => void;
  readonly net: { loss: number; slow: number; slowMs: number };
  readonly onAnswer: (listener: (store: string, name: string, value: unknown, at: number) => void) => void;
  readonly close: () => void;
};

const beatMs = 100;
const goneMs = 1200;
const nothingElse = { models: {}, voters: [], electorate: 1, traffic: undefined };
const real = {
  setTimeout: globalThis.setTimeout,
  clearTimeout: globalThis.clearTimeout,
  setImmediate: globalThis.setImmediate,
};

/** Makes a fleet whose timers are virtual until `close`; runs of one seed are the same. */
export const makeLotFleet = (options: {
  readonly seed: number;
  readonly stores: ReadonlyArray<string>;
  readonly sabotage?: Sabotage;
  /** Where stores stand, for the view that the test says. */
  readonly zones?: Readonly<Record<string, string>>;
  /** False where the test says the store views. */
  readonly membershipReconciler?: boolean;
  /** How much later an answer comes back, for scripts. */
  readonly late?: (from: string, to: string, name: string) => number;
}): LotFleet => {
  const sabotage = options.sabotage ?? 'none';
  const chance = randomSource(options.seed * 2654435761);
  const int = (below: number): number => Math.floor(chance() * below);
  let [time, places, ticks] = [0, 0, 0];
  const core: Life = { name: 'core', dead: false, frozen: false, held: [] };
  let turn = core;
  const queue: Due[] = [];
  const now = (): number => time + (ticks += 1) * 1e-6;

  /** Latest first, so that the next one is taken from the end. */
  const push = (due: Due): void => {
    let [low, high] = [0, queue.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if (queue[middle]!.at > due.at) low = middle + 1;
      else high = middle;
    }
    queue.splice(low, 0, due);
  };
  const after = (ms: number, life: Life, run: () => void): Due => {
    const due = { at: time + Math.max(0, ms), life, run, off: false };
    push(due);
    return due;
  };
  const every = (ms: number, life: Life, run: () => void): void => {
    const again = (): void => {
      if (life.dead) return;
      run();
      after(ms, life, again);
    };
    after(ms * chance(), life, again);
  };
  const settle = (): Promise<void> => new Promise((resolve) => real.setImmediate(resolve));
  const advance = async (ms: number): Promise<void> => {
    const until = time + ms;
    await settle();
    while (queue.length > 0 && queue.at(-1)!.at <= until) {
      const due = queue.pop()!;
      if (due.off || due.life.dead) continue;
      if (due.life.frozen) {
        due.life.held.push(() => due.off || due.run());
        continue;
      }
      if (due.at > time) [time, ticks] = [due.at, 0];
      turn = due.life;
      due.run();
      await settle();
      turn = core;
    }
    [time, ticks] = [until, 0];
  };
  globalThis.setTimeout = ((run: () => void, ms = 0) => after(ms, turn, run)) as never;
  globalThis.clearTimeout = ((due: Due | undefined) => void (due && (due.off = true))) as never;
  globalThis.setImmediate = ((run: () => void) => after(0, turn, run)) as never;

  const net = { loss: 0, slow: 0, slowMs: 400 };
  const cuts = new Set<string>();
  const passes = (from: string, to: string): boolean => !cuts.has(`${from}>${to}`) && chance() >= net.loss;
  const delay = (): number => 0.3 + chance() * 2 + (chance() < net.slow ? chance() * net.slowMs : 0);
  const nodes = new Map<string, Node>();
  const listeners: Array<(store: string, name: string, value: unknown, at: number) => void> = [];

  const call = (from: Life, to: string, name: string, body: unknown, ms: number): Promise<unknown> =>
    new Promise((resolve, reject) => {
      const fails = (reason: string, unknown: boolean): void =>
        reject(new Fault({ step: name, cohortMember: to, reason, ...(unknown && { unknown }) }));
      const timer = after(ms, from, () => fails('no answer in time', true));
      const asked = packing.pack(body);
      const back = (act: () => void): void => {
        if (!passes(to, from.name)) return;
        after(delay() + (options.late?.(to, from.name, name) ?? 0), from, () => {
          timer.off = true;
          act();
        });
      };
      const serve = (node: Node): void => {
        const refused = (cause: unknown): void => back(() => fails(String(cause), false));
        try {
          const work = node.handle(name, packing.unpack(asked));
          if (!work) return refused('not answered here');
          work.then((value) => {
            const answer = packing.pack(value);
            for (const listener of listeners) listener(to, name, packing.unpack(answer), time);
            back(() => resolve(packing.unpack(answer)));
          }, refused);
        } catch (cause) {
          refused(cause);
        }
      };
      if (!passes(from.name, to)) return;
      after(delay(), core, () => {
        const node = nodes.get(to);
        if (node) after(0, node.life, () => serve(node));
        else back(() => fails('refused', true));
      });
    });
  const channelsOf = (life: Life): Channels =>
    ({ call: (to: string, name: string, body: unknown, ms: number) => call(life, to, name, body, ms) }) as Channels;

  const disks = new Map<string, FakeDisk>();
  let diskCount = 0;
  const freshDisk = (name: string): FakeDisk => {
    const disk = { id: `${name}/${(diskCount += 1)}`, lasting: [], unsynced: [], failing: false, slowMs: 0 };
    disks.set(name, disk);
    return disk;
  };
  const journalOf = (disk: FakeDisk, life: Life): Journal => {
    let running = false;
    const sync = (): void => {
      const count = disk.unsynced.length;
      running = count > 0;
      if (!running) return;
      after(disk.slowMs + chance() * 3, life, () => {
        const batch = disk.unsynced.splice(0, count);
        const { failing } = disk;
        const kept = failing ? int(count + 1) : count;
        disk.lasting.push(...batch.slice(0, kept).map((write) => write.saved));
        for (const write of batch)
          if (failing) write.failed(new Fault({ step: 'journal', reason: 'the disk refuses' }));
          else write.done();
        sync();
      });
    };
    return {
      append: (_lot, record) =>
        new Promise((done, failed) => {
          disk.unsynced.push({ saved: Parted.split(record), done, failed });
          if (sabotage === 'answersBeforeSync') done();
          if (running) return;
          running = true;
          after(0, life, sync);
        }),
      retire: () => Promise.resolve(),
      stats: () => ({ bytes: 0, syncs: 0, segments: 1 }),
    };
  };

  type News = { readonly sequence: number; readonly stores: StoreView; readonly members: ReadonlyMap<string, Member> };
  let news: News = { sequence: 0, stores: { epoch: 0, current: [], previous: [] }, members: new Map() };
  const heard = new Map<Life, News>();
  const heardBy = (life: Life): News => heard.get(life) ?? { ...news, stores: { epoch: 0, current: [], previous: [] } };
  const beats = new Map<string, { readonly at: number; readonly member: Member }>();
  const fronts = new Map<string, Life>();
  const tell = (): void => {
    const told = news;
    for (const life of [...[...nodes.values()].map((node) => node.life), ...fronts.values()])
      if (passes('core', life.name))
        after(delay(), life, () => {
          if (told.sequence >= heardBy(life).sequence) heard.set(life, told);
        });
  };
  let emptied: ReadonlyArray<string> = [];
  const setView = (stores: StoreView): void => {
    news = { ...news, sequence: news.sequence + 1, stores };
    tell();
  };

  const boot = (name: string): void => {
    const life: Life = { name, dead: false, frozen: false, held: [] };
    const disk = disks.get(name) ?? freshDisk(name);
    disk.unsynced = [];
    const logs = new Map<string, ReplicaLog>();
    for (const { json, parts } of disk.lasting)
      lotReplica.applied(logs, Parted.join(json, parts) as ReplicaRecord, now());
    const kept = lotReplica.make({ logs, journal: journalOf(disk, life), now });
    const accepts: LotReplica = { ...kept, append: (part) => kept.append(part).then(() => true) };
    const replica = sabotage === 'acceptsAll' ? accepts : kept;
    let leader: LotLeader | undefined = undefined;
    const desk = makeStoreDesk({ leader: () => leader!, now, wall: () => time, event: () => undefined });
    const made = makeLotLeader({
      self: { name, disk: disk.id },
      owner: `${name}#${(places += 1)}`,
      copies: 3,
      replica,
      channels: channelsOf(life),
      view: () => heardBy(life).stores,
      member: (other) => heardBy(life).members.get(other),
      now,
      leaving: () => false,
      chosen: desk.chosen,
      deposed: desk.deposed,
      event: () => undefined,
    });
    const lying = { ...made, confirm: () => Promise.resolve(true) };
    const ready: LotLeader = sabotage === 'confirmsAll' ? lying : made;
    leader = ready;
    const unsettled = () => ({ epoch: heardBy(life).stores.epoch, count: ready.unsettled().length, some: [] });
    const handle: Handle = (asked, body) =>
      asked === 'store.unsettled'
        ? Promise.resolve(unsettled())
        : (ready.handle(asked, body) ?? desk.handle(asked, body));
    nodes.set(name, { life, handle, logs, leader: ready });
    const incarnation = (places += 1);
    every(beatMs, life, () => {
      const member: Member = {
        name,
        role: 'store',
        zone: 'z',
        peer: name,
        disk: disk.id,
        state: 'ready',
        incarnation,
        sequence: 0,
        coreFresh: false,
      };
      if (passes(name, 'core')) beats.set(name, { at: time, member });
    });
    every(200, life, () => {
      ready.tick();
      desk.tick();
    });
    every(500, life, () => void ready.confirmAll());
  };
  const kill = (name: string): void => {
    const node = nodes.get(name);
    if (!node) return;
    node.life.dead = true;
    nodes.delete(name);
    const disk = disks.get(name)!;
    disk.lasting.push(...disk.unsynced.slice(0, int(disk.unsynced.length + 1)).map((write) => write.saved));
    disk.unsynced = [];
  };

  const voters = ['k1', 'k2', 'k3'].map((name) => ({ name, disk: name }));
  const cores = voters.map(({ name, disk }) => ({ name, disk, role: 'core', zone: 'z', peer: name, state: 'ready' }));
  const register = {
    known: () => ({ sequence: news.sequence, configuration: { voters, stores: news.stores, emptied } }),
    change: (bytes: Uint8Array) =>
      Effect.sync(() => {
        const asked = JSON.parse(Buffer.from(bytes).toString()) as { stores?: string[]; settledEpoch?: number };
        const { epoch, current } = news.stores;
        const disk = (name: string): string =>
          news.members.get(name)?.disk ?? current.find((each) => each.name === name)!.disk;
        if (asked.settledEpoch !== undefined) setView({ epoch: epoch + 1, current, previous: [] });
        else if (asked.stores) {
          const stores = asked.stores.map((name) => ({ name, disk: disk(name) }));
          setView({ epoch: epoch + 1, current: stores, previous: current });
        }
        return { state: 'chosen', reasons: [] };
      }),
  };
  const keeper = membershipReconciler.make({
    register: register as unknown as Register,
    channels: channelsOf(core),
    members: () => [...news.members.values(), ...(cores as unknown as Member[])],
    tolerance: 1,
    held: () => true,
    now,
    event: () => undefined,
  });
  let keeping = false;
  every(beatMs, core, () => {
    const there = [...beats].filter(([, beat]) => time - beat.at < goneMs);
    const members = new Map(there.map(([name, beat]) => [name, beat.member] as const));
    news = { ...news, sequence: news.sequence + 1, members };
    tell();
    if (options.membershipReconciler === false || keeping) return;
    keeping = true;
    void keeper.tick().finally(() => (keeping = false));
  });
  for (const name of options.stores) boot(name);

  const frontOf = (name: string): Life => {
    const known = fronts.get(name) ?? { name, dead: false, frozen: false, held: [] };
    fronts.set(name, known);
    return known;
  };
  return {
    now,
    chance,
    int,
    advance,
    sleep: (ms) => new Promise((resolve) => after(ms, turn, resolve)),
    channels: (name) => channelsOf(frontOf(name)),
    fleetView: (name) => {
      const told = heardBy(frontOf(name));
      const followed = { sequence: told.sequence, stores: told.stores, ...nothingElse };
      return { members: told.members, samplers: new Map(), loads: [], followed } as FleetView;
    },
    view: () => news.stores,
    setView,
    node: (name) => nodes.get(name),
    disk: (name) => disks.get(name)!,
    boot,
    kill,
    wipe: (name) => {
      kill(name);
      freshDisk(name);
    },
    freeze: (name) => void (nodes.get(name) && (nodes.get(name)!.life.frozen = true)),
    thaw: (name) => {
      const life = nodes.get(name)?.life;
      if (!life?.frozen) return;
      life.frozen = false;
      for (const run of life.held.splice(0)) after(0, life, run);
    },
    empty: (name) => void (emptied = [...emptied, name]),
    cut: (from, to) => {
      cuts.add(`${from}>${to}`);
      return () => void cuts.delete(`${from}>${to}`);
    },
    heal: () => {
      cuts.clear();
      Object.assign(net, { loss: 0, slow: 0, slowMs: 400 });
      for (const disk of disks.values()) Object.assign(disk, { failing: false, slowMs: 0 });
    },
    net,
    onAnswer: (listener) => void listeners.push(listener),
    close: () => Object.assign(globalThis, real),
  };
};
