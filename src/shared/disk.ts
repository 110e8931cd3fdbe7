import { Context, type Effect } from 'effect';
import type { Fault } from './fault.js';

/** The files of one data folder; a write lasts only once file and folder are synced. */
export class Disk extends Context.Tag('foxdeck/Disk')<
  Disk,
  {
    readonly makeFolder: (path: string) => Effect.Effect<void, Fault>;
    readonly list: (path: string) => Effect.Effect<ReadonlyArray<string>, Fault>;
    readonly read: (path: string) => Effect.Effect<Uint8Array, Fault>;
    readonly write: (path: string, bytes: Uint8Array) => Effect.Effect<void, Fault>;
    readonly syncFile: (path: string) => Effect.Effect<void, Fault>;
    readonly rename: (from: string, to: string) => Effect.Effect<void, Fault>;
    readonly syncFolder: (path: string) => Effect.Effect<void, Fault>;
    readonly remove: (path: string) => Effect.Effect<void, Fault>;
  }
>() {}
