import { Result } from 'true-myth';
import type { Voter } from '../core/paxos.js';
import type { Reason } from './checked.js';
import type { Traffic } from '../fleet/fleetTypes.js';
import { traffic as trafficRules } from '../fleet/traffic.js';
import { moves, type Move, type MoveProgress } from './moves.js';

/** A kind of back end: model samplers are seated by a seater, plain ones are called by any front. */
export type Service = { readonly kind: 'model' | 'plain'; readonly rollWidth?: number; readonly concurrency?: number };

/** Which requests go to which service. */
export type Binding = {
  readonly path: string;
  readonly methods: ReadonlyArray<string>;
  readonly service: string;
  /** Hundredths of the requests by service, where it is not one service that takes them all. */
  readonly shares?: Readonly<Record<string, number>>;
  readonly onceOnly?: boolean;
  readonly timeLeftMs?: number;
  readonly bodyLimit?: number;
};

/** The rules that seating goes by. */
export type SeatingRules = {
  readonly finishedWeight: number;
  readonly activeWeight: number;
  readonly perThousandWeight: number;
  readonly diversityPenalty: number;
  readonly reserve: number;
  readonly starvationMs: number;
  readonly checkpointMs: number;
  readonly firstTurnPieces: number;
  readonly mode: 'ctb' | 'admit-all';
};

/** How long ended lots and claimed keys are kept; 0 is for ever. */
export type Retention = { readonly lotsMs: number; readonly keysMs: number };

/** The weights that trainers named last for a service. */
export type Weights = { readonly version: number; readonly step: number };

/** What a change may touch, at once or at a planned time. */
export type Parts = {
  readonly services?: Readonly<Record<string, Service | null>>;
  readonly bindings?: Readonly<Record<string, Binding | null>>;
  readonly weights?: Readonly<Record<string, Weights | null>>;
  readonly seating?: Partial<SeatingRules>;
  readonly retention?: Partial<Retention>;
  readonly stores?: ReadonlyArray<string>;
};

/** What an operator hands over. */
export type Change = Parts & {
  readonly id: string;
  readonly expected?: number;
  readonly whole?: boolean;
  readonly moves?: Readonly<Record<string, Move | null>>;
  /** `lost` says that the removed voter's disk is gone: a core of its name may join again with another one. */
  readonly voters?: { readonly add?: string; readonly remove?: string; readonly lost?: boolean };
  readonly settledEpoch?: number;
  /** A new declared traffic, on top of a version of it. */
  readonly traffic?: { readonly basedOn: number; readonly value: Traffic };
  /** Versions of weights that trainers named, by model. */
  readonly models?: Readonly<Record<string, number>>;
  /** A store machine that is to be emptied. */
  readonly emptied?: string;
  /** Said by the calendar: how far its moves came. */
  readonly moveSteps?: Readonly<Record<string, MoveProgress>>;
};

/** A store's disk in the set, and the zone that it stands in where nodes say theirs. */
export type StoreSeat = Voter & { readonly zone?: string };

/** The operator's whole word: the value of one sequence. */
export type Configuration = {
  readonly services: Readonly<Record<string, Service>>;
  readonly bindings: Readonly<Record<string, Binding>>;
  readonly weights: Readonly<Record<string, Weights>>;
  readonly seating: SeatingRules;
  readonly retention: Retention;
  readonly moves: Readonly<Record<string, Move>>;
  readonly voters: ReadonlyArray<Voter>;
  /** The voters before, at a sequence that changed them: the next one has to wait a full lease. Empty otherwise. */
  readonly formerVoters: ReadonlyArray<Voter>;
  /** Voters that were removed since their disks were lost, by name, with the lost disk. */
  readonly lostVoters?: Readonly<Record<string, string>>;
  readonly stores: {
    readonly epoch: number;
    readonly current: ReadonlyArray<StoreSeat>;
    readonly previous: ReadonlyArray<StoreSeat>;
  };
  /** Where hosts share one fleet: the traffic that operators declared, the newest weights and emptied stores. */
  readonly traffic?: Traffic;
  readonly models?: Readonly<Record<string, number>>;
  readonly emptied?: ReadonlyArray<string>;
};

/** Disks of nodes that are present now, by node name. */
export type SeenDisks = {
  /** The wall clock, against which planned times are judged. */
  readonly now?: number;
  readonly cores: ReadonlyMap<string, string>;
  readonly stores: ReadonlyMap<string, string>;
  /** Zones of the stores that say theirs. */
  readonly zones?: ReadonlyMap<string, string>;
};

