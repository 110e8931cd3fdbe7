import { createConnection, createServer, type Socket } from 'node:net';
import { create } from '@bufbuild/protobuf';
import { Effect, Runtime, Scope, type Context } from 'effect';
import { FrameSchema, type Answer } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import { Fault } from '../shared/fault.js';
import type { AskHandler, Links } from '../shared/links.js';
import type { Log } from '../shared/log.js';
import { slab, type Slab } from '../shared/slab.js';
import { frames } from './frames.js';

type Continuation = (outcome: Effect.Effect<Answer, Fault>) => void;
type Channel = { readonly socket: Socket; readonly pending: Slab<Continuation> };

const split = (address: string): { host: string; port: number } => ({
  host: address.slice(0, address.lastIndexOf(':')),
  port: Number(address.slice(address.lastIndexOf(':') + 1)),
});
const inFlightMost = 512;
const unsentMost = 64 * 1024 * 1024;

const listen = (address: string, serving: (socket: Socket) => void): Effect.Effect<void, Fault, Scope.Scope> =>
  Effect.asVoid(
    Effect.acquireRelease(
      Effect.async<{ close: () => void }, Fault>((resume) => {
        const sockets = new Set<Socket>();
        const server = createServer({ noDelay: true }, (socket) => {
          sockets.add(socket);
          socket.on('close', () => sockets.delete(socket));
          socket.on('error', () => socket.destroy());
          serving(socket);
        });
        server.once('error', (cause) =>
          resume(Effect.fail(new Fault({ step: 'listen', reason: `${address}: ${cause.message}` }))),
        );
        server.listen(split(address), () =>
          resume(
            Effect.succeed({
              close: () => {
                server.close();
                for (const socket of sockets) socket.destroy();
              },
            }),
          ),
        );
      }),
      (server) => Effect.sync(server.close),
    ),
  );

/** Channels over TCP: one task for each, with the asks in flight as continuations in a slab. */
export const realLinks = (
  log: Context.Tag.Service<typeof Log>,
): Effect.Effect<Context.Tag.Service<typeof Links>, never, Scope.Scope> =>
  Effect.gen(function* () {
    const runtime = yield* Effect.runtime<Scope.Scope>();
    const channels = new Map<string, Channel>();
    yield* Effect.addFinalizer(() => Effect.sync(() => channels.forEach((channel) => channel.socket.destroy())));

    const open = (address: string): Channel => {
      const known = channels.get(address);
      if (known && !known.socket.destroyed) return known;
      const channel: Channel = {
        socket: createConnection({ ...split(address), noDelay: true }),
        pending: slab<Continuation>(),
      };
      channels.set(address, channel);
      let reason = 'the channel closed';
      channel.socket.on('error', (cause) => {
        reason = cause.message;
      });
      const reading = Effect.tryPromise({
        try: async () => {
          for await (const frame of frames.read(channel.socket)) {
            if (frame.body.case !== 'answer') throw new Error('an ask came where answers are due');
            channel.pending.take(frame.index, frame.generation)?.(Effect.succeed(frame.body.value));
          }
        },
        catch: (cause) =>
          new Fault({
            step: 'channel',
            cohortMember: address,
            reason: cause instanceof Error ? cause.message : String(cause),
          }),
      }).pipe(
        Effect.catchAll((fault) =>
          Effect.sync(() => {
            reason = fault.reason;
          }),
        ),
        Effect.ensuring(
          Effect.sync(() => {
            channel.socket.destroy();
            if (channels.get(address) === channel) channels.delete(address);
            for (const resume of channel.pending.drain())
              resume(Effect.fail(new Fault({ step: 'ask', cohortMember: address, reason, unknown: true })));
          }),
        ),
      );
      Runtime.runFork(runtime)(reading);
      return channel;
    };

    const serveChannel = (socket: Socket, handler: AskHandler): Effect.Effect<void> => {
      let inFlight = 0;
      return Effect.tryPromise({
        try: async () => {
          for await (const frame of frames.read(socket)) {
            const { body, index, generation } = frame;
            if (body.case !== 'ask') throw new Error('an answer came where asks are due');
            if (inFlight >= inFlightMost || socket.writableLength > unsentMost)
              throw new Error('too many asks in flight');
            inFlight += 1;
            const send = (answer: Answer): void => {
              if (!socket.destroyed)
                socket.write(
                  frames.encode(
                    create(FrameSchema, {
                      wire: frames.wire,
                      index,
                      generation,
                      body: { case: 'answer', value: answer },
                    }),
                  ),
                );
            };
            Runtime.runFork(runtime)(
              Effect.flatMap(handler(body.value), (answer) =>
                Effect.sync(() => {
                  inFlight -= 1;
                  send(answer);
                }),
              ).pipe(
                Effect.catchAllCause((cause) =>
                  Effect.sync(() => {
                    log.event('answer_failed', { ask: body.value.kind.case, reason: String(cause).slice(0, 300) });
                    send(answers.bounce('answer', 'the answer could not be written'));
                  }),
                ),
              ),
            );
          }
        },
        catch: (cause) => (cause instanceof Error ? cause : new Error(String(cause))),
      }).pipe(
        Effect.catchAll((cause) =>
          Effect.sync(() => {
            if (!/ECONNRESET|EPIPE|Premature close|aborted/.test(cause.message))
              log.event('channel_lost', {
                cohortMember: `${socket.remoteAddress}:${socket.remotePort}`,
                reason: cause.message,
              });
            socket.destroy();
          }),
        ),
      );
    };

    return {
      serve: (address, handler) =>
        listen(address, (socket) => void Runtime.runFork(runtime)(serveChannel(socket, handler))),
      ask: (address, ask, timeLeft) =>
        Effect.timeoutFail(
          Effect.async<Answer, Fault>((resume) => {
            const channel = open(address);
            const place = channel.pending.insert(resume);
            channel.socket.write(
              frames.encode(create(FrameSchema, { wire: frames.wire, ...place, body: { case: 'ask', value: ask } })),
            );
            return Effect.sync(() => void channel.pending.take(place.index, place.generation));
          }),
          {
            duration: timeLeft,
            onTimeout: () =>
              new Fault({
                step: 'ask',
                cohortMember: address,
                reason: `no answer to ${ask.kind.case} in ${timeLeft} ms`,
                unknown: true,
              }),
          },
        ),
    };
  });
