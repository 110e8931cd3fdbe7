import { Effect } from 'effect';
import type { Voter } from '../core/paxos.js';
import type { Outcome } from '../core/register.js';
import type { NodeContext } from '../node/nodeContext.js';
import type { Announcement } from '../node/news.js';
import { lossMargin } from '../policy/lossMargin.js';
import { placement } from '../policy/placement.js';
import { checked } from '../shared/checked.js';
import type { Change, Configuration } from '../shared/configuration.js';
import type { Fault } from '../shared/fault.js';
import type { HttpAsk, HttpReply } from '../shared/http.js';
import { announcement } from './announcement.js';
import { moves } from '../shared/moves.js';
import { replies } from './replies.js';

const told = (outcome: Outcome): HttpReply => {
  switch (outcome.state) {
    case 'accepted':
      return replies.json(200, outcome);
    case 'bounced':
      return replies.bounce(422, 'the change was not taken', undefined, outcome);
    case 'conflict':
      return replies.bounce(409, outcome.message, undefined, outcome);
    case 'unavailable':
      return replies.bounce(503, outcome.message, 1, outcome);
    case 'unknown':
      return replies.unknown(504, outcome.message);
  }
};

const parsed = (ask: HttpAsk): unknown => {
  try {
    return JSON.parse(Buffer.from(ask.body).toString('utf8'));
  } catch {
    return undefined;
  }
};

// Leaving is final within an incarnation: it ranks above whatever the sampler announces besides, in whatever order
// the news of it travels, and is told for longer than a lease.
const leavingRank = 2 ** 31;
const leavingMs = 30_000;

const changesMost = 200;

const numberOf = (url: URL, name: string, fallback: number): number =>
  url.searchParams.has(name) ? Number(url.searchParams.get(name)) : fallback;
const filterOf = (url: URL) => ({
  about: url.searchParams.get('about') ?? '',
  from: numberOf(url, 'from', 0),
  until: numberOf(url, 'until', Number.MAX_SAFE_INTEGER),
});

