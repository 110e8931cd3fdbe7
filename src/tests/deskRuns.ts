import type { Dialect } from '../fleet/dialect.js';
import type { HostBinding, Member, Sampler, Traffic } from '../fleet/fleetTypes.js';
import type { FleetView } from '../fleet/watcher.js';
import { makeDesks } from '../fleet/front/desks.js';
import { makeHedgeControl } from '../fleet/front/hedgeControl.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { makeStoreCalls } from '../fleet/front/storeCalls.js';
import { lotRuns, type LotRun } from './lotRuns.js';
import { plainDialect } from './plainDialect.js';
import { virtualSamplers, type VirtualAnswer, type VirtualCall } from './virtualSamplers.js';

const binding: HostBinding = {
  name: 'rollouts',
  host: 'h',
  prefix: '/',
  kind: 'rollout',
  timeLeftMs: 5000,
  aimMs: 500,
  priority: 5,
  attempts: 5,
  shares: [{ service: 'texts', weight: 1 }],
  resumable: true,
  single: false,
  lotDueMs: 5000,
  lotWaitMs: 5000,
};
const service = { name: 'texts', healthPath: '/', channelsMost: 10, model: true, cacheTokens: 0, stride: 1 };
const traffic: Traffic = {
  version: 1,
  bindings: [binding],
  services: [{ ...service, models: ['m'] }],
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  document: '{}',
};
const front: Member = {
  name: 'f0',
  role: 'front',
  zone: 'a',
  peer: 'f0',
  disk: '',
  state: 'ready',
  incarnation: 1,
  sequence: 0,
  coreFresh: false,
};
/** An item's call names the life of the sampler that it is meant for. */
const expecting: Dialect['itemCall'] = (item, host, how) => {
  const call = plainDialect.itemCall(item, host, how);
  return { ...call, headers: { ...call.headers, expected: how.sampler.id } };
};
const real = { setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval };

/** What an item's sampler tells of a whole text. */
const whole = (call: VirtualCall, events: number, afterMs: number): VirtualAnswer => {
  const from = Number(call.call.headers['last-event-id'] ?? 0);
  const lines = Array.from({ length: events }, (_, place) => `id: ${from + place + 1}\ndata: e\n\n`);
  return { kind: 'answer', status: 200, afterMs, headers: { versions: '1' }, body: lines.join('') };
};

/** A front's desks over simulated stores and samplers of virtual time. */
const begin = async (options: {
  readonly seed: number;
  readonly samplers: ReadonlyArray<Sampler>;
  readonly answer: (call: VirtualCall, chance: () => number) => VirtualAnswer;
}) => {
  const run: LotRun = await lotRuns.begin({ seed: options.seed, stores: ['a', 'b', 'c'], membershipReconciler: false });
  const { fleet } = run;
  // Timers of the fleet are virtual; intervals are made of them.
  globalThis.setInterval = ((work: () => void, ms: number) => {
    const handle = { off: false };
    const again = (): void => {
      if (handle.off) return;
      work();
      setTimeout(again, ms);
    };
    setTimeout(again, ms);
    return handle;
  }) as never;
  globalThis.clearInterval = ((handle: { off: boolean } | undefined) => void (handle && (handle.off = true))) as never;
  const chance = virtualSamplers.generator(options.seed);
  const { client, calls, loads } = virtualSamplers.client((call) => options.answer(call, chance), fleet.now);
  let samplers = new Map(options.samplers.map((sampler) => [sampler.id, sampler]));
  let known: FleetView | undefined;
  let knownOf: unknown;
  const view = (): FleetView => {
    const told = fleet.fleetView('f0');
    if (known?.samplers === samplers && knownOf === told.members) return known;
    knownOf = told.members;
    const members = new Map([...told.members, ['f0', front] as const]);
    return (known = { members, samplers, followed: { ...told.followed!, models: { m: 1 }, traffic } });
  };
  const { now } = fleet;
  const directory = makeSamplerDirectory({ view, zone: 'a', now, chance, idle: client.idle });
  const channels = fleet.channels('f0');
  const desks = makeDesks({
    name: 'f0',
    channels,
    client,
    directory,
    stores: makeStoreCalls({ channels, view, now }),
    hedges: makeHedgeControl(),
    dialect: { ...plainDialect, itemCall: expecting },
    view,
    now,
    chance,
    lease: { acquire: () => Promise.resolve(undefined) },
    event: () => undefined,
  });
  desks.changed();
  /** Passes virtual time until the work is done. */
  const until = async (done: () => boolean, mostMs: number): Promise<boolean> => {
    for (let at = 0; at < mostMs && !done(); at += 20) await fleet.advance(20);
    return done();
  };
  const create = async (lots: ReadonlyArray<string>): Promise<void> => {
    let taken = 0;
    for (const lot of lots) void run.create(1, lot).then(() => (taken += 1));
    if (!(await until(() => taken === lots.length, 5000))) throw new Error('lots were not taken');
  };
  /** Reads lots until all items are listed; answers the state of each. */
  const results = async (mostMs: number): Promise<ReadonlyArray<string>> => {
    const lacking = (): ReadonlyArray<string> =>
      [...run.lots].filter(([, lot]) => lot.positions.length < lot.body.items.length).map(([lot]) => lot);
    for (let at = 0; at < mostMs && lacking().length > 0; at += 200) {
      for (const lot of lacking()) void run.read(1, lot, run.lots.get(lot)!.positions.length, 0);
      await fleet.advance(200);
    }
    return [...run.lots.values()].flatMap(({ positions }) =>
      positions.map(({ text }) => (JSON.parse(text) as { readonly state: string }).state),
    );
  };
  return {
    run,
    calls,
    loads,
    desks,
    create,
    results,
    advance: fleet.advance,
    total: () => [...run.lots.values()].reduce((sum, { body }) => sum + body.items.length, 0),
    tell: (next: ReadonlyArray<Sampler>) => {
      samplers = new Map(next.map((sampler) => [sampler.id, sampler]));
      desks.changed();
    },
    close: () => {
      fleet.close();
      Object.assign(globalThis, real);
    },
  };
};

/** Runs of items from lots that stores hold to samplers, and back. */
export const deskRuns = { begin, whole };
