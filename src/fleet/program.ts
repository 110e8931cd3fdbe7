import type { Channels } from '../edge/channels.js';
import type { OpenedDisk } from '../node/openDisk.js';
import type { Fields } from '../shared/log.js';
import type { Dialect } from './dialect.js';
import type { FleetSettings } from './fleetTypes.js';

/** A running program of the fleet. */
export type Program = {
  /** Hands on what it holds and ends what it carries, within the grace it was given. */
  readonly stop: () => Promise<void>;
  /** Takes settings that changed while it runs. */
  readonly reload: (settings: FleetSettings) => void;
};

/** What every program is given by its edge. */
export type ProgramTools = {
  readonly channels: Channels;
  readonly disk: OpenedDisk | undefined;
  readonly dialect: Dialect;
  /** A clock that only goes on, in milliseconds. */
  readonly now: () => number;
  readonly wall: () => number;
  readonly log: { readonly event: (name: string, fields: Fields) => void };
};
