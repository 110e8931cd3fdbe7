import { Effect, FiberMap, type Scope } from 'effect';
import { makeNodeHandler } from '../front/nodeHandler.js';
import type { Seater } from '../front/seater.js';
import { openRecords } from '../core/records.js';
import { makeRegister } from '../core/register.js';
import { makeVoter, type Voter } from '../core/voter.js';
import { makeVoterIndex } from '../core/voterIndex.js';
import type { Answer, Ask } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import { Http } from '../shared/http.js';
import { Links } from '../shared/links.js';
import { Log } from '../shared/log.js';
import type { Settings } from '../shared/settings.js';
import { table } from '../shared/table.js';
import { Timepiece } from '../shared/timepiece.js';
import { makeArchive } from '../store/archive.js';
import { openResultStore, type ResultStore } from '../store/resultStore.js';
import { makeLeases } from './leases.js';
import { makeNews, type Presence } from './news.js';
import type { NodeContext } from './nodeContext.js';
import { makeDuties, type LastSweep } from './duties.js';
import { openDisk } from './openDisk.js';
import { makeTables } from './tables.js';
import { makeUpkeep } from './upkeep.js';

/** A running node. */
export type Node = {
  readonly context: NodeContext;
  /** Bounces new work, hands duties on and waits for what runs, at most for the given time. */
  readonly drain: (mostMs: number) => Effect.Effect<void>;
};

const presenceMs = 400;
const presenceLeaseMs = 2500;
/** How many decided sequences a voter keeps, for the table of changes and for reading one back. */
const keptSequences = 1024;

