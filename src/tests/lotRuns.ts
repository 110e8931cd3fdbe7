import type { Advert, Grant, LotBody, LotResult } from '../fleet/fleetTypes.js';
import { makeStoreCalls, type StoreCalls } from '../fleet/front/storeCalls.js';
import { lotReplica } from '../fleet/store/lotReplica.js';
import { placement } from '../policy/placement.js';
import { texts } from '../shared/texts.js';
import { makeLotFleet, type LotFleet, type Sabotage } from './lotFleet.js';

type Known = {
  readonly body: LotBody;
  ackedAt: number;
  endedAt: number;
  readonly positions: Array<{ readonly text: string; readonly id: string; readonly at: number }>;
};
type Heard = { readonly unknown?: boolean; readonly results: ReadonlyArray<LotResult> };
/** A run with its oracle: what was acknowledged or read, and each promise that broke. */
export type LotRun = {
  readonly fleet: LotFleet;
  readonly calls: ReadonlyArray<StoreCalls>;
  readonly lots: Map<string, Known>;
  readonly broken: string[];
  readonly create: (front: number, lot: string) => Promise<boolean>;
  readonly read: (front: number, lot: string, after: number, waitMs: number) => Promise<void>;
  readonly end: (front: number, lot: string) => Promise<void>;
  /** Asks one store, as a front that knows nothing better would. */
  readonly readAt: (store: string, lot: string, after: number, force: boolean) => Promise<Heard | undefined>;
};

const leaseMs = 2000;
const netMs = 50;

const bodyOf = (lot: string, groups: number): LotBody => ({
  host: 'h',
  model: 'm',
  step: 1,
  minVersion: 1,
  wanted: groups,
  single: false,
  handedAt: 0,
  dueMs: 5000,
  waitMs: 5000,
  attempts: 5,
  items: Array.from({ length: groups * 2 }, (_, at) => ({
    id: `${lot}.${at}`,
    path: '/p',
    headers: {},
    body: '',
    tokens: 10,
    prompt: 1,
    group: `g${at >> 1}`,
  })),
});

/** Begins a run; `late` makes answers late, `byHand` leaves the store views to the test. */
const begin = async (options: Parameters<typeof makeLotFleet>[0]): Promise<LotRun> => {
  const fleet = makeLotFleet(options);
  const { stores } = options;
  const lots = new Map<string, Known>();
  const broken: string[] = [];
  const calls = ['f0', 'f1'].map((front) =>
    makeStoreCalls({ channels: fleet.channels(front), view: () => fleet.fleetView(front), now: fleet.now }),
  );
  fleet.onAnswer((store, name, value, at) => {
    if (name !== 'board.watch' && name !== 'board.pull') return;
    for (const { lot, leaseMs: left } of (value as { adverts: ReadonlyArray<Advert> }).adverts) {
      const known = lots.get(lot);
      if (known && left > 0 && at + left > known.endedAt + leaseMs + netMs)
        broken.push(`${store} lends ${lot} for ${left} ms at ${at}, ended at ${known.endedAt}`);
    }
  });
  const judge = (lot: string, after: number, start: number, heard: Heard): void => {
    const known = lots.get(lot);
    if (!known) return;
    if (heard.unknown) {
      if (known.ackedAt < start) broken.push(`${lot} is lost`);
      return;
    }
    if (heard.results.length === 0 && known.positions[after] && known.positions[after].at < start)
      broken.push(`${lot} says nothing at ${after} once it was read`);
    heard.results.forEach((result, place) => {
      const text = JSON.stringify({ ...result, text: texts.read(result.text) });
      const before = known.positions[after + place];
      if (before && before.text !== text) broken.push(`${lot} changed ${after + place}: ${before.text} to ${text}`);
      const other = known.positions.findIndex((each) => each?.id === result.id);
      if (other >= 0 && other !== after + place)
        broken.push(`${lot} lists ${result.id} at ${other} and ${after + place}`);
      known.positions[after + place] ??= { text, id: result.id, at: fleet.now() };
    });
  };
  const run: LotRun = {
    fleet,
    calls,
    lots,
    broken,
    create: async (front, lot) => {
      const body = lots.get(lot)?.body ?? bodyOf(lot, lot.startsWith('lot') ? 2 + (lot.length % 2) : 2);
      const known: Known = lots.get(lot) ?? { body, ackedAt: Infinity, endedAt: Infinity, positions: [] };
      lots.set(lot, known);
      try {
        await calls[front]!.call(lot, 'lot.create', { body }, 2600, 900);
        known.ackedAt = Math.min(known.ackedAt, fleet.now());
        return true;
      } catch {
        return false;
      }
    },
    read: async (front, lot, after, waitMs) => {
      const start = fleet.now();
      try {
        const heard = await calls[front]!.call(lot, 'lot.read', { after, waitMs }, 1300 + waitMs, 600 + waitMs);
        judge(lot, after, start, heard as Heard);
      } catch {
        await fleet.sleep(100);
      }
    },
    end: async (front, lot) => {
      try {
        const heard = (await calls[front]!.call(lot, 'lot.end', {}, 2300, 600)) as Heard;
        const known = lots.get(lot)!;
        if (!heard.unknown) known.endedAt = Math.min(known.endedAt, fleet.now());
      } catch {
        // The trainer asks again.
      }
    },
    readAt: async (store, lot, after, force) => {
      const start = fleet.now();
      try {
        const asked = { lot, after, waitMs: 0, force };
        const heard = (await fleet.channels('f0').call(store, 'lot.read', asked, 1500)) as Heard & { moved?: string };
        if (heard.moved !== undefined) return undefined;
        judge(lot, after, start, heard);
        return heard;
      } catch {
        return undefined;
      }
    },
  };
  if (options.membershipReconciler === false)
    fleet.setView({
      epoch: 1,
      current: stores.map((name) => {
        const zone = options.zones?.[name];
        return { name, disk: fleet.disk(name).id, ...(zone !== undefined && { zone }) };
      }),
      previous: [],
    });
  await fleet.advance(2500);
  return run;
};

