import { createServer } from 'node:http';
import { drainConnections } from '../connectionDrain.js';
import { watchers } from '../watcher.js';
import { zonesOf } from '../zonesOf.js';
import type { FleetSettings, Member } from '../fleetTypes.js';
import type { Program, ProgramTools } from '../program.js';
import { makeSamplerClient } from '../samplerClient.js';
import { sendReply } from '../sendReply.js';
import { serveCalls } from '../serveCalls.js';
import { configurationContact } from './configurationContact.js';
import { makeDesks } from './desks.js';
import { makeHedgeControl } from './hedgeControl.js';
import { makeLotAsks } from './lotAsks.js';
import { makeOrderLease } from './orderLease.js';
import { makeRefusalLog } from './refusalLog.js';
import { makeRequestRouter } from './requestRouter.js';
import { makeSamplerDirectory } from './samplerDirectory.js';
import { stopTimesOf } from './stopTimes.js';
import { makeStoreCalls } from './storeCalls.js';

const channelsMost = 24;
const defaultBodyBytes = 32 * 1024 * 1024;

/** Runs a front: it serves callers, and owns the samplers whose items it seats. */
export const startFront = async (settings: FleetSettings, tools: ProgramTools): Promise<Program> => {
  const { channels, transport, now, wall, log, dialect, metrics } = tools;
  let incarnation = wall();
  const outlive = (former: number): void => {
    incarnation = Math.max(incarnation, former) + 1;
    log.event('incarnation_raised', { former, incarnation });
  };
  let leaving = false;
  const ready = (): boolean => {
    const declared = watcher.view().followed?.traffic;
    return !leaving && watcher.heard() && declared !== undefined && (!declared.tenants || contact.keysHold());
  };
  const self = (): Member => ({
    name: settings.name,
    role: 'front',
    zone: settings.zone,
    peer: settings.peer,
    disk: '',
    state: leaving ? 'leaving' : 'ready',
    incarnation,
    sequence: 0,
    coreFresh: false,
  });
  const watcher = watchers.make({
    channels,
    seeds: settings.seeds,
    self,
    now,
    outlive,
    tolerance: settings.tolerance,
  });
  const view = watcher.view;
  metrics.resolveZones(zonesOf(view));
  const client = makeSamplerClient(channelsMost, now, transport.connect, metrics, (cause) =>
    log.event('call_handler_failed', { reason: String(cause) }),
  );
  const directory = makeSamplerDirectory({ view, zone: settings.zone, now, chance: Math.random, idle: client.idle });
  const stores = makeStoreCalls({ channels, view, now });
  const refusals = makeRefusalLog({ samplers: () => view().samplers.values(), event: log.event });
  const hedges = makeHedgeControl();
  const asks = { client, directory, dialect, hedges, now, chance: Math.random, notServed: refusals.note };
  const lease = makeOrderLease({ holder: `${settings.name}#${incarnation}`, channels, view, now });
  const desks = makeDesks({ ...asks, name: settings.name, channels, stores, view, lease, event: log.event });
  const lots = makeLotAsks({ stores, dialect, wall, event: log.event });

  const contact = configurationContact.make({ watcher, now, revokeMs: settings.bounds.revokeMs });
  const route = makeRequestRouter({
    dialect,
    declared: () => view().followed?.traffic,
    contact,
    asks,
    lots,
    leaving: () => leaving,
    closed: () => drain.closed(),
    now,
    notServed: refusals.note,
    failed: (url, cause) => log.event('request_failed', { url, reason: String(cause) }),
  });
  const server = createServer(
    { noDelay: true, maxHeaderSize: 65_536, keepAliveTimeout: 15_000 },
    (message, response) => {
      const most = view().followed?.traffic?.limits.bodyBytes ?? defaultBodyBytes;
      const chunks: Buffer[] = [];
      let size = 0;
      message.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size <= most) chunks.push(chunk);
        else if (size - chunk.length <= most) {
          const { attempt } = dialect.ask(message.headers);
          sendReply(response, dialect.refusal(413, attempt, undefined, `the body is over ${most} bytes`), true);
        }
      });
      message.on('error', () => undefined);
      message.on('end', () => {
        if (size > most) return;
        route(message, response, chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
      });
    },
  );
  const drain = drainConnections(server, now);
  const readiness = createServer((message, response) => {
    const status = dialect.ready(message.url ?? '') ? (ready() ? 200 : 503) : 404;
    response.writeHead(status, { 'content-length': '0' });
    response.end();
  });
  watcher.onChange((before, after) => {
    const declared = after.followed?.traffic;
    if (declared && before.followed?.traffic === undefined)
      log.event('traffic_learnt', { version: declared.version, samplers: after.samplers.size });
    const limits = declared?.limits;
    if (limits && before.followed?.traffic?.limits !== limits) {
      server.keepAliveTimeout = Math.max(1000, limits.idleMs);
      server.headersTimeout = Math.max(1000, limits.headerMs);
    }
    for (const [id, sampler] of before.samplers) {
      const state = after.samplers.get(id)?.state ?? 'gone';
      if (sampler.state === 'ready' && state !== 'ready') client.withdraw(sampler.address);
      if (sampler.state !== 'gone' && state === 'gone') client.forget(sampler.address);
    }
    desks.changed();
  });
  await serveCalls(channels, settings.peer, () => undefined, log);
  await transport.listenHttp(readiness, settings.listen.readiness!);
  await transport.listenHttp(server, settings.listen.front!);
  log.event('started', { role: 'front' });
  return {
    reload: ({ seeds }) => {
      log.event('settings_read', { seeds: seeds.join(',') });
      watcher.reseed(seeds);
    },
    stop: async () => {
      const begun = now();
      leaving = true;
      drain.leave();
      watcher.tell();
      const items = desks.leave(1500);
      const { closeMs, endMs } = stopTimesOf(settings.bounds.graceMs);
      await new Promise((resolve) => setTimeout(resolve, closeMs));
      drain.close();
      await items;
      await drain.idle(endMs - (now() - begun));
      watcher.stop();
      readiness.close();
      client.close();
      refusals.close();
      log.event('stopped', { inFlight: drain.inFlight() });
    },
  };
};