/** Starts a node's tasks; they end with the scope. */
export const startNode = (
  settings: Settings,
): Effect.Effect<Node, Fault, Scope.Scope | Disk | Links | Http | Log | Timepiece> =>
  Effect.gen(function* () {
    const [links, http, log, time] = [yield* Links, yield* Http, yield* Log, yield* Timepiece];
    const incarnation = time.wall();
    const holder = `${settings.name}#${incarnation}`;
    const has = (role: 'front' | 'store' | 'core'): boolean => settings.roles.includes(role);
    const phase = table<Presence['state']>('waiting');
    const seaters = table<ReadonlyMap<string, Seater>>(new Map());
    const lastSweep = table<LastSweep>({
      swept: undefined,
      clean: undefined,
    });
    let announce = (): void => undefined;
    const scopes = yield* FiberMap.make<string>();

    const disk = settings.data === undefined ? undefined : yield* openDisk(settings.name);
    const news = makeNews({
      name: settings.name,
      peer: settings.peer,
      seeds: settings.seeds,
      links,
      time,
      changed: () => undefined,
    });
    const register = makeRegister({
      name: holder,
      proposer: holder,
      leaseMs: settings.leaseMs,
      links,
      time,
      log,
      nodes: news.nodes,
      learnt: (known) => {
        log.event('configuration_applied', { sequence: known.sequence });
        announce();
      },
    });
    const leases = makeLeases({
      name: settings.name,
      holder,
      peer: settings.peer,
      leaseMs: settings.leaseMs,
      register,
      links,
      time,
      log,
      nodes: news.nodes,
    });
    const archive = makeArchive({
      proposer: holder,
      configuration: () => register.known()?.configuration,
      nodes: news.nodes,
      links,
      time,
    });

    const voterIndex = makeVoterIndex();
    const voter: Voter | undefined =
      has('core') && disk
        ? makeVoter({
            disk: disk.id,
            index: voterIndex,
            records: yield* openRecords('register', log, voterIndex.noted),
            restarted: !disk.fresh,
            leaseMs: settings.leaseMs,
            fencedLeaseMs: 3000,
            keepSequences: keptSequences,
            time,
            log,
            learnt: register.learn,
          })
        : undefined;
    const resultStore: ResultStore | undefined =
      has('store') && disk
        ? yield* openResultStore({
            disk: disk.id,
            folder: 'checkpoints',
            configuration: () => register.known()?.configuration,
            log,
          })
        : undefined;
    const chosen = voter ? yield* voter.chosen : undefined;
    if (chosen) register.learn(chosen.value);

    const askSeater: NodeContext['seater'] = (service, call, body) =>
      Effect.gen(function* () {
        const own = seaters.get().get(service);
        if (own && leases.duty(`seat/${service}`) !== undefined) return yield* own.handle(call, body);
        const node = news
          .nodes()
          .find((each) => each.name !== settings.name && each.duties.includes(`seat/${service}`));
        if (!node) return yield* new Fault({ step: 'find seater', reason: `${service} has no seater at the moment` });
        const answer = yield* links.ask(
          node.peer,
          answers.ask({ case: 'seater', value: { service, call, body: JSON.stringify(body) } }),
          3000,
        );
        if (answer.kind.case === 'seater') return JSON.parse(answer.kind.value.body) as unknown;
        return yield* new Fault({
          step: 'seater',
          cohortMember: node.name,
          reason: answer.kind.case === 'bounce' ? answer.kind.value.reason : 'odd answer',
        });
      });

    const draining = (on: boolean): Effect.Effect<void> =>
      Effect.gen(function* () {
        phase.swap(() => (on ? 'draining' : has('front') ? 'waiting' : 'ready'));
        announce();
        if (!on) return;
        log.event('draining', { duties: leases.held().join(',') });
        for (const name of leases.held()) {
          yield* FiberMap.remove(scopes, name);
          yield* leases.release(name);
        }
        announce();
      });
    const context: NodeContext = {
      settings,
      news,
      register,
      leases,
      archive,
      http,
      links,
      log,
      time,
      state: phase.get,
      draining,
      seater: askSeater,
      events: (filter) =>
        Effect.gen(function* () {
          const heard = yield* Effect.forEach(
            news.nodes().filter((node) => node.name !== settings.name),
            (node) =>
              links.ask(node.peer, answers.ask({ case: 'events', value: filter }), 1000).pipe(
                Effect.map((answer) => ({
                  name: node.name,
                  lines: answer.kind.case === 'events' ? answer.kind.value.lines : [],
                })),
                Effect.catchAll(() => Effect.succeed({ name: node.name, lines: undefined })),
              ),
            { concurrency: 'unbounded' },
          );
          const lines = [...log.recent(filter), ...heard.flatMap((each) => each.lines ?? [])]
            .sort()
            .slice(-filter.most);
          return { lines, silent: heard.flatMap((each) => (each.lines === undefined ? [each.name] : [])) };
        }),
      table: (name, filter) => tables.whole(name, filter),
      facts: () => ({
        node: settings.name,
        domain: settings.domain,
        roles: settings.roles,
        state: phase.get(),
        sequence: register.known()?.sequence ?? 0,
        inForce: leases.inForce(),
        duties: leases.held(),
        nodes: news.nodes().length,
        samplers: news.samplers().length,
        store: resultStore?.size(),
        sweep: lastSweep.get(),
        counts: log.counts(),
      }),
    };
    const tables = makeTables(context, seaters.get);
    const handler = makeNodeHandler(context);

    const presence = (): Presence => ({
      name: settings.name,
      domain: settings.domain,
      roles: settings.roles,
      peer: settings.peer,
      http: settings.http,
      state: phase.get(),
      sequence: register.known()?.sequence ?? 0,
      disk: disk?.id ?? '',
      coreFresh: voter?.fresh() ?? false,
      duties: leases.held(),
    });
    const telling = table(0);
    announce = () =>
      void news.tell({
        source: `node/${settings.name}`,
        incarnation,
        sequence: telling.swap((number) => number + 1),
        kind: 'node',
        body: presence(),
        left: presenceLeaseMs,
      });

    const handle = (ask: Ask): Effect.Effect<Answer> => {
      const { kind } = ask;
      const work: Effect.Effect<Answer, Fault> = Effect.suspend(() => {
        switch (kind.case) {
          case 'pull':
            return Effect.sync(() => news.handle(kind.value));
          case 'seater': {
            const own = seaters.get().get(kind.value.service);
            if (!own) return Effect.succeed(answers.bounce('seater', 'not the seater'));
            return Effect.map(own.handle(kind.value.call, JSON.parse(kind.value.body)), (body) =>
              answers.answer({ case: 'seater', value: { body: JSON.stringify(body) } }),
            );
          }
          case 'table':
            return Effect.map(tables.own(kind.value.name), (rows) =>
              answers.answer({ case: 'table', value: { rows: JSON.stringify(rows) } }),
            );
          case 'events':
            return Effect.sync(() => answers.answer({ case: 'events', value: { lines: [...log.recent(kind.value)] } }));
        }
        const byVoter = voter?.handle(ask);
        if (byVoter?._tag === 'Some') return byVoter.value;
        const byResultStore = resultStore?.handle(ask);
        if (byResultStore?._tag === 'Some') return byResultStore.value;
        if (kind.case === 'learn')
          return Effect.sync(() => {
            register.learn(kind.value.value);
            return answers.done();
          });
        if (kind.case === 'since')
          return Effect.sync(() => {
            const known = register.known();
            return known && known.sequence > kind.value.sequence
              ? answers.answer({ case: 'chosen', value: { sequence: known.sequence, value: known.value } })
              : answers.bounce('since', 'nothing later');
          });
        return Effect.succeed(answers.bounce('ask', `${kind.case ?? 'nothing'} is not answered here`));
      });
      return Effect.catchAllCause(work, (cause) =>
        Effect.sync(() => {
          const reason = cause._tag === 'Fail' ? cause.error.message : String(cause).slice(0, 200);
          if (cause._tag !== 'Fail') log.event('ask_failed', { ask: kind.case ?? '', reason });
          return answers.bounce(cause._tag === 'Fail' ? cause.error.step : 'ask', reason);
        }),
      );
    };

    const task = (step: string, everyMs: number, work: Effect.Effect<unknown, unknown, Scope.Scope>) =>
      Effect.forkScoped(
        Effect.forever(
          Effect.zipRight(
            Effect.catchAllCause(work, (cause) =>
              Effect.sync(() => log.event('task_failed', { step, reason: String(cause).slice(0, 300) })),
            ),
            Effect.suspend(() => Effect.sleep(everyMs * (0.9 + 0.2 * time.chance()))),
          ),
        ),
      );

    const { founding, follow, backfill } = makeUpkeep({ context, voter, disk, handle });
    const duties = makeDuties({ context, seaters, scopes, lastSweep, task, announce: () => announce() });

    yield* links.serve(settings.peer, handle);
    yield* http.serve(settings.http, handler.handle, settings.bodyLimit);
    announce();
    yield* Effect.forkScoped(news.run);
    yield* task('presence', presenceMs, Effect.sync(announce));
    yield* task('follow', 250, Effect.ignore(follow));
    if (voter) yield* task('founding', 500, founding);
    if (voter) yield* task('backfill', 1000, Effect.ignore(backfill));
    if (has('front')) {
      yield* task(
        'lease',
        500,
        Effect.gen(function* () {
          yield* leases.renewConfiguration;
          if (phase.get() === 'waiting' && leases.inForce()) {
            phase.swap(() => 'ready');
            announce();
          }
        }),
      );
      yield* task('duties', 600, duties);
    } else phase.swap(() => 'ready');
    log.event('started', { roles: settings.roles.join(','), peer: settings.peer, http: settings.http, disk: disk?.id });

    return {
      context,
      drain: (mostMs) =>
        Effect.gen(function* () {
          yield* draining(true);
          const until = time.held() + mostMs;
          yield* Effect.sleep(700);
          while (handler.inFlight() > 0 && time.held() < until) yield* Effect.sleep(50);
          log.event('drained', { inFlight: handler.inFlight() });
        }),
    };
  });
