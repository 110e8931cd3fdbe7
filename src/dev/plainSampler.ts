import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { plainText } from './plainText.js';

/** How a plain sampler answers. */
export type PlainSamplerOptions = {
  readonly slots: number;
  readonly events: number;
  readonly eventBytes: number;
  readonly pieceMs: number;
  readonly model: boolean;
};

/** A sampler that speaks the product's own names: texts of a fixed count of events, ratings and plain answers. */
export const startPlainSampler = async (options: PlainSamplerOptions): Promise<{ readonly address: string }> => {
  let running = 0;

  const text = (message: IncomingMessage, response: ServerResponse): void => {
    const attempt = String(message.headers['foxdeck-attempt']);
    if (running >= options.slots) {
      response.writeHead(429, { 'foxdeck-attempt': attempt, 'foxdeck-not-run': '1', 'content-length': '0' });
      return void response.end();
    }
    running += 1;
    const headers = {
      'content-type': 'text/event-stream',
      'foxdeck-attempt': attempt,
      'foxdeck-stamp': '7',
      'foxdeck-versions': '1',
    };
    response.writeHead(200, headers);
    let at = Number(message.headers['last-event-id'] ?? 0);
    const timer = setInterval(() => {
      at += 1;
      response.write(`id: ${at}\ndata: ${plainText(options.eventBytes)}\n\n`);
      if (at < options.events) return;
      clearInterval(timer);
      response.end();
    }, options.pieceMs);
    response.on('close', () => {
      clearInterval(timer);
      running -= 1;
    });
  };
  const plain = (message: IncomingMessage, response: ServerResponse): void => {
    const body = '{"rating":7}';
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': String(body.length),
      'foxdeck-attempt': String(message.headers['foxdeck-attempt']),
      'foxdeck-stamp': '7',
    });
    response.end(body);
  };
  const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, (message, response) => {
    message.resume();
    message.on('end', () => (options.model ? text : plain)(message, response));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};