/** A front that takes items of every lot and says their results. */
const work = async (run: LotRun, front: string, open: () => boolean): Promise<void> => {
  const { fleet } = run;
  const channels = fleet.channels(front);
  const held = new Map<string, { readonly lot: string; readonly id: string; readonly result: LotResult }>();
  let made = 0;
  while (open()) {
    await fleet.sleep(60 + fleet.int(60));
    await Promise.all(
      [...fleet.fleetView(front).members.values()].map(async (member) => {
        try {
          const holds = [...held.values()].map(({ lot, id }) => ({ lot, id, sampler: 's' }));
          const watch = { front, revision: -1, holds };
          const heard = (await channels.call(member.peer, 'board.watch', watch, 500)) as {
            readonly adverts: ReadonlyArray<Advert>;
            readonly ended: ReadonlyArray<string>;
          };
          for (const [key, { lot }] of held) if (heard.ended.includes(lot)) held.delete(key);
          const led = new Set(heard.adverts.map((advert) => advert.lot));
          const words = [...held.values()].filter(({ lot }) => led.has(lot));
          const told = words.length > 0 && channels.call(member.peer, 'board.words', { front, words }, 1500);
          const asks = heard.adverts
            .filter((advert) => advert.leaseMs > 0 && advert.needed > 0 && held.size < 4)
            .map(({ lot }) => ({ lot, sampler: 's', version: 1, most: 1, spare: false }));
          const grants =
            asks.length > 0 && channels.call(member.peer, 'board.pull', { front, asks }, 500).catch(() => false);
          const said = (await Promise.resolve(told || []).catch(() => [])) as ReadonlyArray<string>;
          words.forEach(({ id }, place) => said[place] === 'ok' && held.delete(id));
          const taken = ((await grants) || { grants: [] }) as { grants: ReadonlyArray<Grant> };
          for (const { lot, item } of taken.grants) {
            // Half of the texts are long enough to travel as bytes.
            const plain = `${item.id} ${front} ${(made += 1)}`;
            const text = texts.pack(made % 2 === 0 ? plain : plain.padEnd(500, plain));
            const result: LotResult = { id: item.id, state: 'completed', text, versions: [1], rating: '' };
            held.set(item.id, { lot, id: item.id, result });
          }
        } catch {
          // Asked again at the next round.
        }
      }),
    );
  }
};

