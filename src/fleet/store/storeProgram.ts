import { join } from 'node:path';
import type { Channels } from '../../edge/channels.js';
import { serveCalls } from '../serveCalls.js';
import type { FleetSettings, Member } from '../fleetTypes.js';
import { watchers, type Watcher } from '../watcher.js';
import { openJournal, type Journal } from './journal.js';
import { makeLotLeader, type LotLeader } from './lotLeader.js';
import { lotReplica, type ReplicaLog, type ReplicaRecord } from './lotReplica.js';
import { placement } from '../../policy/placement.js';
import { makeStoreDesk } from './storeDesk.js';
import type { Program, ProgramTools } from '../program.js';
import { zonesOf } from '../zonesOf.js';

const tickMs = 200;
const confirmMs = 500;
const retireMs = 3000;
const leaveMs = 700;

/** Runs a store: copies of lots on its disk, and the leading of those lots that it comes first for. */
export const startStore = async (settings: FleetSettings, tools: ProgramTools): Promise<Program> => {
  const { now, wall, log } = tools;
  const channels: Channels = tools.channels;
  const disk = tools.disk!;
  let state: Member['state'] = 'starting';
  let incarnation = wall();
  const outlive = (former: number): void => {
    incarnation = Math.max(incarnation, former) + 1;
    log.event('incarnation_raised', { former, incarnation });
  };
  const self = (): Member => ({
    name: settings.name,
    role: 'store',
    zone: settings.zone,
    peer: settings.peer,
    disk: disk.id,
    state,
    incarnation,
    sequence: 0,
    coreFresh: false,
  });
  const logs = new Map<string, ReplicaLog>();
  const started = now();
  const journal: Journal = await openJournal(
    join(settings.data!, 'lots'),
    (record) => lotReplica.applied(logs, record as ReplicaRecord, started),
    tools.files,
  );
  const replica = lotReplica.make({ logs, journal, now });
  let leader: LotLeader | undefined = undefined;
  const desk = makeStoreDesk({ leader: () => leader!, now, wall, event: log.event });
  const unsettled = () => {
    const lots = leader!.unsettled();
    return { epoch: viewOf().epoch, count: lots.length, some: lots.slice(0, 3) };
  };
  const handle = (name: string, body: unknown): Promise<unknown> | undefined =>
    name === 'store.unsettled' ? Promise.resolve(unsettled()) : (leader!.handle(name, body) ?? desk.handle(name, body));
  const watcher: Watcher = watchers.make({
    channels,
    seeds: settings.seeds,
    self,
    now,
    outlive,
    tolerance: settings.tolerance,
  });
  tools.metrics.resolveZones(zonesOf(watcher.view));
  const viewOf = () => watcher.view().followed?.stores ?? { epoch: 0, current: [], previous: [] };
  leader = makeLotLeader({
    self: { name: settings.name, disk: disk.id },
    owner: `${settings.name}#${incarnation}.${Math.floor(Math.random() * 1e6)}`,
    copies: placement.copies(settings.tolerance),
    replica,
    channels,
    view: viewOf,
    member: (name) => watcher.view().members.get(name),
    now,
    leaving: () => state === 'leaving',
    chosen: desk.chosen,
    deposed: desk.deposed,
    event: log.event,
  });
  const dropWhole = (lot: string): void => {
    const led = leader.get(lot);
    if (led) leader.stepDown(led, 'kept long enough');
    log.event('batch_dropped', { lot, reason: 'kept long enough', epoch: viewOf().epoch });
    replica.drop(lot);
  };
  /** A copy that lags behind has no end of its own; it goes once a majority has ended the lot or dropped it. */
  const dropPart = async (lot: string): Promise<void> => {
    if (leader.get(lot) || !(await leader.endedElsewhere(lot)) || leader.get(lot)) return;
    log.event('batch_dropped', { lot, reason: 'a part of one that ended', epoch: viewOf().epoch });
    replica.drop(lot);
  };
  await serveCalls(channels, settings.peer, handle, log);
  state = 'ready';
  log.event('started', { role: 'store', disk: disk.id, lots: logs.size, journalBytes: journal.stats().bytes });
  const timers = [
    setInterval(() => {
      leader.tick();
      desk.tick();
    }, tickMs),
    setInterval(() => void leader.confirmAll(), confirmMs),
    setInterval(() => {
      for (const [lot, kept] of logs) {
        if (kept.entries.length === 0 || now() - kept.touchedAt < settings.bounds.keepLotsMs * 1.5) continue;
        if (lotReplica.hasEnded(kept.entries)) dropWhole(lot);
        else void dropPart(lot);
      }
      void journal.retire((lot) => (logs.get(lot)?.entries.length ?? 0) > 0).catch(() => undefined);
    }, retireMs),
  ];
  return {
    reload: ({ seeds }) => {
      log.event('settings_read', { seeds: seeds.join(',') });
      watcher.reseed(seeds);
    },
    stop: async () => {
      state = 'leaving';
      watcher.tell();
      for (const led of [...leader.led()]) leader.stepDown(led, 'this store is told to stop');
      await new Promise((resolve) => setTimeout(resolve, leaveMs));
      for (const timer of timers) clearInterval(timer);
      watcher.stop();
    },
  };
};
