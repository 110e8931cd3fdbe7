/** What a process of hollow nodes or samplers is set to do. */
export type HollowTask = {
  readonly kind: 'nodes' | 'samplers';
  readonly first: number;
  readonly count: number;
  readonly zones: number;
  /** Peer addresses of cores for nodes, control addresses for samplers. */
  readonly cores: ReadonlyArray<string>;
  readonly beatMs: number;
};

/** An order to a process of hollow nodes or samplers. */
export type HollowOrder =
  /** Answer once each of its nodes knows something: how many know it, and when the last came to. */
  | { readonly kind: 'await'; readonly what: HollowSight; readonly mostMs: number }
  | { readonly kind: 'counts' }
  /** Stop a node or a sampler without a word. */
  | { readonly kind: 'lose'; readonly name: string }
  | { readonly kind: 'drain'; readonly name: string }
  /** Each sampler says a new version of its weights, spread over a time. */
  | { readonly kind: 'roll'; readonly version: number; readonly overMs: number };

/** Something that a node comes to know. */
export type HollowSight =
  | { readonly sight: 'traffic'; readonly version: number }
  | { readonly sight: 'noNode'; readonly name: string }
  | { readonly sight: 'doubted'; readonly name: string }
  | { readonly sight: 'draining'; readonly name: string }
  | { readonly sight: 'whole'; readonly nodes: number; readonly samplers: number }
  | { readonly sight: 'rolled'; readonly version: number };

/** What a process of hollow nodes or samplers answers; wall-clock times, which all processes of a machine share. */
export type HollowAnswer = {
  readonly at: number;
  readonly lastAt: number;
  readonly lacking: number;
  readonly calls: number;
  readonly bytes: number;
  readonly changes: number;
  readonly failed: number;
};