/** The operators', samplers' and trainers' control calls; any node takes them. */
export const makeNodeControlHandler = (context: NodeContext) => {
  const { register, news } = context;

  const announce = (ask: HttpAsk): HttpReply => {
    if (context.state() === 'draining') return replies.bounce(503, 'this node is draining; announce to another', 1);
    const shape = checked<Announcement>(announcement, parsed(ask));
    if (shape.isErr)
      return replies.bounce(400, 'the announcement is not well formed', undefined, { reasons: shape.error });
    const given = shape.value;
    const source = `sampler/${given.name}`;
    const before = news.newest(source);
    const leaving = given.state === 'leaving';
    const taken = news.tell({
      source,
      incarnation: given.incarnation,
      sequence: leaving ? given.sequence + leavingRank : given.sequence,
      kind: 'sampler',
      body: given,
      left: leaving ? leavingMs : context.settings.samplerLeaseMs,
    });
    if (!taken)
      return replies.bounce(409, 'a later announcement is known', undefined, {
        incarnation: before?.incarnation,
        sequence: before?.sequence,
      });
    const release = news.moves().some((move) => move.release[given.name] === given.incarnation);
    return replies.json(200, {
      release,
      leaseMs: context.settings.samplerLeaseMs,
      renewMs: Math.floor(context.settings.samplerLeaseMs / 4),
    });
  };

  const nameWeights = (ask: HttpAsk): Effect.Effect<HttpReply> =>
    Effect.gen(function* () {
      const given = parsed(ask) as { service?: unknown; version?: unknown; step?: unknown } | undefined;
      if (typeof given?.service !== 'string' || !Number.isInteger(given.version) || !Number.isInteger(given.step)) {
        return replies.bounce(400, 'a service, a whole version and a whole step are needed');
      }
      const { service, version, step } = given as { service: string; version: number; step: number };
      return told(
        yield* register.change(
          Buffer.from(
            JSON.stringify({ id: `weights/${service}/${version}/${step}`, weights: { [service]: { version, step } } }),
          ),
        ),
      );
    });

  /** How many more disks each group of replicas may lose, as this node knows them. */
  const lossMargins = (): Readonly<Record<string, number>> => {
    const known = register.known()?.configuration;
    if (!known) return {};
    const present = new Set(news.nodes().map(placement.key));
    const marginOf = (group: ReadonlyArray<Voter>): number =>
      lossMargin.ofGroup(group, (member) => present.has(placement.key(member)));
    const { current, previous } = known.stores;
    return {
      voters: marginOf(known.voters),
      ...(current.length > 0 && { stores: marginOf(current) }),
      ...(previous.length > 0 && { formerStores: marginOf(previous) }),
    };
  };

  const configurationAt = (sequence: number | undefined): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      const known = yield* register.latest;
      const settled = yield* register.settleKnown;
      if (settled.state !== 'accepted') return told(settled);
      if (sequence === undefined)
        return replies.json(200, { sequence: known.sequence, configuration: known.configuration });
      const value = yield* register.at(sequence);
      if (!value) return replies.bounce(404, `no sequence ${sequence}`);
      return replies.json(200, {
        sequence,
        change: value.changeId,
        configuration: JSON.parse(value.configuration) as Configuration,
      });
    });

  const changeOf = (id: string, bytes: boolean): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      const found = yield* register.find(id);
      if (!found) return replies.json(404, { state: 'not taken', upTo: register.known()?.sequence ?? 0 });
      if (bytes) {
        const value = yield* register.at(found.sequence);
        if (!value) return replies.bounce(404, `no sequence ${found.sequence}`);
        return {
          status: 200,
          headers: { 'content-type': 'application/json', 'foxdeck-sequence': String(found.sequence) },
          body: value.change,
        };
      }
      const settled = yield* register.settleKnown;
      return settled.state === 'accepted'
        ? replies.json(200, { state: 'accepted', sequence: found.sequence })
        : told(settled);
    });

  const calendar = Effect.gen(function* () {
    const known = yield* register.latest;
    const waits = new Map(news.moves().map((each) => [each.name, each]));
    const rows = Object.entries(known.configuration.moves).map(([name, { progress, ...move }]) => {
      const waiting = waits.get(name);
      return {
        name,
        state: moves.stateOf({ ...move, progress }, context.time.wall(), waiting !== undefined),
        reason: progress?.reason ?? waiting?.reason,
        startMs: move.startMs,
        latestMs: moves.latest(move),
        steps: progress?.steps ?? 0,
        at: progress?.at,
        letGo: Object.keys(waiting?.release ?? {}),
        move,
      };
    });
    return rows;
  });

  /** The changes that were taken last; they stand with the configuration, whichever nodes died since. */
  const history = Effect.gen(function* () {
    const known = yield* register.latest;
    const first = Math.max(2, known.sequence - changesMost + 1);
    const found = yield* Effect.forEach(
      Array.from({ length: Math.max(0, known.sequence - first + 1) }, (_, place) => first + place),
      (sequence) => Effect.map(register.at(sequence), (value) => ({ sequence, value })),
      { concurrency: 8 },
    );
    return found.flatMap(({ sequence, value }) => {
      if (!value) return [];
      const { id: _, expected: __, ...parts } = JSON.parse(Buffer.from(value.change).toString('utf8')) as Change;
      return [{ sequence, change: value.changeId, touches: Object.keys(parts).join(',') }];
    });
  });

  const cancelMove = (path: string, undo: boolean): Effect.Effect<HttpReply, Fault> =>
    Effect.gen(function* () {
      const name = path.replace(/\/cancel$/, '');
      const known = yield* register.latest;
      const move = known.configuration.moves[name];
      if (!path.endsWith('/cancel') || !move) return replies.bounce(404, `no move named ${name}`);
      const change = moves.cancel(name, move, undo, context.time.wall());
      if (typeof change === 'string') return replies.bounce(409, change);
      return told(yield* register.change(Buffer.from(JSON.stringify({ ...change, expected: known.sequence }))));
    });

  return (ask: HttpAsk): Effect.Effect<HttpReply> =>
    Effect.gen(function* () {
      const url = new URL(ask.path, 'http://node');
      const [, , call, ...rest] = url.pathname.split('/');
      const about = rest.map(decodeURIComponent).join('/');
      switch (`${ask.method} ${call}`) {
        case 'GET health':
          return replies.json(200, { node: context.settings.name, state: context.state() });
        case 'GET ready': {
          const ready =
            context.state() === 'ready' && (!context.settings.roles.includes('front') || context.leases.inForce());
          return ready ? replies.json(200, { ready }) : replies.bounce(503, 'not ready', 1, { state: context.state() });
        }
        case 'GET status':
          return replies.json(200, context.facts());
        case 'GET fleet':
          return replies.json(200, { nodes: news.nodes(), samplers: news.samplers(), lossMargins: lossMargins() });
        case 'POST samplers':
          return announce(ask);
        case 'POST weights':
          return yield* nameWeights(ask);
        case 'POST changes': {
          if (context.state() === 'draining') return replies.bounce(503, 'this node is draining', 1);
          return told(yield* register.change(ask.body));
        }
        case 'GET changes':
          return about.endsWith('/document')
            ? yield* changeOf(about.slice(0, -'/document'.length), true)
            : yield* changeOf(about, false);
        case 'GET configuration':
          return yield* configurationAt(
            url.searchParams.has('sequence') ? Number(url.searchParams.get('sequence')) : undefined,
          );
        case 'GET moves':
          return replies.json(200, { moves: yield* calendar });
        case 'POST moves':
          return yield* cancelMove(about, url.searchParams.has('undo'));
        case 'GET events':
          return replies.json(200, yield* context.events({ ...filterOf(url), most: numberOf(url, 'most', 200) }));
        case 'GET tables': {
          if (about === 'moves') return yield* Effect.map(calendar, (rows) => replies.json(200, { rows, silent: [] }));
          if (about === 'changes') return yield* Effect.map(history, (rows) => replies.json(200, { rows, silent: [] }));
          const table = yield* context.table(about, filterOf(url));
          return table ? replies.json(200, table) : replies.bounce(404, `no table named ${about}`);
        }
        case 'POST drain':
          yield* context.draining(!url.searchParams.has('undo'));
          return replies.json(200, { state: context.state() });
        case 'GET seaters':
          return replies.json(200, yield* context.seater(about, 'state', {}));
        default:
          return replies.bounce(404, 'no such call');
      }
    }).pipe(Effect.catchAll((fault) => Effect.succeed(replies.bounce(503, fault.message, 1))));
};
