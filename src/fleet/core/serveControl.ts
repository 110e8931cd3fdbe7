import { createServer } from 'node:http';
import type { Transport } from '../../shared/transport.js';
import type { Dialect, Reply } from '../dialect.js';
import type { ControlHandler } from './controlHandler.js';

const bodyMost = 64 * 1024 * 1024;

/** Serves the control calls of samplers, trainers and operators over HTTP. */
export const serveControl = (
  address: string,
  transport: Transport,
  dialect: Dialect,
  desk: ControlHandler,
): Promise<void> => {
  const server = createServer({ noDelay: true, keepAliveTimeout: 30_000 }, (message, response) => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= bodyMost) chunks.push(chunk);
      else message.destroy();
    });
    message.on('error', () => undefined);
    message.on('end', () => {
      const body = Buffer.concat(chunks);
      const answer = ({ status, headers, body: bytes = '' }: Reply): void => {
        if (response.destroyed) return;
        const whole = Buffer.from(bytes);
        response.writeHead(status, { ...headers, 'content-length': String(whole.length) });
        response.end(whole);
      };
      const call = dialect.controlCall(message.method ?? '', message.url ?? '', message.headers, body);
      if (!call) return answer({ status: 404 });
      void desk.handle(call, body).then(answer);
    });
  });
  return transport.listenHttp(server, address);
};
