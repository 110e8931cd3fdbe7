import { Effect, type Context } from 'effect';
import { encryptedDisk } from '../../core/encryptedDisk.js';
import { openLeaseRecords } from '../../core/leaseRecords.js';
import { openRecords } from '../../core/records.js';
import { makeRegister } from '../../core/register.js';
import { makeVoter } from '../../core/voter.js';
import { makeVoterIndex } from '../../core/voterIndex.js';
import { realDisk } from '../../edge/realDisk.js';
import type { Answer, Ask } from '../../gen/foxdeck_pb.js';
import type { Presence } from '../../node/news.js';
import { makeUpkeep } from '../../node/upkeep.js';
import { answers } from '../../shared/answers.js';
import { brands } from '../../shared/brands.js';
import { Disk } from '../../shared/disk.js';
import type { Links } from '../../shared/links.js';
import { placement } from '../../policy/placement.js';
import { rendezvous } from '../../shared/rendezvous.js';
import { watchers } from '../watcher.js';
import type { Followed, FleetSettings, Member, Sampler } from '../fleetTypes.js';
import type { Program, ProgramTools } from '../program.js';
import { serveCalls } from '../serveCalls.js';
import { zonesOf } from '../zonesOf.js';
import { configurationConfirmer } from './configurationConfirmer.js';
import { serveControl } from './serveControl.js';
import { makeControlHandler } from './controlHandler.js';
import { makeLoadPermits } from './loadPermits.js';
import { makeWatchServer } from './watchServer.js';
import { makeSamplerFile } from './samplerFile.js';
import { samplerDepartures } from './samplerDepartures.js';
import { voterGrowth } from './voterGrowth.js';
import { lossMonitor } from './lossMonitor.js';
import { membershipReconciler } from './membershipReconciler.js';

/** Nobody here serves on leases of the configuration: what fronts follow is bounded by their contact with the cores. */
const coreLeaseMs = 1;
const leaseSlackMs = 1000;
/** Each value of the configuration log holds the whole state; the older ones only spare a jump to those just behind. */
const keptSequences = 16;
const reconcilerTask = 'membership';
const keepMs = 1000;
const lossMonitorMs = 1000;
const confirmMs = 1500;
const startRetryMs = 500;
/** How long callers may still come after this core said that it leaves. */
const leaveMs = 500;
/** The longest that a control call takes. */
const controlMostMs = 1000;
/** How often within the time for which a withdrawn key may be honoured the newest configuration is confirmed. */
const confirmationsPerRevocation = 8;

const every = (ms: number, work: () => unknown): NodeJS.Timeout => {
  let running = false;
  return setInterval(() => {
    if (running) return;
    running = true;
    void Promise.resolve()
      .then(work)
      .catch(() => undefined)
      .finally(() => (running = false));
  }, ms);
};

