import type { CallMetrics } from '../edge/callMetrics.js';
import type { Channels } from '../edge/channels.js';
import type { Context } from 'effect';
import type { OpenedDisk } from '../node/openDisk.js';
import type { FileSystem } from '../shared/fileSystem.js';
import type { Log } from '../shared/log.js';
import type { Timepiece } from '../shared/timepiece.js';
import type { Transport } from '../shared/transport.js';
import type { Dialect } from './dialect.js';
import type { FleetSettings } from './fleetTypes.js';

/** A running program of the fleet. */
export type Program = {
  /** Hands on what it holds and ends what it carries, within the grace it was given. */
  readonly stop: () => Promise<void>;
  /** Takes settings that changed while it runs. */
  readonly reload: (settings: FleetSettings) => void;
};

/** The outside of one process: network, files, clocks and log. */
export type Edge = {
  readonly transport: Transport;
  readonly files: FileSystem;
  readonly time: Context.Tag.Service<typeof Timepiece>;
  readonly log: Context.Tag.Service<typeof Log>;
};

/** What every program is given by its edge. */
export type ProgramTools = Edge & {
  readonly channels: Channels;
  readonly metrics: CallMetrics;
  readonly disk: OpenedDisk | undefined;
  readonly dialect: Dialect;
  /** A clock that only goes on, in milliseconds. */
  readonly now: () => number;
  readonly wall: () => number;
};
