import { createServer } from 'node:http';
import type { AddressInfo, Server } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import { makeCallMetrics, type CallMetrics } from '../edge/callMetrics.js';
import { makeChannels, type Channels } from '../edge/channels.js';
import { packing } from '../edge/packing.js';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { answers } from '../shared/answers.js';
import { turns } from './turns.js';

const closing: Array<() => unknown> = [];
afterEach(() => {
  for (const close of closing.splice(0)) close();
});
const addressOf = (server: Server): string => `127.0.0.1:${(server.address() as AddressInfo).port}`;
const calling = async (metrics: CallMetrics): Promise<{ readonly caller: Channels; readonly address: string }> => {
  const callee = makeChannels();
  const caller = makeChannels(undefined, metrics.observe);
  closing.push(
    () => callee.close(),
    () => caller.close(),
  );
  const server = await callee.serve('127.0.0.1:0', (_ask, reply) =>
    reply(answers.answer({ case: 'call', value: packing.pack({ text: 'x'.repeat(700) }) })),
  );
  return { caller, address: addressOf(server as Server) };
};

describe('the counters of calls', () => {
  test('count each call once, with the bytes that the channel itself counted', async () => {
    const metrics = makeCallMetrics('a');
    const { caller, address } = await calling(metrics);
    metrics.resolveZones((asked) => (asked === address ? 'b' : undefined));
    await caller.call(address, 'lot.read', { after: 1 }, 2000);
    await caller.call(address, 'lot.read', { after: 2 }, 2000);
    await caller.call(address, 'lot.end', {}, 2000);
    const totals = await metrics.totals();
    expect(totals.map(({ call, zone, calls }) => ({ call, zone, calls }))).toEqual([
      { call: 'lot.read', zone: 'b', calls: 2 },
      { call: 'lot.end', zone: 'b', calls: 1 },
    ]);
    const { sent, received } = caller.bytes();
    expect(totals.reduce((sum, each) => sum + each.sentBytes, 0)).toBe(sent);
    expect(totals.reduce((sum, each) => sum + each.receivedBytes, 0)).toBe(received);
    expect(received).toBeGreaterThan(3 * 700);
  });
  test('stand in the text that operators read', async () => {
    const metrics = makeCallMetrics('a');
    metrics.observe({ address: '10.0.0.1:1', call: 'lot.append', sentBytes: 12, receivedBytes: 3 });
    metrics.connected('10.0.0.1:1', 'sampler.item');
    const text = await metrics.text();
    expect(text).toContain('foxdeck_calls_total{call="lot.append",from_zone="a",to_zone="unknown"} 1');
    expect(text).toContain('foxdeck_call_sent_bytes_total{call="lot.append",from_zone="a",to_zone="unknown"} 12');
    expect(text).toContain('foxdeck_connections_total{call="sampler.item",from_zone="a",to_zone="unknown"} 1');
  });
  test('count a call to a sampler and its new connection, and none for a kept one', async () => {
    const metrics = makeCallMetrics('a');
    const server = createServer((message, response) => {
      message.resume().on('end', () => response.end('whole'));
    });
    const address = await new Promise<string>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve(addressOf(server)));
    });
    const client = makeSamplerClient(4, undefined, undefined, metrics);
    closing.push(
      () => client.close(),
      () => server.close(),
    );
    const asked = (attempt: string) => ({
      attempt,
      kind: 'sampler.item',
      method: 'POST',
      path: '/p',
      headers: { Host: 'h' },
      body: Buffer.from('12345'),
    });
    for (let at = 0; at < 2; at += 1) {
      await new Promise<void>((resolve, reject) => {
        client.call(address, asked(`q${at}`), 2000, {
          head: () => undefined,
          data: () => undefined,
          ended: resolve,
          failed: (reason) => reject(new Error(reason)),
        });
      });
      // The connection is free again once the turn of its answer is over.
      await turns.until(() => client.idle(address));
    }
    expect(await metrics.totals()).toMatchObject([{ call: 'sampler.item', zone: 'unknown', calls: 2, connections: 1 }]);
  });
});