/** Runs a core: the register's votes, what samplers and nodes tell, and the duties that one core does. */
export const startCore = async (settings: FleetSettings, tools: ProgramTools): Promise<Program> => {
  const { channels, now, wall, log, dialect, time } = tools;
  const disk = tools.disk!;
  const files = realDisk(settings.data!, tools.files);
  const secret = await Effect.runPromise(encryptedDisk.openSecret.pipe(Effect.provideService(Disk, files)));
  let incarnation = wall();
  const outlive = (former: number): void => {
    incarnation = Math.max(incarnation, former) + 1;
    log.event('incarnation_raised', { former, incarnation });
  };
  const holder = `${settings.name}#${incarnation}`;
  let state: Member['state'] = 'starting';
  const links: Context.Tag.Service<typeof Links> = {
    serve: () => Effect.void,
    ask: (address, ask, timeLeft) =>
      Effect.async((resume) => {
        channels.ask(address, ask, timeLeft).then(
          (answer) => resume(Effect.succeed(answer)),
          (fault) => resume(Effect.fail(fault as never)),
        );
      }),
  };
  const self = (): Member => ({
    name: settings.name,
    role: 'core',
    zone: settings.zone,
    peer: settings.peer,
    disk: disk.id,
    state,
    incarnation,
    sequence: register?.known()?.sequence ?? 0,
    coreFresh: voter?.fresh() ?? false,
  });
  const members = (): ReadonlyArray<Member> => {
    const all = new Map(watcher.view().members);
    for (const member of desk.members()) {
      const known = all.get(member.name);
      if (!known || member.incarnation >= known.incarnation) all.set(member.name, member);
    }
    return [...all.values()];
  };
  const presences = (): ReadonlyArray<Presence> =>
    members().map((member) => ({
      name: member.name,
      domain: member.zone,
      roles: [member.role],
      peer: brands.address(member.peer),
      http: brands.address(member.peer),
      state: member.state === 'leaving' ? 'draining' : 'ready',
      sequence: member.sequence,
      disk: member.disk,
      coreFresh: member.coreFresh,
      duties: [],
    }));
  let followedNow: Followed | undefined;
  const register = makeRegister({
    name: holder,
    proposer: holder,
    leaseMs: coreLeaseMs,
    links,
    time,
    log,
    nodes: presences,
    learnt: ({ sequence, configuration, electorate }) => {
      const { models, stores, voters, traffic } = configuration;
      followedNow = { sequence, models: models ?? {}, stores, voters, electorate, traffic };
      log.event('configuration_applied', { sequence, traffic: traffic?.version ?? 0 });
      desk?.wake();
    },
  });
  const index = makeVoterIndex();
  const voter = makeVoter({
    disk: disk.id,
    index,
    records: await Effect.runPromise(
      // The configuration holds the operator's document with the tenants' keys.
      openRecords('register', log, index.noted).pipe(Effect.provideService(Disk, encryptedDisk.over(files, secret))),
    ),
    restarted: !disk.fresh,
    leaseMs: coreLeaseMs,
    fencedLeaseMs: settings.bounds.leaseMs + leaseSlackMs,
    leaseRecords: await openLeaseRecords(files, disk.fresh),
    keepSequences: keptSequences,
    time,
    log,
    learnt: register.learn,
  });
  const samplerFile = makeSamplerFile(files);
  const { revokeMs } = settings.bounds;
  const confirmer = configurationConfirmer.make({ register, now, timeoutMs: confirmMs });
  const desk = makeWatchServer({
    self,
    known: await samplerFile.read(),
    incarnation: incarnation + Math.random(),
    beatMs: settings.beatMs,
    now,
    wall,
    followed: () => followedNow,
    ...(revokeMs !== undefined && { confirmed: confirmer.confirmed }),
  });
  const chosen = await Effect.runPromise(voter.chosen);
  if (chosen) register.learn(chosen.value);
  const watcher = watchers.make({
    channels,
    seeds: settings.seeds.filter((seed) => seed !== settings.peer),
    self,
    now,
    outlive,
  });
  tools.metrics.resolveZones(zonesOf(watcher.view));
  const handleAsk = (ask: Ask): Effect.Effect<Answer> => {
    const byVoter = voter.handle(ask);
    const answered =
      byVoter._tag === 'Some'
        ? byVoter.value
        : ask.kind.case === 'learn'
          ? Effect.sync(() => {
              register.learn((ask.kind.value as { readonly value: Uint8Array }).value);
              return answers.done();
            })
          : Effect.succeed(answers.bounce('ask', `${ask.kind.case} is not answered here`));
    return Effect.catchAllCause(answered, (cause) =>
      Effect.succeed(answers.bounce(cause._tag === 'Fail' ? cause.error.step : 'ask', String(cause).slice(0, 200))),
    );
  };
  const departures = samplerDepartures.make({
    self: settings.name,
    desk,
    file: samplerFile,
    channels,
    electorate: () => followedNow,
    members,
  });
  const permits = makeLoadPermits(now, (id) => {
    const sampler = desk.sampler(id);
    return !sampler || (sampler.state !== 'gone' && !sampler.quiet);
  });
  await serveCalls(
    channels,
    settings.peer,
    (name, body) => {
      if (name === 'watch.poll') return desk.follow(body as never);
      if (name === 'watch.report') {
        desk.tell((body as { readonly self: Member }).self);
        return Promise.resolve({});
      }
      if (name === samplerDepartures.callName) return departures.take(body as Sampler);
      if (name === 'weights.permit') return Promise.resolve(permits.ask(body as never));
      if (name === 'weights.done') return Promise.resolve(permits.done(body as never));
      return undefined;
    },
    log,
    (ask, reply) => {
      Effect.runFork(Effect.map(handleAsk(ask), reply));
    },
  );
  const control = makeControlHandler({
    register,
    desk,
    departures,
    growth: voterGrowth.make({
      configuration: () => register.known()?.configuration,
      members,
      wanted: placement.copies(settings.tolerance),
      firstStart: settings.firstStart,
      now,
    }),
    dialect,
    tolerance: settings.tolerance,
    stores: () => members().filter((member) => member.role === 'store' && member.state === 'ready'),
    event: log.event,
  });
  const controlDrain = await serveControl(settings.listen.control!, {
    transport: tools.transport,
    dialect,
    handler: control,
    leaving: () => state === 'leaving',
    now,
    failed: (url, cause) => log.event('control_failed', { url, reason: String(cause) }),
  });
  state = 'ready';

  const seedNames = (): ReadonlyArray<Presence> =>
    presences().filter((node) => node.roles.includes('core') && settings.seeds.includes(node.peer));
  const upkeep = makeUpkeep({
    context: {
      register,
      links,
      time,
      news: { nodes: () => (register.known() ? presences() : seedNames()) },
      settings: { name: settings.name, foundingCores: settings.seeds.length },
    },
    voter,
    disk,
    handle: handleAsk,
  });
  const reconciles = (): boolean => {
    const cores = members().filter((member) => member.role === 'core' && member.state === 'ready');
    const names = cores.map((core) => core.name);
    return rendezvous(reconcilerTask, names)[0] === settings.name;
  };
  const reconciler = membershipReconciler.make({
    register,
    channels,
    members,
    tolerance: settings.tolerance,
    held: reconciles,
    now,
    event: log.event,
  });
  const losses = lossMonitor.make({
    configuration: () => register.known()?.configuration,
    members,
    tolerance: settings.tolerance,
    reports: reconciles,
    now,
    event: log.event,
    show: tools.metrics.showLossMargins,
  });
  watcher.onChange((before, after) => {
    for (const sampler of after.samplers.values()) if (before.samplers.get(sampler.id) !== sampler) desk.hear(sampler);
    const sequence = after.followed?.sequence ?? 0;
    if (sequence > (register.known()?.sequence ?? 0)) void Effect.runPromise(Effect.ignore(upkeep.follow));
  });

  const timers = [
    every(250, () => desk.tick()),
    every(300, () => reconciler.tick()),
    every(lossMonitorMs, () => losses.tick()),
    every(keepMs, () => samplerFile.keep(desk.samplers())),
    ...(revokeMs === undefined ? [] : [every(revokeMs / confirmationsPerRevocation, confirmer.confirm)]),
    every(400, async () => {
      if (settings.firstStart && !register.known()) await Effect.runPromise(Effect.ignore(upkeep.founding));
      await Effect.runPromise(Effect.ignore(upkeep.follow));
      await Effect.runPromise(Effect.ignore(upkeep.backfill));
    }),
  ];
  /** A voter whose records of leases are lost forgot its fences; those that it grants now lie above this change. */
  const recordStart = async (): Promise<void> => {
    const change = { id: `start/${settings.name}/${incarnation}.${Math.floor(Math.random() * 1e9)}` };
    while (state !== 'leaving') {
      const outcome = await Effect.runPromise(register.change(Buffer.from(JSON.stringify(change))));
      if (outcome.state === 'accepted') return voter.startRecorded(outcome.sequence);
      await new Promise((resolve) => setTimeout(resolve, startRetryMs));
    }
  };
  if (voter.needsStart) void recordStart();
  log.event('started', { role: 'core', disk: disk.id, sequence: register.known()?.sequence ?? 0 });
  return {
    reload: ({ seeds }) => {
      log.event('settings_read', { seeds: seeds.join(',') });
      watcher.reseed(seeds);
    },
    stop: async () => {
      state = 'leaving';
      controlDrain.leave();
      watcher.tell();
      await new Promise((resolve) => setTimeout(resolve, leaveMs));
      controlDrain.close();
      await controlDrain.idle(controlMostMs);
      for (const timer of timers) clearInterval(timer);
      watcher.stop();
    },
  };
};
