import type { Voter } from '../core/paxos.js';
import type { StoreSeat } from '../shared/configuration.js';
import type { Text } from '../shared/texts.js';

/** The class of work that a machine does. */
export type Role = 'front' | 'store' | 'core';

/** What a process of the fleet is told of its place; times in milliseconds. */
export type FleetSettings = {
  readonly name: string;
  readonly role: Role;
  readonly zone: string;
  /** Where the other nodes reach this one. */
  readonly peer: string;
  /** Where callers reach it: clients, the check of readiness, samplers and operators. */
  readonly listen: {
    readonly front?: string;
    readonly readiness?: string;
    readonly control?: string;
    /** Where an operator reads the process's own counters. */
    readonly metrics?: string;
  };
  /** Between two reports of the counters in the log; none without it. */
  readonly reportMs?: number;
  /** Peer addresses of cores. */
  readonly seeds: ReadonlyArray<string>;
  readonly data?: string;
  /** True on the very first start of the whole fleet. */
  readonly firstStart: boolean;
  /** How many machines with a disk may be lost at once. */
  readonly tolerance: number;
  readonly beatMs: number;
  readonly bounds: {
    readonly drainMs: number;
    readonly graceMs: number;
    readonly cancelMs: number;
    readonly leaseMs: number;
    readonly thawMs: number;
    readonly keepLotsMs: number;
    readonly contactMs: number;
    /** How long a withdrawn key may be honoured anywhere, also by a front that is cut off; no bound without it. */
    readonly revokeMs?: number;
  };
};

/** A node as the others know it. */
export type Member = {
  readonly name: string;
  readonly role: Role;
  readonly zone: string;
  readonly peer: string;
  readonly disk: string;
  readonly state: 'starting' | 'ready' | 'leaving';
  /** A later life has a greater one: its wall clock, or one above that of a former life that is known. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly coreFresh: boolean;
};

/** A sampler, as it announced itself. */
export type Sampler = {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining' | 'gone';
  /** Rises with each announcement of one life. */
  readonly beat: number;
  /** No announcement came for several intervals. */
  readonly quiet: boolean;
  /** The version of each model's weights. */
  readonly models: Readonly<Record<string, number>>;
  /** When the core first heard of it, by the core's order of arrival. */
  readonly born: number;
};

/** How requests of a binding are treated. */
export type BindingKind = 'idempotent' | 'onceOnly' | 'streaming' | 'rollout';

/** Which requests go where, by host and longest path prefix. */
export type HostBinding = {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: BindingKind;
  readonly timeLeftMs: number;
  readonly aimMs: number;
  readonly priority: number;
  readonly attempts: number;
  readonly shares: ReadonlyArray<{ readonly service: string; readonly weight: number }>;
  readonly resumable: boolean;
  /** One version of the weights in each text. */
  readonly single: boolean;
  /** How long after a lot's first send its results are due, and after what time its items may be given up. */
  readonly lotDueMs: number;
  readonly lotWaitMs: number;
  /** Callers need no key, even where there are tenants. */
  readonly authExempt?: boolean;
};

/** A service of the declared traffic. */
export type HostService = {
  readonly name: string;
  readonly healthPath: string;
  readonly channelsMost: number;
  readonly model: boolean;
  readonly cacheTokens: number;
  /** Tokens in one event. */
  readonly stride: number;
  readonly models: ReadonlyArray<string>;
};

/** What callers may send and how long they may take. */
export type CallerLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
};

/** A customer, known by its keys; fronts are told only digests of these. */
export type Tenant = { readonly name: string; readonly keyDigests: ReadonlyArray<string> };

/** The operator's declared traffic: a version of its own, and the document. */
export type Traffic = {
  readonly version: number;
  readonly bindings: ReadonlyArray<HostBinding>;
  readonly services: ReadonlyArray<HostService>;
  readonly limits: CallerLimits;
  /** Callers need a tenant's key where there is such a list, even an empty one. */
  readonly tenants?: ReadonlyArray<Tenant>;
  /** As it was sent, with keys; it is told to cores and operators only. */
  readonly document: string;
};

/** The store machines that keep lots. */
export type StoreView = {
  readonly epoch: number;
  readonly current: ReadonlyArray<StoreSeat>;
  readonly previous: ReadonlyArray<StoreSeat>;
};

/** What nodes follow of the register. */
export type Followed = {
  readonly sequence: number;
  readonly models: Readonly<Record<string, number>>;
  readonly stores: StoreView;
  readonly voters: ReadonlyArray<Voter>;
  /** Counts the changes of the voters; leases are counted under one electorate. */
  readonly electorate: number;
  readonly traffic: Traffic | undefined;
};

/** One item of a lot. */
export type LotItem = {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** Tokens of the prompt and the most that may come out, summed; and those of the prompt alone. */
  readonly tokens: number;
  readonly prompt: number;
  readonly group: string;
  readonly rating?: { readonly id: string; readonly host: string; readonly path: string; readonly body: string };
};

/** A lot as it was handed in. */
export type LotBody = {
  readonly host: string;
  /** The tenant whose key handed it in, where there are tenants. */
  readonly tenant?: string;
  readonly model: string;
  readonly step: number;
  readonly minVersion: number;
  /** How many whole groups the trainer waits for. */
  readonly wanted: number;
  readonly single: boolean;
  /** When it was handed in, by the front's wall clock; only the order of work goes by it. */
  readonly handedAt: number;
  readonly dueMs: number;
  readonly waitMs: number;
  readonly attempts: number;
  readonly items: ReadonlyArray<LotItem>;
};

/** What became of an item. */
export type LotResult = {
  readonly id: string;
  readonly state: 'completed' | 'abandoned';
  readonly text: Text;
  readonly versions: ReadonlyArray<number>;
  readonly rating: string;
};

/** The order of a lot's log: its body first, then results and its end. */
export type LotValue =
  | { readonly kind: 'lot'; readonly body: LotBody }
  | { readonly kind: 'result'; readonly result: LotResult }
  | { readonly kind: 'end' };

/** A leader's number; a later leader has a greater one. */
export type LeaderBallot = { readonly round: number; readonly by: string };

/** A text that was broken off, to go on elsewhere. */
export type Partial = {
  readonly events: ReadonlyArray<string>;
  /** The id of the last event. */
  readonly lastId: number;
  readonly versions: ReadonlyArray<number>;
  readonly version: number;
};

/** An item as it is handed to a front. */
export type Grant = {
  readonly lot: string;
  readonly host: string;
  readonly tenant?: string;
  readonly item: LotItem;
  readonly single: boolean;
  readonly minVersion: number;
  /** By the design's weights, and whether three quarters of its group are done. */
  readonly priority: number;
  readonly near: boolean;
  readonly partial?: Partial;
};

/** What a lot's leader tells fronts of a lot with work to do. */
export type Advert = {
  readonly lot: string;
  readonly host: string;
  readonly path: string;
  readonly model: string;
  readonly minVersion: number;
  readonly single: boolean;
  readonly leftMs: number;
  /** Items of groups that the trainer waits for, and of groups beyond those. */
  readonly needed: number;
  readonly spare: number;
  /** Tokens of a prompt, on the average. */
  readonly prompt: number;
  /** How long the front may start sends for this lot. */
  readonly leaseMs: number;
};
