import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Transport } from '../../shared/transport.js';
import { drainConnections, type ConnectionDrain } from '../connectionDrain.js';
import type { Dialect, Reply } from '../dialect.js';
import { sendReply } from '../sendReply.js';
import type { ControlHandler } from './controlHandler.js';

const bodyMost = 64 * 1024 * 1024;
const keepAliveMs = 30_000;

/** Serves the control calls of samplers, trainers and operators over HTTP; answers how its connections end. */
export const serveControl = async (
  address: string,
  options: {
    readonly transport: Transport;
    readonly dialect: Dialect;
    readonly handler: ControlHandler;
    readonly leaving: () => boolean;
    readonly now: () => number;
    /** Hears of a call that failed by an error of this process. */
    readonly failed: (url: string, cause: unknown) => void;
  },
): Promise<ConnectionDrain> => {
  const { dialect, handler } = options;
  const answer = async (message: IncomingMessage, body: Buffer): Promise<Reply> => {
    try {
      const call = dialect.controlCall(message.method ?? '', message.url ?? '', message.headers, body);
      return call ? await handler.handle(call, body) : { status: 404 };
    } catch (cause) {
      options.failed(message.url ?? '', cause);
      return { status: 500 };
    }
  };
  const serve = async (message: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> => {
    const reply = await answer(message, body);
    sendReply(response, reply, options.leaving());
  };
  const server = createServer({ noDelay: true, keepAliveTimeout: keepAliveMs }, (message, response) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= bodyMost) chunks.push(chunk);
      else message.destroy();
    });
    message.on('error', () => undefined);
    message.on('end', () => {
      serve(message, response, Buffer.concat(chunks)).catch((cause: unknown) => {
        options.failed(message.url ?? '', cause);
        response.destroy();
      });
    });
  });
  const drain = drainConnections(server, options.now);
  await options.transport.listenHttp(server, address);
  return drain;
};