/** A trainer: hands a lot in, reads it by several fronts and ends some. */
const train = async (run: LotRun, lot: string, early: boolean, open: () => boolean): Promise<void> => {
  const { fleet } = run;
  if (early && fleet.chance() < 0.5) void run.readAt([...fleet.fleetView('f0').members.keys()][0]!, lot, 0, true);
  while (open() && !(await run.create(fleet.int(2), lot))) await fleet.sleep(200);
  const reader = async (front: number): Promise<void> => {
    while (open()) {
      const there = run.lots.get(lot)!.positions.length;
      await run.read(front, lot, fleet.chance() < 0.5 ? there : fleet.int(there + 1), fleet.int(3) * 150);
      await fleet.sleep(50 + fleet.int(250));
    }
  };
  const ender = async (): Promise<void> => {
    for (let left = 15 + fleet.int(30); open() && left > 0; left -= 1) await fleet.sleep(200);
    while (open() && run.lots.get(lot)!.endedAt === Infinity) {
      await run.end(fleet.int(2), lot);
      await fleet.sleep(200);
    }
  };
  await Promise.all([reader(0), reader(1), ...(fleet.chance() < 0.4 ? [ender()] : [])]);
};

/** A batch that is handed in and ended, and then rests unread. */
const rest = async (run: LotRun, lot: string, open: () => boolean): Promise<void> => {
  while (open() && !(await run.create(run.fleet.int(2), lot))) await run.fleet.sleep(200);
  while (open() && run.lots.get(lot)!.endedAt === Infinity) {
    await run.end(run.fleet.int(2), lot);
    await run.fleet.sleep(200);
  }
};

/** Fronts that ask any store, at times by force, and read at the end of what they know. */
const probe = async (run: LotRun, stores: ReadonlyArray<string>, open: () => boolean): Promise<void> => {
  const { fleet, lots } = run;
  while (open()) {
    await fleet.sleep(30 + fleet.int(120));
    const taken = [...lots].filter(([, known]) => known.ackedAt < Infinity);
    if (taken.length === 0) continue;
    const [lot, { positions }] = taken[fleet.int(taken.length)]!;
    const after = Math.max(0, positions.length - fleet.int(2));
    void run.readAt(stores[fleet.int(stores.length)]!, lot, after, fleet.chance() < 0.2);
  }
};

/** Short cuts between any two, and stores that only fronts and the core reach. */
const mess = async ({ fleet }: LotRun, names: ReadonlyArray<string>, open: () => boolean): Promise<void> => {
  while (open()) {
    await fleet.sleep(100 + fleet.int(600));
    const [one, other] = [names[fleet.int(names.length)]!, names[fleet.int(names.length)]!];
    const alone = fleet.chance() < 0.5;
    const mend = (alone ? names.filter((each) => !each.startsWith('f')) : [other]).flatMap((each) => [
      fleet.cut(one, each),
      ...(alone || fleet.chance() < 0.5 ? [fleet.cut(each, one)] : []),
    ]);
    await fleet.sleep(fleet.int(1500));
    for (const each of mend) each();
  }
};

/** Of which batches that ended less than a majority of the present copies holds the end. */
const thinEnded = ({ fleet, lots }: LotRun): string | undefined => {
  for (const [lot, { endedAt, ackedAt }] of lots) {
    if (endedAt === Infinity || ackedAt === Infinity) continue;
    const [set] = placement.sets(lot, fleet.view(), 3);
    const holders = set!.filter(({ name }) => lotReplica.hasEnded(fleet.node(name)?.logs.get(lot)?.entries ?? []));
    if (holders.length <= set!.length / 2) return `${holders.length} of ${set!.length} copies of ${lot} hold its end`;
  }
  return undefined;
};

/** Every position there, copies alike, the view settled. */
const whole = (run: LotRun): string | undefined => {
  const { fleet, lots } = run;
  const view = fleet.view();
  if (view.previous.length > 0) return `the view of epoch ${view.epoch} never settles`;
  for (const [lot, { body, positions, ackedAt, endedAt }] of lots) {
    if (ackedAt === Infinity || endedAt < Infinity) continue;
    if (positions.length < body.items.length) return `${lot} lists ${positions.length} of ${body.items.length}`;
    const held = placement
      .sets(lot, view, 3)[0]!
      .map(({ name }) => fleet.node(name)?.logs.get(lot)?.entries.length ?? 0);
    if (Math.min(...held) <= body.items.length) return `copies of ${lot} hold ${held.join()} entries`;
  }
  return thinEnded(run);
};

/** What may befall a store or the network; with `early`, lots are read before they are taken. */
export type Kind = 'kill' | 'wipe' | 'freeze' | 'cut' | 'loss' | 'disk' | 'add' | 'retire' | 'early' | 'outage';

/** Longer lives also have batches that rest unread. */
const shortLifeFaults = 4;

