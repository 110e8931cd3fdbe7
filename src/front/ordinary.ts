import { Deferred, Duration, Effect, Exit, Queue, Scope, Stream } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import { configuration, type Binding } from '../shared/configuration.js';
import { Fault } from '../shared/fault.js';
import type { HttpAsk, HttpReply } from '../shared/http.js';
import { makeChooser, type Chosen } from './choose.js';
import { makeOnceOnly } from './onceOnly.js';
import { passing } from './passing.js';
import { replies } from './replies.js';

/** What a delivery came to: a sampler's answer, nothing that left, or something that may have run. */
type Delivered = {
  readonly state: 'answered' | 'not sent' | 'unknown' | 'known before';
  readonly reply: HttpReply;
  /** The attempt at its key that was claimed. */
  readonly attempt: number | undefined;
};

const triesMost = 2;
/** How much of an answer waits for a caller who reads slowly. */
const aheadMost = 64;

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
  const { news, time, log } = context;
  const chooser = makeChooser(context);
  const keys = makeOnceOnly(context);
  const timeUp = (sampler: string): Fault =>
    new Fault({ step: 'deliver', cohortMember: sampler, reason: 'its time is up', unknown: true });

  /** Whether an order to this sampler may still leave: asked at the last moment before it does. */
  const allowed = (service: string, chosen: Chosen, ask: HttpAsk): boolean =>
    context.leases.inForce() &&
    configuration.allows(context.register.known()!.configuration, ask.path.split('?')[0]!, ask.method, service) &&
    news
      .samplers()
      .some(
        (sampler) =>
          sampler.name === chosen.name &&
          sampler.service === service &&
          sampler.state === 'ready' &&
          sampler.address === chosen.address,
      );

  const send = (
    service: string,
    chosen: Chosen,
    ask: HttpAsk,
    timeLeft: number,
  ): Effect.Effect<HttpReply, Fault, Scope.Scope> =>
    Effect.gen(function* () {
      yield* Effect.acquireRelease(
        Effect.sync(() => chooser.begun(chosen.name)),
        () =>
          Effect.gen(function* () {
            chooser.ended(chosen.name);
            if (chosen.permit === undefined) return;
            yield* Effect.forkDaemon(Effect.ignore(context.seater(service, 'unseat', { permit: chosen.permit })));
          }),
      );
      if (!allowed(service, chosen, ask)) {
        return yield* new Fault({ step: 'deliver', cohortMember: chosen.name, reason: 'it may no longer be called' });
      }
      const version = chosen.permit === undefined ? undefined : String(chosen.version);
      const headers = {
        ...passing.headers(ask.headers),
        'foxdeck-time-left': String(timeLeft),
        ...(version === undefined ? {} : { 'foxdeck-weight-version': version }),
      };
      const sentAt = time.held();
      const reply = yield* Effect.timeoutFail(context.http.call(chosen.address, { ...ask, headers }), {
        duration: Duration.millis(timeLeft),
        onTimeout: () => timeUp(chosen.name),
      });
      chooser.answered(service, chosen.name, time.held() - sentAt);
      const loaded = reply.headers['foxdeck-weight-version'];
      if (reply.status === 409 && version !== undefined && loaded !== undefined && loaded !== version) {
        return yield* new Fault({
          step: 'deliver',
          cohortMember: chosen.name,
          reason: 'it has loaded another version',
        });
      }
      const cut = (fault: Fault): Fault => {
        log.event('answer_cut', { sampler: chosen.name, path: ask.path, reason: fault.message });
        return fault;
      };
      const body = passing.body(reply.body, timeLeft, () => timeUp(chosen.name), cut);
      return { status: reply.status, headers: passing.headers(reply.headers), body };
    });

  /** Chooses, claims the key where there is one, and sends; a second try is made only while nothing may have run. */
  const deliver = (
    binding: Binding,
    service: string,
    ask: HttpAsk,
    until: number,
    key: string | undefined,
  ): Effect.Effect<Delivered, never, Scope.Scope> =>
    Effect.gen(function* () {
      const timeLeft = (): number => Math.max(1, until - time.held());
      let attempt: number | undefined;
      let left = false;
      let tried: ReadonlyArray<string> = [];
      const over = (reply: HttpReply): Delivered => ({ state: left ? 'unknown' : 'not sent', reply, attempt });
      for (;;) {
        const chosen = yield* Effect.either(chooser.choose(service, ask, timeLeft(), tried));
        if (chosen._tag === 'Left') {
          return over(
            left
              ? replies.unknown(502, 'it may have run on a sampler that failed')
              : replies.bounce(503, chosen.left.reason, 1),
          );
        }
        if (key !== undefined && attempt === undefined) {
          const late = (): Fault => new Fault({ step: 'claim', reason: 'its time is up', unknown: true });
          const claimed = yield* Effect.either(
            Effect.timeoutFail(keys.claim(key, ask), { duration: timeLeft(), onTimeout: late }),
          );
          if (claimed._tag === 'Left') {
            log.event('claim_failed', { path: ask.path, reason: claimed.left.message });
            return claimed.left.unknown
              ? { state: 'unknown', reply: replies.unknown(503, 'whether its key is claimed is not known'), attempt }
              : over(replies.bounce(503, claimed.left.reason, 2));
          }
          const found = claimed.right;
          if (found.state === 'answered') return { state: 'known before', reply: found.reply, attempt };
          if (found.state === 'unknown') return { state: 'unknown', reply: replies.unknown(409, found.why), attempt };
          if (found.state === 'other body') {
            const reply = replies.bounce(422, 'its key was used for another request');
            return { state: 'known before', reply, attempt };
          }
          attempt = found.attempt;
        }
        if (until - time.held() <= 0) {
          return over(
            left
              ? replies.unknown(504, 'its time is up')
              : replies.bounce(503, 'its time was up before it was sent', 1),
          );
        }
        const scope = yield* Scope.make();
        yield* Effect.addFinalizer(() => Scope.close(scope, Exit.void));
        const sent = yield* Effect.either(Scope.extend(send(service, chosen.right, ask, timeLeft()), scope));
        if (sent._tag === 'Right') return { state: 'answered', reply: sent.right, attempt };
        const fault = sent.left;
        yield* Scope.close(scope, Exit.void);
        log.event('deliver_failed', {
          sampler: chosen.right.name,
          path: ask.path,
          unknown: fault.unknown === true,
          reason: fault.message,
        });
        chooser.failed(chosen.right.name);
        tried = [...tried, chosen.right.name];
        left = left || fault.unknown === true;
        const again = tried.length < triesMost && (!left || (binding.onceOnly !== true && ask.method === 'GET'));
        if (again) continue;
        return over(
          left
            ? replies.unknown(fault.reason === 'its time is up' ? 504 : 502, fault.message)
            : replies.bounce(503, fault.message, 1),
        );
      }
    });

  /** A request with a key goes on when its caller leaves, so that its outcome is there for whoever repeats the key. */
  const keyed = (
    binding: Binding,
    service: string,
    ask: HttpAsk,
    until: number,
    key: string,
  ): Effect.Effect<HttpReply, never, Scope.Scope> =>
    Effect.gen(function* () {
      const answered = yield* Deferred.make<HttpReply>();
      const gone = yield* Deferred.make<void>();
      yield* Effect.addFinalizer(() => Deferred.succeed(gone, undefined));
      const work = Effect.gen(function* () {
        const delivered = yield* deliver(binding, service, ask, until, key);
        const { reply, attempt } = delivered;
        if (delivered.state !== 'answered' || attempt === undefined) {
          if (delivered.state === 'not sent' && attempt !== undefined) yield* keys.notSent(key, attempt);
          yield* Deferred.succeed(answered, reply);
          return;
        }
        const parts = yield* Queue.bounded<Exit.Exit<Uint8Array, Fault | undefined>>(aheadMost);
        const hand = (part: Exit.Exit<Uint8Array, Fault | undefined>) =>
          Effect.race(Queue.offer(parts, part), Deferred.await(gone));
        const body = Stream.repeatEffect(Queue.take(parts)).pipe(
          Stream.mapEffect((part) => part),
          Stream.catchAll((fault) => (fault === undefined ? Stream.empty : Stream.fail(fault))),
        );
        yield* Deferred.succeed(answered, { ...reply, body });
        const kept: Uint8Array[] = [];
        let size = 0;
        const read = reply.body instanceof Uint8Array ? Stream.make(reply.body) : reply.body;
        const ended = yield* Effect.exit(
          Stream.runForEach(read, (bytes) => {
            size += bytes.length;
            if (size <= keys.answerMost) kept.push(bytes);
            return hand(Exit.succeed(bytes));
          }),
        );
        if (Exit.isFailure(ended)) {
          yield* hand(Exit.fail(new Fault({ step: 'deliver', reason: 'the answer was cut', unknown: true })));
          return;
        }
        yield* hand(Exit.fail(undefined));
        yield* keys.answered(key, attempt, reply, size <= keys.answerMost ? Buffer.concat(kept) : undefined);
      });
      const lost = replies.unknown(500, 'the node failed on this request');
      yield* Effect.forkDaemon(Effect.ensuring(Effect.scoped(work), Deferred.succeed(answered, lost)));
      return yield* Deferred.await(answered);
    });

  const serve = (binding: Binding, ask: HttpAsk): Effect.Effect<HttpReply, never, Scope.Scope> =>
    Effect.gen(function* () {
      const given = Number(ask.headers['foxdeck-time-left'] ?? binding.timeLeftMs ?? 30_000);
      const until =
        time.held() + Math.min(Number.isFinite(given) && given > 0 ? given : 30_000, binding.timeLeftMs ?? 3_600_000);
      const key = binding.onceOnly === true ? ask.headers['idempotency-key'] : undefined;
      const service = configuration.serviceFor(binding, time.chance());
      if (key !== undefined) return yield* keyed(binding, service, ask, until, key);
      return (yield* deliver(binding, service, ask, until, undefined)).reply;
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
