import { Effect } from 'effect';
import { makeChannels } from '../edge/channels.js';
import { realDisk } from '../edge/realDisk.js';
import { realLog } from '../edge/realLog.js';
import { realTime } from '../edge/realTime.js';
import { openDisk } from '../node/openDisk.js';
import { Disk } from '../shared/disk.js';
import { Log } from '../shared/log.js';
import { Timepiece } from '../shared/timepiece.js';
import type { Dialect } from './dialect.js';
import type { FleetSettings } from './fleetTypes.js';
import type { Program } from './program.js';
import { startCore } from './core/coreProgram.js';
import { startFront } from './front/frontProgram.js';
import { startStore } from './store/storeProgram.js';

/** Starts the program of a process's role; fails with a Fault that tells the step. */
export const startFleet = async (settings: FleetSettings, dialect: Dialect): Promise<Program> => {
  const log = realLog(settings.name);
  const disk =
    settings.data === undefined
      ? undefined
      : await Effect.runPromise(
          openDisk(settings.name).pipe(
            Effect.provideService(Disk, realDisk(settings.data)),
            Effect.provideService(Log, log),
            Effect.provideService(Timepiece, realTime()),
          ),
        );
  const tools = {
    channels: makeChannels(),
    disk,
    dialect,
    now: () => performance.now(),
    wall: () => Date.now(),
    log,
    fullLog: log,
  };
  const start = { front: startFront, store: startStore, core: startCore }[settings.role];
  return start(settings, tools);
};
