import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Transport } from '../../shared/transport.js';
import { httpCalls } from './httpCalls.js';
import type { Observation } from './observations.js';
import type { VirtualWorld } from './virtualWorld.js';

/** A sampler of the simulated days, in the plain adapter's own names. */
export type SamplerOptions = {
  readonly world: Pick<VirtualWorld, 'now' | 'chance' | 'between' | 'sleep'>;
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
  /** Whether a front has been in touch with the cores for a while. */
  readonly inTouch: (front: string) => boolean;
};

/** A sampler that runs. */
export type VirtualSampler = {
  /** Leaves in order: says so until a core acknowledges it, serves on for a while, and calls `gone`. */
  readonly depart: (how: 'draining' | 'leaving', gone: () => void) => void;
  /** Announces nothing for a while, and serves on. */
  readonly silence: (ms: number) => void;
  /** Takes so many times as long for plain requests, for a while. */
  readonly slow: (times: number, ms: number) => void;
  /** Announces nothing any more. */
  readonly stop: () => void;
};

const slots = 4;
const eventsOfText = 6;
const eventMs = 50;
const plainMs = 12;
const loadMs = 300;
const announceMs = 1000;
const drainMs = 2000;
const againMs = 150;
/** A beat that was sent before a departure may arrive so long after its acknowledgement. */
const lateBeatMs = { least: 200, most: 2500 };

/** The text that an item gets: each event names the item and its place. */
const textOf = (item: string): string =>
  Array.from({ length: eventsOfText }, (_, place) => `${item}/${place + 1}`).join('\n');

const startSampler = (options: SamplerOptions): VirtualSampler => {
  const { world, id, saw } = options;
  let running = 0;
  let [slowBy, slowUntil] = [1, 0];
  let version = 1;
  let loading: { readonly version: number; readonly until: number } | undefined;
  let fence = 0;
  let beat = 0;
  let state: 'ready' | 'draining' = 'ready';
  const settleLoad = (): void => {
    if (!loading || world.now() < loading.until) return;
    version = Math.max(version, loading.version);
    loading = undefined;
  };

  const ran = (attempt: string, message: IncomingMessage): void => {
    const front = (message.socket as unknown as { readonly peerHost: string }).peerHost;
    const tenant = message.headers['foxdeck-tenant'];
    saw({
      kind: 'ran',
      at: world.now(),
      attempt,
      sampler: id,
      inTouch: options.inTouch(front),
      tenant: tenant === undefined ? undefined : String(tenant),
      headers: message.rawHeaders.join(' '),
    });
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
    ran(attempt, message);
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'foxdeck-attempt': attempt,
      'foxdeck-stamp': id,
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
  const plain = (message: IncomingMessage, response: ServerResponse, attempt: string): void => {
    ran(attempt, message);
    setTimeout(
      () => {
        const body = JSON.stringify({ rating: 7, attempt });
        response.writeHead(200, {
          'content-type': 'application/json',
          'content-length': String(body.length),
          'foxdeck-attempt': attempt,
          'foxdeck-stamp': id,
        });
        response.end(body);
      },
      plainMs * (world.now() < slowUntil ? slowBy : 1),
    );
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
      else plain(message, response, attempt);
    });
    response.on('error', () => undefined);
  });
  const calls = httpCalls(options.transport);
  let core = Math.floor(world.chance() * options.cores.length);
  const path = `/foxdeck/samplers/${encodeURIComponent(id)}`;
  const nextBeat = (): string => {
    settleLoad();
    beat += 1;
    const models = options.model ? { writer: version } : {};
    const { address, zone } = options;
    const service = options.model ? 'texts' : 'plain';
    return JSON.stringify({ service, address, zone, slots, state, beat, models });
  };
  const announce = (): Promise<boolean> => tell('PUT', nextBeat());
  const tell = async (method: string, body: string): Promise<boolean> => {
    const heard = await calls.call(options.cores[core]!, method, path, {}, body, announceMs);
    if (heard.status === 200) return true;
    core = (core + 1) % options.cores.length;
    return false;
  };
  let silentUntil = 0;
  const beats = setInterval(() => {
    if (world.now() >= silentUntil) void announce();
  }, options.beatMs);
  void announce();
  void options.transport.listenHttp(server, options.address);
  return {
    silence: (ms) => void (silentUntil = world.now() + ms),
    slow: (times, ms) => {
      slowBy = times;
      slowUntil = world.now() + ms;
    },
    stop: () => clearInterval(beats),
    depart: (how, gone) => {
      const run = async (): Promise<void> => {
        clearInterval(beats);
        const lateBeat = nextBeat();
        state = 'draining';
        while (!(await (how === 'draining' ? announce() : tell('DELETE', '')))) await world.sleep(againMs);
        saw({ kind: 'departed', at: world.now(), sampler: id, core: options.cores[core]! });
        const servesOnMs = drainMs + world.between(200, 2500);
        const lateMs = Math.min(servesOnMs, world.between(lateBeatMs.least, lateBeatMs.most));
        await world.sleep(lateMs);
        await tell('PUT', lateBeat);
        await world.sleep(servesOnMs - lateMs);
        if (how === 'draining') await tell('DELETE', '');
        gone();
      };
      void run();
    },
  };
};

/** Samplers of the simulated days. */
export const virtualSampler = { start: startSampler, textOf };
