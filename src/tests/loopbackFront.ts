import { Agent, createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Dialect } from '../fleet/dialect.js';
import type { HostBinding, Sampler } from '../fleet/fleetTypes.js';
import type { FleetView } from '../fleet/watcher.js';
import { ordinaryAsks } from '../fleet/front/ordinaryAsks.js';
import { makeHedgeControl } from '../fleet/front/hedgeControl.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { plainDialect } from './plainDialect.js';

/** What a caller of the front was answered; `broken` where the answer broke off or never came. */
export type CallerAnswer = { readonly status: number; readonly body: string; readonly broken: boolean };

const dialect = {
  ...plainDialect,
  passedOn: (raw, _caller, sampler) => ({
    attempt: raw[raw.findIndex((each) => each === 'attempt') + 1] ?? '',
    expected: sampler.id,
  }),
  passedBack: () => ({}),
  refusal: (status, _attempt, _againMs, cause) => ({ status, body: cause }),
} satisfies Partial<Dialect> as Dialect;
const bindingOf = (more: Partial<HostBinding>): HostBinding => ({
  name: 'b',
  host: 'h',
  prefix: '/',
  kind: 'idempotent',
  timeLeftMs: 60_000,
  aimMs: 50_000,
  priority: 5,
  attempts: 1,
  shares: [{ service: 'texts', weight: 1 }],
  resumable: false,
  single: false,
  lotDueMs: 1,
  lotWaitMs: 1,
  ...more,
});

/** Serves callers by one binding on a port that the system picks, with the product's own serving of requests. */
const begin = async (
  samplers: ReadonlyArray<Sampler>,
  more: Partial<HostBinding>,
  now: () => number = () => performance.now(),
) => {
  const binding = bindingOf(more);
  const view: FleetView = {
    members: new Map(),
    samplers: new Map(samplers.map((sampler) => [sampler.id, sampler])),
    followed: undefined,
  };
  const chance = (): number => 0;
  const client = makeSamplerClient(20, now);
  const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now, chance, idle: client.idle });
  const tools = { client, directory, dialect, hedges: makeHedgeControl(), now, chance, notServed: () => undefined };
  const serve = binding.kind === 'streaming' ? ordinaryAsks.stream : ordinaryAsks.answer;
  const server = createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (chunk: Buffer) => chunks.push(chunk));
    message.on('end', () => {
      const head = { attempt: String(message.headers['attempt']), timeLeftMs: 60_000, resumeAfter: undefined };
      const body = Buffer.concat(chunks);
      const caller = { keysInUse: false };
      serve(tools, { binding, caller, head, message, body, response, leaving: () => false });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const agent = new Agent({ keepAlive: true });
  const { port } = server.address() as AddressInfo;
  const ask = (attempt: string): Promise<CallerAnswer> =>
    new Promise((resolve) => {
      const sent = request({ host: '127.0.0.1', port, method: 'POST', headers: { attempt }, agent }, (message) => {
        let body = '';
        message.on('data', (chunk: Buffer) => (body += chunk.toString()));
        message.on('error', () => undefined);
        message.on('close', () => resolve({ status: message.statusCode!, body, broken: !message.complete }));
      });
      sent.on('error', () => resolve({ status: 0, body: '', broken: true }));
      sent.end('hi');
    });
  return {
    ask,
    client,
    directory,
    close: () => {
      client.close();
      agent.destroy();
      server.closeAllConnections();
      return new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
};

/** A front on loopback before stand-in samplers. */
export const loopbackFront = { begin };