const founded = (voters: ReadonlyArray<Voter>): Configuration => ({
  services: {},
  bindings: {},
  weights: {},
  seating: {
    finishedWeight: 100,
    activeWeight: 10,
    perThousandWeight: 1,
    diversityPenalty: 5,
    reserve: 0.1,
    starvationMs: 5000,
    checkpointMs: 400,
    firstTurnPieces: 8,
    mode: 'ctb',
  },
  retention: { lotsMs: 0, keysMs: 0 },
  moves: {},
  voters,
  formerVoters: [],
  stores: { epoch: 0, current: [], previous: [] },
});

const merged = <T>(
  before: Readonly<Record<string, T>>,
  change: Readonly<Record<string, T | null>> | undefined,
  fresh: boolean,
): Readonly<Record<string, T>> =>
  Object.fromEntries(
    Object.entries({ ...(fresh ? {} : before), ...change }).filter((entry): entry is [string, T] => entry[1] !== null),
  );

const newest = (
  before: Readonly<Record<string, number>> | undefined,
  named: Readonly<Record<string, number>> | undefined,
): Readonly<Record<string, number>> => {
  const merged: Record<string, number> = { ...before };
  for (const [model, version] of Object.entries(named ?? {})) merged[model] = Math.max(version, merged[model] ?? 1);
  return merged;
};

const mergeStores = (
  before: Configuration['stores'],
  names: ReadonlyArray<string> | undefined,
  seen: SeenDisks,
  reasons: Reason[],
): Configuration['stores'] => {
  if (names === undefined) return before;
  const wanted = [...new Set(names)];
  if (wanted.length !== names.length) reasons.push({ path: 'stores', message: 'a store is named twice' });
  const current = wanted.map((name, place) => {
    const known = before.current.find((store) => store.name === name);
    const disk = seen.stores.get(name) ?? known?.disk;
    const zone = seen.zones?.get(name) ?? known?.zone;
    if (disk === undefined) reasons.push({ path: `stores[${place}]`, message: `no store named ${name} is present` });
    return { name, disk: disk ?? '', ...(zone !== undefined && { zone }) };
  });
  const unchanged =
    current.length === before.current.length &&
    current.every((store) => before.current.some((other) => other.name === store.name && other.disk === store.disk));
  if (unchanged) return before;
  if (before.previous.length > 0) {
    reasons.push({ path: 'stores', message: 'a store move is still running; it ends when its sweep is done' });
    return before;
  }
  return { epoch: before.epoch + 1, current, previous: before.current };
};

const mergeVoters = (
  before: ReadonlyArray<Voter>,
  change: Change['voters'],
  seen: SeenDisks,
  reasons: Reason[],
): ReadonlyArray<Voter> => {
  const stays = change?.remove === undefined ? before : before.filter((voter) => voter.name !== change.remove);
  if (change?.remove !== undefined && stays.length === before.length)
    reasons.push({ path: 'voters.remove', message: `${change.remove} is no voter` });
  if (stays.length === 0 && change?.add === undefined)
    reasons.push({ path: 'voters.remove', message: 'the last voter cannot go' });
  if (change?.add === undefined) return stays;
  const disk = seen.cores.get(change.add);
  if (disk === undefined) reasons.push({ path: 'voters.add', message: `no core named ${change.add} is present` });
  if (before.some((voter) => voter.name === change.add && voter.disk === disk))
    reasons.push({ path: 'voters.add', message: `${change.add} votes already` });
  if (stays.some((voter) => voter.name === change.add))
    reasons.push({
      path: 'voters.add',
      message: `${change.add} is still a voter under another disk; remove that one first`,
    });
  return [...stays, { name: change.add, disk: disk ?? '' }];
};

const mergeLostVoters = (before: Configuration, change: Change['voters']): Configuration['lostVoters'] => {
  if (change === undefined) return before.lostVoters;
  const lost = { ...before.lostVoters };
  if (change.add !== undefined) delete lost[change.add];
  const removed = before.voters.find((voter) => voter.name === change.remove);
  if (change.lost === true && removed) lost[removed.name] = removed.disk;
  return lost;
};

