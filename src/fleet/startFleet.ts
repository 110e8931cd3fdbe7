import { Effect } from 'effect';
import { makeCallMetrics } from '../edge/callMetrics.js';
import { makeChannels } from '../edge/channels.js';
import { realDisk } from '../edge/realDisk.js';
import { openDisk } from '../node/openDisk.js';
import { Disk } from '../shared/disk.js';
import { Log } from '../shared/log.js';
import { Timepiece } from '../shared/timepiece.js';
import type { Dialect } from './dialect.js';
import type { FleetSettings } from './fleetTypes.js';
import type { Edge, Program, ProgramTools } from './program.js';
import { realEdge } from './realEdge.js';
import { serveMetrics } from './serveMetrics.js';
import { startCore } from './core/coreProgram.js';
import { startFront } from './front/frontProgram.js';
import { startStore } from './store/storeProgram.js';

/** Starts the program of a process's role on an edge; fails with a Fault that tells the step. */
export const startFleet = async (
  settings: FleetSettings,
  dialect: Dialect,
  edge: Edge = realEdge(settings.name),
): Promise<Program> => {
  const disk =
    settings.data === undefined
      ? undefined
      : await Effect.runPromise(
          openDisk(settings.name).pipe(
            Effect.provideService(Disk, realDisk(settings.data, edge.files)),
            Effect.provideService(Log, edge.log),
            Effect.provideService(Timepiece, edge.time),
          ),
        );
  const metrics = makeCallMetrics(settings.zone);
  const tools: ProgramTools = {
    ...edge,
    metrics,
    channels: makeChannels(edge.transport, metrics.observe),
    disk,
    dialect,
    now: () => performance.now(),
    wall: () => Date.now(),
  };
  const start = { front: startFront, store: startStore, core: startCore }[settings.role];
  const program = await start(settings, tools);
  await serveMetrics(settings, tools);
  return program;
};
