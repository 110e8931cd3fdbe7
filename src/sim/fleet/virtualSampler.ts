import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Transport } from '../../shared/transport.js';
import { httpCalls } from './httpCalls.js';
import type { Observation } from './observations.js';
import type { VirtualWorld } from './virtualWorld.js';

/** A sampler of the simulated days, in the plain adapter's own names. */
export type SamplerOptions = {
  readonly world: VirtualWorld;
  readonly transport: Transport;
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly model: boolean;
  readonly cores: ReadonlyArray<string>;
  readonly beatMs: number;
  readonly saw: (observation: Observation) => void;
  /** False while orders may have been held up by a freeze or a cut. */
  readonly calm: () => boolean;
};

const slots = 4;
const eventsOfText = 6;
const eventMs = 50;
const plainMs = 12;
const loadMs = 300;
const announceMs = 1000;

/** The text that an item gets: each event names the item and its place. */
const textOf = (item: string): string =>
  Array.from({ length: eventsOfText }, (_, place) => `${item}/${place + 1}`).join('\n');

const startSampler = (options: SamplerOptions): Server => {
  const { world, id, saw } = options;
  let running = 0;
  let version = 1;
  let loading: { readonly version: number; readonly until: number } | undefined;
  let fence = 0;
  let beat = 0;
  const settleLoad = (): void => {
    if (!loading || world.now() < loading.until) return;
    version = Math.max(version, loading.version);
    loading = undefined;
  };

  const turnAway = (response: ServerResponse, status: number, attempt: string): void => {
    response.writeHead(status, { 'foxdeck-attempt': attempt, 'foxdeck-not-run': '1', 'content-length': '0' });
    response.end();
  };
  const text = (message: IncomingMessage, response: ServerResponse, attempt: string): void => {
    settleLoad();
    const expected = Number(message.headers['foxdeck-version'] ?? version);
    if (expected !== version) return turnAway(response, 421, attempt);
    if (running >= slots || loading) return turnAway(response, 503, attempt);
    running += 1;
    saw({ kind: 'ran', at: world.now(), attempt, sampler: id });
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'foxdeck-attempt': attempt,
      'foxdeck-versions': String(version),
    });
    let place = Number(message.headers['last-event-id'] ?? 0);
    const timer = setInterval(() => {
      place += 1;
      response.write(`id: ${place}\ndata: ${attempt}/${place}\n\n`);
      if (place < eventsOfText) return;
      clearInterval(timer);
      response.end();
    }, eventMs);
    response.on('close', () => {
      clearInterval(timer);
      running -= 1;
    });
  };
  const plain = (response: ServerResponse, attempt: string): void => {
    saw({ kind: 'ran', at: world.now(), attempt, sampler: id });
    setTimeout(() => {
      const body = JSON.stringify({ rating: 7, attempt });
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': String(body.length),
        'foxdeck-attempt': attempt,
        'foxdeck-stamp': id,
      });
      response.end(body);
    }, plainMs);
  };
  const order = (body: string, response: ServerResponse): void => {
    const told = JSON.parse(body) as { sampler: string; version: number; holder: string; fence: number };
    const answer = (status: number): void => {
      response.writeHead(status, { 'content-length': '0' });
      response.end();
    };
    if (told.sampler !== id) return answer(421);
    saw({ kind: 'order', at: world.now(), sampler: id, holder: told.holder, fence: told.fence, calm: options.calm() });
    settleLoad();
    fence = Math.max(fence, told.fence);
    if (version >= told.version) return answer(200);
    if (loading) return answer(409);
    loading = { version: told.version, until: world.now() + loadMs };
    answer(202);
  };
  const server = createServer({ keepAliveTimeout: 60_000 }, (message, response) => {
    let body = '';
    message.setEncoding('utf8');
    message.on('data', (chunk: string) => (body += chunk));
    message.on('end', () => {
      const attempt = String(message.headers['foxdeck-attempt'] ?? '');
      if (message.url === '/foxdeck/order') return order(body, response);
      if (message.headers['foxdeck-sampler'] !== id) return turnAway(response, 421, attempt);
      if (options.model) text(message, response, attempt);
      else plain(response, attempt);
    });
    response.on('error', () => undefined);
  });
  const calls = httpCalls(options.transport);
  let core = Math.floor(world.chance() * options.cores.length);
  const announce = async (): Promise<void> => {
    settleLoad();
    beat += 1;
    const models = options.model ? { writer: version } : {};
    const { address, zone } = options;
    const service = options.model ? 'texts' : 'plain';
    const told = { service, address, zone, slots, state: 'ready', beat, models };
    const path = `/foxdeck/samplers/${encodeURIComponent(id)}`;
    const heard = await calls.call(options.cores[core]!, 'PUT', path, {}, JSON.stringify(told), announceMs);
    if (heard.status !== 200) core = (core + 1) % options.cores.length;
  };
  setInterval(() => void announce(), options.beatMs);
  void announce();
  void options.transport.listenHttp(server, options.address);
  return server;
};

/** Samplers of the simulated days. */
export const virtualSampler = { start: startSampler, textOf };
