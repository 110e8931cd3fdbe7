import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Cause, Effect, Exit, Fiber, Queue, Scope, Stream, type Context } from 'effect';
import { AnswerSchema, AskSchema, type Answer, type Ask } from '../gen/foxdeck_pb.js';
import { Fault } from '../shared/fault.js';
import type { Http, HttpAsk, HttpHandler, HttpReply } from '../shared/http.js';
import type { AskHandler, Links } from '../shared/links.js';
import type { Process, World } from './world.js';

type Serving<H> = { readonly process: Process; readonly handler: H };

/** The network of a world: addresses, who serves there, and which machines can hear which. */
export type SimNet = {
  readonly links: (process: Process) => Context.Tag.Service<typeof Links>;
  readonly http: (process: Process) => Context.Tag.Service<typeof Http>;
  /** Cuts what one machine sends to another; true restores it. */
  readonly hears: (from: string, to: string, heard: boolean) => void;
  readonly heal: () => void;
  readonly counts: { asks: number; calls: number; dropped: number };
};

// One message in so many goes through its codec; the others are handed over as they are, since nothing changes them.
const codedEvery = 64;

const bounced = (address: string): Fault =>
  new Fault({ step: 'connect', cohortMember: address, reason: 'connection refused' });

/** Makes a world's network. */
export const simNet = (world: World): SimNet => {
  const peers = new Map<string, Serving<AskHandler>>();
  const faces = new Map<string, Serving<HttpHandler>>();
  const cut = new Set<string>();
  const counts = { asks: 0, calls: 0, dropped: 0 };
  const open = (from: Process, to: Process): boolean => !cut.has(`${from.name}>${to.name}`);
  const latency = (): number => world.between(0.2, 1.6);
  const carry = (from: Process, to: Process, run: () => void, atLeast = 0): number => {
    const at = Math.max(world.now() + latency(), atLeast);
    world.after(at - world.now(), () => {
      if (open(from, to)) to.enter(run);
      else counts.dropped += 1;
    });
    return at;
  };

  const serving =
    <H>(table: Map<string, Serving<H>>, process: Process) =>
    (address: string, handler: H): Effect.Effect<void, Fault, Scope.Scope> =>
      Effect.asVoid(
        Effect.acquireRelease(
          Effect.suspend(() => {
            if (table.get(address)?.process.alive())
              return Effect.fail(new Fault({ step: 'listen', reason: `${address} is taken` }));
            table.set(address, { process, handler });
            return Effect.void;
          }),
          () =>
            Effect.sync(() => {
              if (table.get(address)?.process === process) table.delete(address);
            }),
        ),
      );

  return {
    counts,
    hears: (from, to, heard) => void (heard ? cut.delete(`${from}>${to}`) : cut.add(`${from}>${to}`)),
    heal: () => cut.clear(),
    links: (process) => ({
      serve: serving(peers, process),
      ask: (address, ask, timeLeft) =>
        Effect.async<Answer, Fault>((resume) => {
          const to = peers.get(address);
          counts.asks += 1;
          const failing = (reason: string) => (): void =>
            process.enter(() =>
              resume(Effect.fail(new Fault({ step: 'ask', cohortMember: address, reason, unknown: true }))),
            );
          if (!to || !to.process.alive()) {
            world.after(latency() * 2, failing('connection refused'));
            return;
          }
          const coded = counts.asks % codedEvery === 0;
          const sent = coded ? (fromBinary(AskSchema, toBinary(AskSchema, ask)) as Ask) : ask;
          const forgets = [
            world.after(timeLeft, failing(`no answer to ${ask.kind.case} in ${timeLeft} ms`)),
            to.process.onKill(() => void world.after(latency(), failing('the channel closed'))),
          ];
          const forget = (): void => forgets.forEach((each) => each());
          carry(process, to.process, () =>
            to.process.fork(
              Effect.suspend(() => to.handler(sent)),
              (exit) => {
                if (!Exit.isSuccess(exit)) return;
                const answer = coded
                  ? fromBinary(AnswerSchema, toBinary(AnswerSchema, create(AnswerSchema, exit.value)))
                  : exit.value;
                carry(to.process, process, () => {
                  forget();
                  resume(Effect.succeed(answer));
                });
              },
            ),
          );
          return Effect.sync(forget);
        }),
    }),
    http: (process) => ({
      serve: (address, handler) => serving(faces, process)(address, handler),
      call: (address, ask) =>
        Effect.gen(function* () {
          const scope = yield* Effect.scope;
          return yield* Effect.async<HttpReply, Fault>((resume) => {
            counts.calls += 1;
            const to = faces.get(address);
            if (!to || !to.process.alive()) {
              world.after(latency() * 2, () => process.enter(() => resume(Effect.fail(bounced(address)))));
              return;
            }
            const chunks = Effect.runSync(Queue.unbounded<Exit.Exit<Uint8Array, Fault | undefined>>());
            let over = false;
            let lastAt = 0;
            const lost = (): Fault =>
              new Fault({ step: 'read answer', cohortMember: address, reason: 'the connection broke', unknown: true });
            const back = (run: () => void): void => {
              lastAt = carry(
                to.process,
                process,
                () => {
                  if (!over) run();
                },
                lastAt,
              );
            };
            const breaking = (): void => {
              resume(Effect.fail(lost()));
              Queue.unsafeOffer(chunks, Exit.fail(lost()));
            };
            let serving: Fiber.RuntimeFiber<unknown, unknown> | undefined;
            const close = (): void => {
              over = true;
              carry(process, to.process, () => {
                if (serving) Effect.runFork(Fiber.interrupt(serving));
              });
            };
            const answer = (reply: HttpReply): Effect.Effect<void> =>
              Effect.gen(function* () {
                const body = reply.body;
                back(() =>
                  resume(
                    Effect.succeed({
                      status: reply.status,
                      headers: reply.headers,
                      body: Stream.flatMap(Stream.repeatEffect(Queue.take(chunks)), (exit) =>
                        Exit.match(exit, {
                          onSuccess: (bytes) => Stream.make(bytes),
                          onFailure: (cause) => Stream.failCause(cause),
                        }),
                      ).pipe(Stream.catchAll((fault) => (fault === undefined ? Stream.empty : Stream.fail(fault)))),
                    }),
                  ),
                );
                const stream = body instanceof Uint8Array ? Stream.make(body) : body;
                const ended = yield* Effect.exit(
                  Stream.runForEach(stream, (bytes) =>
                    Effect.sync(() => back(() => void Queue.unsafeOffer(chunks, Exit.succeed(bytes)))),
                  ),
                );
                back(
                  () =>
                    void Queue.unsafeOffer(chunks, Exit.isSuccess(ended) ? Exit.fail(undefined) : Exit.fail(lost())),
                );
              });
            Effect.runSync(Scope.addFinalizer(scope, Effect.sync(close)));
            const forgets = [
              process.onKill(close),
              to.process.onKill(() => void world.after(latency(), () => process.enter(breaking))),
            ];
            Effect.runSync(
              Scope.addFinalizer(
                scope,
                Effect.sync(() => forgets.forEach((forget) => forget())),
              ),
            );
            const given: HttpAsk = {
              ...ask,
              body: Uint8Array.from(ask.body),
              headers: { ...ask.headers, 'x-sim-from': process.name },
            };
            carry(process, to.process, () =>
              to.process.fork(
                Effect.withFiberRuntime<void>((fiber) => {
                  serving = fiber as Fiber.RuntimeFiber<unknown, unknown>;
                  return over ? Effect.void : Effect.scoped(Effect.flatMap(to.handler(given), answer));
                }),
                (exit) => {
                  if (Exit.isFailure(exit) && !Cause.isInterruptedOnly(exit.cause)) back(breaking);
                },
              ),
            );
          });
        }),
    }),
  };
};
