import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import { Effect, Fiber, Runtime, Scope, Stream, type Context } from 'effect';
import { Fault } from '../shared/fault.js';
import type { Http, HttpAsk, HttpHandler, HttpReply } from '../shared/http.js';

const split = (address: string): { host: string; port: number } => ({
  host: address.slice(0, address.lastIndexOf(':')),
  port: Number(address.slice(address.lastIndexOf(':') + 1)),
});
const flat = (headers: IncomingMessage['headers']): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined ? [] : [[name, Array.isArray(value) ? value.join(', ') : value]],
    ),
  );

const bodyOf = async (message: IncomingMessage, limit: number): Promise<Uint8Array | undefined> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    if (size > limit) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

const writing = (response: ServerResponse, bytes: Uint8Array): Effect.Effect<void> =>
  Effect.async((resume) => {
    if (response.destroyed || response.write(bytes)) return resume(Effect.void);
    const go = (): void => {
      response.off('drain', go);
      response.off('close', go);
      resume(Effect.void);
    };
    response.on('drain', go);
    response.on('close', go);
  });

const answering = (response: ServerResponse, reply: HttpReply): Effect.Effect<void, Fault> =>
  Effect.gen(function* () {
    if (reply.body instanceof Uint8Array) {
      response.writeHead(reply.status, { ...reply.headers, 'content-length': String(reply.body.length) });
      response.end(reply.body);
      return;
    }
    response.writeHead(reply.status, reply.headers);
    response.flushHeaders();
    yield* Stream.runForEach(reply.body, (bytes) => writing(response, bytes));
    response.end();
  });

const served = (
  handler: HttpHandler,
  limit: number,
  message: IncomingMessage,
  response: ServerResponse,
): Effect.Effect<void> =>
  Effect.scoped(
    Effect.gen(function* () {
      const body = yield* Effect.tryPromise({
        try: () => bodyOf(message, limit),
        catch: (cause) => new Fault({ step: 'read body', reason: String(cause) }),
      });
      if (body === undefined) {
        yield* answering(response, {
          status: 413,
          headers: { 'content-type': 'application/json', connection: 'close', 'foxdeck-outcome': 'bounced' },
          body: Buffer.from(`{"error":"the body is over ${limit} bytes","outcome":"bounced"}\n`),
        });
        return;
      }
      const ask: HttpAsk = {
        method: message.method ?? 'GET',
        path: message.url ?? '/',
        headers: flat(message.headers),
        body,
      };
      yield* answering(response, yield* handler(ask));
    }),
  ).pipe(Effect.catchAllCause(() => Effect.sync(() => response.destroy())));

/** HTTP/1.1 by Node's own library. */
export const realHttp: Context.Tag.Service<typeof Http> = {
  serve: (address, handler, limit) =>
    Effect.gen(function* () {
      const runtime = yield* Effect.runtime<never>();
      yield* Effect.acquireRelease(
        Effect.async<ReturnType<typeof createServer>, Fault>((resume) => {
          const server = createServer((message, response) => {
            const fiber = Runtime.runFork(runtime)(served(handler, limit, message, response));
            response.on('close', () => {
              if (!response.writableFinished) Effect.runFork(Fiber.interrupt(fiber));
            });
          });
          server.once('error', (cause) =>
            resume(Effect.fail(new Fault({ step: 'listen', reason: `${address}: ${cause.message}` }))),
          );
          server.listen(split(address), () => resume(Effect.succeed(server)));
        }),
        (server) =>
          Effect.sync(() => {
            server.close();
            server.closeAllConnections();
          }),
      );
    }),
  call: (address, ask) =>
    Effect.gen(function* () {
      const scope = yield* Effect.scope;
      return yield* Effect.async<HttpReply, Fault>((resume) => {
        let connected = false;
        let sent: ReturnType<typeof request>;
        try {
          sent = request({
            ...split(address),
            method: ask.method,
            path: ask.path,
            headers: { ...ask.headers, 'content-length': String(ask.body.length) },
            agent: false,
          });
        } catch (cause) {
          return resume(Effect.fail(new Fault({ step: 'call', cohortMember: address, reason: String(cause) })));
        }
        Effect.runSync(
          Scope.addFinalizer(
            scope,
            Effect.sync(() => sent.destroy()),
          ),
        );
        sent.on('socket', (socket) =>
          socket.on('connect', () => {
            connected = true;
          }),
        );
        sent.on('error', (cause) =>
          resume(
            Effect.fail(new Fault({ step: 'call', cohortMember: address, reason: cause.message, unknown: connected })),
          ),
        );
        sent.on('response', (message) => {
          const cut = (reason: string): Fault =>
            new Fault({ step: 'read answer', cohortMember: address, reason, unknown: true });
          const whole = Stream.fromEffect(
            Effect.suspend(() => (message.complete ? Effect.void : Effect.fail(cut('the answer was cut short')))),
          );
          const body = Stream.concat(
            Stream.fromAsyncIterable(message as AsyncIterable<Uint8Array>, (cause) => cut(String(cause))),
            Stream.drain(whole),
          );
          resume(Effect.succeed({ status: message.statusCode ?? 502, headers: flat(message.headers), body }));
        });
        sent.end(ask.body);
        return Effect.sync(() => void sent.destroy());
      });
    }),
};