/** Applies a change to a configuration, whole or not at all. */
const apply = (
  before: Configuration,
  change: Change,
  seen: SeenDisks,
): Result<Configuration, ReadonlyArray<Reason>> => {
  const reasons: Reason[] = [];
  const fresh = change.whole === true;
  const services = merged(before.services, change.services, fresh);
  const bindings = merged(before.bindings, change.bindings, fresh);
  const weights = merged(before.weights, change.weights, fresh);
  const voters = mergeVoters(before.voters, change.voters, seen, reasons);
  if (change.traffic)
    reasons.push(...trafficRules.against(before.traffic, change.traffic.basedOn, change.traffic.value));
  const claimed = new Map<string, string>();
  for (const [name, binding] of Object.entries(bindings)) {
    for (const service of new Set([binding.service, ...Object.keys(binding.shares ?? {})])) {
      const path = service === binding.service ? `bindings.${name}.service` : `bindings.${name}.shares.${service}`;
      if (services[service] === undefined) reasons.push({ path, message: `no service named ${service}` });
    }
    const total = Object.values(binding.shares ?? { all: 100 }).reduce((sum, share) => sum + share, 0);
    if (total !== 100) reasons.push({ path: `bindings.${name}.shares`, message: `add up to ${total}, not to 100` });
    if (binding.path.startsWith('/foxdeck/') || binding.path === '/foxdeck')
      reasons.push({ path: `bindings.${name}.path`, message: '/foxdeck is kept for control calls' });
    for (const method of binding.methods) {
      const taken = claimed.get(`${method} ${binding.path}`);
      if (taken !== undefined)
        reasons.push({
          path: `bindings.${name}.path`,
          message: `${method} ${binding.path} is bound by ${taken} already`,
        });
      claimed.set(`${method} ${binding.path}`, name);
    }
  }
  for (const [name, value] of Object.entries(weights)) {
    if (services[name]?.kind !== 'model')
      reasons.push({ path: `weights.${name}`, message: `no model service named ${name}` });
    const old = before.weights[name];
    if (change.weights?.[name] && old && value.version < old.version) {
      reasons.push({
        path: `weights.${name}.version`,
        message: `is older than ${old.version}, which was named before`,
      });
    }
  }
  if (
    change.settledEpoch !== undefined &&
    (change.settledEpoch !== before.stores.epoch || before.stores.previous.length === 0)
  ) {
    reasons.push({ path: 'settledEpoch', message: `no store move of epoch ${change.settledEpoch} is running` });
  }
  const lostVoters = mergeLostVoters(before, change.voters);
  const next: Configuration = {
    services,
    bindings,
    weights,
    seating: { ...(fresh ? founded([]).seating : before.seating), ...change.seating },
    retention: { ...(fresh ? founded([]).retention : before.retention), ...change.retention },
    moves: {},
    ...((change.traffic ?? before.traffic) && { traffic: change.traffic?.value ?? before.traffic }),
    ...((change.models ?? before.models) && { models: newest(before.models, change.models) }),
    ...((change.emptied ?? before.emptied) && {
      emptied: [...new Set([...(before.emptied ?? []), ...(change.emptied ? [change.emptied] : [])])],
    }),
    voters,
    ...(lostVoters && { lostVoters }),
    formerVoters: change.voters === undefined ? [] : before.voters,
    stores:
      change.settledEpoch !== undefined
        ? { epoch: before.stores.epoch + 1, current: before.stores.current, previous: [] }
        : mergeStores(before.stores, change.stores, seen, reasons),
  };
  const planned = { ...next, moves: moves.merge(before, next, change, seen.now ?? 0, reasons) };
  return reasons.length > 0 ? Result.err(reasons) : Result.ok(planned);
};

const servicesOf = (binding: Binding): ReadonlyArray<string> =>
  binding.shares === undefined
    ? [binding.service]
    : Object.keys(binding.shares).filter((service) => binding.shares![service]! > 0);

/** The bindings for a path: the longest prefix, at a segment's end. */
const match = (now: Configuration, path: string): ReadonlyArray<readonly [string, Binding]> => {
  const fits = Object.entries(now.bindings).filter(
    ([, binding]) =>
      path === binding.path || path.startsWith(binding.path.endsWith('/') ? binding.path : `${binding.path}/`),
  );
  const longest = Math.max(0, ...fits.map(([, binding]) => binding.path.length));
  return fits.filter(([, binding]) => binding.path.length === longest);
};

/** The configuration's reducers. */
export const configuration = {
  founded,
  apply,
  match,
  /** Whether a request may go to a service. */
  allows: (now: Configuration, path: string, method: string, service: string): boolean =>
    match(now, path).some(([, binding]) => servicesOf(binding).includes(service) && binding.methods.includes(method)),
  servicesOf,
  /** The service for one request; `chance` is in [0, 1). */
  serviceFor: (binding: Binding, chance: number): string => {
    let place = chance * 100;
    const found = Object.entries(binding.shares ?? {}).find(([, share]) => (place -= share) < 0);
    return found?.[0] ?? binding.service;
  },
};