/** One random run: at most one store is down at a time, and the next fault waits until the one before is repaired. */
const storm = async (
  seed: number,
  kinds: ReadonlyArray<Kind>,
  { sabotage = 'none', faults = shortLifeFaults }: { readonly sabotage?: Sabotage; readonly faults?: number } = {},
): Promise<ReadonlyArray<string>> => {
  const names = ['a', 'b', 'c', 'd', 'e'].slice(0, 3 + (seed % 3));
  const run = await begin({ seed, stores: names, sabotage });
  const { fleet, broken } = run;
  const stores = [...names];
  let [open, calm] = [true, false];
  const parties = ['f0', 'f1'].map((front) => work(run, front, () => open));
  for (let at = 0; at < 4; at += 1)
    parties.push(train(run, `lot${'x'.repeat(at)}${seed}`, kinds.includes('early'), () => open));
  const resting = faults > shortLifeFaults ? 6 : 0;
  for (let at = 0; at < resting; at += 1) parties.push(rest(run, `rest${at}.${seed}`, () => open));
  if (seed % 4 > 1) parties.push(probe(run, stores, () => open));
  if (kinds.includes('cut')) parties.push(mess(run, [...names, 'f0', 'f1'], () => open && !calm));
  const slow = (): void => {
    for (const store of stores) Object.assign(fleet.disk(store), { slowMs: seed % 2 === 0 ? 0 : fleet.int(40) });
  };
  const repaired = async (): Promise<void> => {
    for (let at = 0; at < 200 && (fleet.view().previous.length > 0 || at < 8); at += 1) await fleet.advance(100);
    if (fleet.view().previous.length > 0) broken.push(`the view of epoch ${fleet.view().epoch} never settles`);
    const thin = thinEnded(run);
    if (thin !== undefined) broken.push(thin);
  };
  for (let at = 0; at < faults && broken.length === 0; at += 1) {
    const kind = kinds[fleet.int(kinds.length)]!;
    const store = stores[fleet.int(stores.length)]!;
    const other = [...stores, 'core', 'f0'].filter((each) => each !== store)[fleet.int(stores.length + 1)]!;
    slow();
    await fleet.advance(fleet.int(900));
    if (kind === 'loss') Object.assign(fleet.net, { loss: 0.05, slow: 0.2 });
    if (kind === 'disk') Object.assign(fleet.disk(store), { failing: fleet.chance() < 0.6, slowMs: fleet.int(300) });
    if (kind === 'cut') {
      fleet.cut(store, other);
      if (fleet.chance() < 0.6) fleet.cut(other, store);
    }
    if (kind === 'freeze') fleet.freeze(store);
    if (kind === 'kill') fleet.kill(store);
    if (kind === 'wipe') fleet.wipe(store);
    if (kind === 'outage') for (const each of stores) fleet.kill(each);
    if (kind === 'add' && stores.length < 6) {
      stores.push(`n${at}`);
      fleet.boot(`n${at}`);
    }
    if (kind === 'retire' && stores.length > 3) {
      fleet.empty(store);
      await repaired();
      if (fleet.view().current.every((each) => each.name !== store)) {
        fleet.kill(store);
        stores.splice(stores.indexOf(store), 1);
      }
    }
    await fleet.advance(300 + fleet.int(kind === 'freeze' ? 4500 : 2500));
    fleet.heal();
    fleet.thaw(store);
    for (const each of stores) if (!fleet.node(each)) fleet.boot(each);
    await repaired();
  }
  calm = true;
  await fleet.advance(1600);
  fleet.heal();
  let lacking = whole(run);
  for (let at = 0; at < 60 && lacking !== undefined && broken.length === 0; at += 1) {
    await fleet.advance(250);
    lacking = whole(run);
  }
  if (lacking !== undefined) broken.push(lacking);
  open = false;
  await fleet.advance(4000);
  await Promise.all(parties);
  fleet.close();
  return broken;
};

const storms = async (
  from: number,
  count: number,
  kinds: ReadonlyArray<Kind>,
  faults?: number,
): Promise<ReadonlyArray<string>> => {
  const found: string[] = [];
  for (let seed = from; seed < from + count; seed += 1)
    for (const each of (await storm(seed, kinds, { ...(faults !== undefined && { faults }) })).slice(0, 1))
      found.push(`${seed}: ${each}`);
  return found;
};

/** Random runs and what scripts need for theirs. */
export const lotRuns = { begin, storm, storms };
