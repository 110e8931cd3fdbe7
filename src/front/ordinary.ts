import { createHash } from 'node:crypto';
import { Duration, Effect, Exit, Scope, Stream } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import { configuration, type Binding } from '../shared/configuration.js';
import type { Address } from '../shared/brands.js';
import { Fault } from '../shared/fault.js';
import type { HttpAsk, HttpReply } from '../shared/http.js';
import { table } from '../shared/table.js';
import { replies } from './replies.js';

type Chosen = {
  readonly name: string;
  readonly address: Address;
  readonly version: number;
  readonly permit: string | undefined;
};

const hops = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);
const passed = (headers: Readonly<Record<string, string>>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !hops.has(name)));
const triesMost = 2;

const badJson = (ask: HttpAsk): boolean => {
  if (ask.body.length === 0 || !(ask.headers['content-type'] ?? '').includes('application/json')) return false;
  try {
    JSON.parse(Buffer.from(ask.body).toString('utf8'));
    return false;
  } catch {
    return true;
  }
};

/** Serves requests by the bindings: each goes to one sampler, and a once-only one never twice. */
export const makeOrdinary = (
  context: NodeContext,
): ((ask: HttpAsk) => Effect.Effect<HttpReply, never, Scope.Scope>) => {
  const { news, time, log, archive } = context;
  const burdens = table<ReadonlyMap<string, number>>(new Map());
  const shun = table<ReadonlyMap<string, number>>(new Map());
  const burden = (name: string, by: number): void =>
    void burdens.swap((now) => new Map(now).set(name, (now.get(name) ?? 0) + by));

  const plain = (service: string, tried: ReadonlyArray<string>): Chosen | undefined => {
    const most = context.register.known()?.configuration.services[service]?.concurrency ?? 64;
    const ready = news
      .samplers()
      .filter(
        (sampler) =>
          sampler.service === service &&
          sampler.state === 'ready' &&
          !tried.includes(sampler.name) &&
          (burdens.get().get(sampler.name) ?? 0) < most,
      );
    const cost = (name: string, domain: string): number =>
      Number((shun.get().get(name) ?? 0) > time.held()) * 1e6 +
      Number(domain !== context.settings.domain) * 1e3 +
      (burdens.get().get(name) ?? 0) +
      time.chance() * 0.5;
    const [best] = ready
      .map((sampler) => ({ sampler, cost: cost(sampler.name, sampler.domain) }))
      .sort((left, right) => left.cost - right.cost);
    return (
      best && {
        name: best.sampler.name,
        address: best.sampler.address,
        version: best.sampler.version,
        permit: undefined,
      }
    );
  };
  const choose = (
    service: string,
    ask: HttpAsk,
    timeLeft: number,
    tried: ReadonlyArray<string>,
  ): Effect.Effect<Chosen, Fault> =>
    Effect.suspend(() => {
      if (context.register.known()?.configuration.services[service]?.kind === 'model') {
        return Effect.map(
          context.seater(service, 'seat', {
            burden: Math.ceil(ask.body.length / 4) + 64,
            domain: context.settings.domain,
            timeLeftMs: timeLeft,
          }),
          (seat) => seat as Chosen,
        );
      }
      const found = plain(service, tried);
      return found
        ? Effect.succeed(found)
        : Effect.fail(new Fault({ step: 'choose', reason: `no sampler of ${service} is ready` }));
    });

  /** Whether an order to this sampler may still leave: asked at the last moment before it does. */
  const allowed = (service: string, chosen: Chosen, ask: HttpAsk): boolean =>
    context.leases.inForce() &&
    configuration
      .match(context.register.known()!.configuration, ask.path.split('?')[0]!)
      .some(([, each]) => each.service === service && each.methods.includes(ask.method)) &&
    news
      .samplers()
      .some(
        (sampler) =>
          sampler.name === chosen.name &&
          sampler.service === service &&
          sampler.state === 'ready' &&
          sampler.address === chosen.address,
      );

  const claim = (key: string): Effect.Effect<'mine' | 'another', Fault> => {
    const attempt = Buffer.from(JSON.stringify({ node: context.settings.name, attempt: time.identity() }));
    const name = `claim/${createHash('sha256').update(key).digest('hex')}`;
    return Effect.map(archive.decide(name, attempt), (decision) =>
      Buffer.compare(decision.value, attempt) === 0 ? 'mine' : 'another',
    );
  };

  const send = (
    service: string,
    chosen: Chosen,
    ask: HttpAsk,
    timeLeft: number,
  ): Effect.Effect<HttpReply, Fault, Scope.Scope> =>
    Effect.gen(function* () {
      yield* Effect.acquireRelease(
        Effect.sync(() => burden(chosen.name, 1)),
        () =>
          Effect.gen(function* () {
            burden(chosen.name, -1);
            if (chosen.permit !== undefined)
              yield* Effect.forkDaemon(Effect.ignore(context.seater(service, 'unseat', { permit: chosen.permit })));
          }),
      );
      if (!allowed(service, chosen, ask))
        return yield* new Fault({ step: 'deliver', cohortMember: chosen.name, reason: 'it may no longer be called' });
      const headers = {
        ...passed(ask.headers),
        'foxdeck-time-left': String(timeLeft),
        ...(chosen.permit === undefined ? {} : { 'foxdeck-weight-version': String(chosen.version) }),
      };
      const reply = yield* Effect.timeoutFail(context.http.call(chosen.address, { ...ask, headers }), {
        duration: Duration.millis(timeLeft),
        onTimeout: () =>
          new Fault({ step: 'deliver', cohortMember: chosen.name, reason: 'its time is up', unknown: true }),
      });
      const cut = (fault: Fault): Fault => {
        log.event('answer_cut', { sampler: chosen.name, path: ask.path, reason: fault.message });
        return fault;
      };
      const body =
        reply.body instanceof Uint8Array
          ? reply.body
          : Stream.mapError(
              Stream.timeoutFail(
                reply.body,
                () =>
                  new Fault({ step: 'deliver', cohortMember: chosen.name, reason: 'its time is up', unknown: true }),
                Duration.millis(timeLeft),
              ),
              cut,
            );
      return { status: reply.status, headers: passed(reply.headers), body };
    });

  const serve = (binding: Binding, ask: HttpAsk): Effect.Effect<HttpReply, never, Scope.Scope> =>
    Effect.gen(function* () {
      const given = Number(ask.headers['foxdeck-time-left'] ?? binding.timeLeftMs ?? 30_000);
      const until =
        time.held() + Math.min(Number.isFinite(given) && given > 0 ? given : 30_000, binding.timeLeftMs ?? 3_600_000);
      const once = binding.onceOnly === true;
      const key = ask.headers['idempotency-key'];
      let claimed = false;
      let left = false;
      let tried: ReadonlyArray<string> = [];
      for (;;) {
        const chosen = yield* Effect.either(choose(binding.service, ask, Math.max(1, until - time.held()), tried));
        if (chosen._tag === 'Left') {
          if (left) return replies.unknown(502, 'it may have run on a sampler that failed');
          if (claimed) return replies.unknown(503, 'its key is claimed, but no sampler took it');
          return replies.bounce(503, chosen.left.reason, 1);
        }
        if (once && key !== undefined && !claimed) {
          const won = yield* Effect.either(
            Effect.timeoutFail(claim(key), {
              duration: Math.max(1, until - time.held()),
              onTimeout: () => new Fault({ step: 'claim', reason: 'its time is up', unknown: true }),
            }),
          );
          if (won._tag === 'Left') {
            log.event('claim_failed', { path: ask.path, reason: won.left.message });
            return won.left.unknown
              ? replies.unknown(503, 'whether its key is claimed is not known')
              : replies.bounce(503, won.left.reason, 2);
          }
          if (won.right === 'another')
            return replies.unknown(409, 'its key was claimed by an earlier request, which may have run');
          claimed = true;
        }
        if (until - time.held() <= 0)
          return left || claimed
            ? replies.unknown(504, 'its time is up')
            : replies.bounce(503, 'its time was up before it was sent', 1);
        const scope = yield* Scope.make();
        yield* Effect.addFinalizer(() => Scope.close(scope, Exit.void));
        const sent = yield* Effect.either(
          Scope.extend(send(binding.service, chosen.right, ask, Math.max(1, until - time.held())), scope),
        );
        if (sent._tag === 'Right') return sent.right;
        const fault = sent.left;
        yield* Scope.close(scope, Exit.void);
        log.event('deliver_failed', {
          sampler: chosen.right.name,
          path: ask.path,
          unknown: fault.unknown === true,
          reason: fault.message,
        });
        shun.swap((now) => new Map(now).set(chosen.right.name, time.held() + 1000));
        tried = [...tried, chosen.right.name];
        left = left || fault.unknown === true;
        const again = tried.length < triesMost && (!left || (!once && ask.method === 'GET'));
        if (again) continue;
        if (left || claimed) return replies.unknown(fault.reason === 'its time is up' ? 504 : 502, fault.message);
        return replies.bounce(503, fault.message, 1);
      }
    });

  return (ask) =>
    Effect.suspend(() => {
      const known = context.register.known();
      const path = ask.path.split('?')[0]!;
      const found = known ? configuration.match(known.configuration, path) : [];
      if (found.length === 0) return Effect.succeed(replies.bounce(404, `nothing is bound to ${path}`));
      const binding = found.map(([, each]) => each).find((each) => each.methods.includes(ask.method));
      if (!binding) {
        const reply = replies.bounce(405, `${ask.method} is not bound at ${path}`);
        return Effect.succeed({
          ...reply,
          headers: { ...reply.headers, allow: [...new Set(found.flatMap(([, each]) => each.methods))].join(', ') },
        });
      }
      if (binding.bodyLimit !== undefined && ask.body.length > binding.bodyLimit)
        return Effect.succeed(replies.bounce(413, `the body is over ${binding.bodyLimit} bytes`));
      if (badJson(ask)) return Effect.succeed(replies.bounce(400, 'the body is not JSON'));
      return serve(binding, ask);
    });
};
