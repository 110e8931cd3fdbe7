import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, test } from '@jest/globals';
import type { Dialect, Reply } from '../fleet/dialect.js';
import type { Traffic } from '../fleet/fleetTypes.js';
import type { AskTools } from '../fleet/front/ordinaryAsks.js';
import { makeRequestRouter } from '../fleet/front/requestRouter.js';
import { plainDialect } from '../dev/plainDialect.js';

const closing: Array<() => unknown> = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

const traffic: Traffic = {
  version: 1,
  bindings: [],
  services: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  document: '{}',
};
const broken = (): never => {
  throw new Error('broken');
};

/** A server whose requests go to a router with some parts that fail; answers what it answers, and what it told. */
const ask = async (
  path: string,
  parts: { readonly declared: () => Traffic | undefined; readonly call: () => Promise<Reply> },
): Promise<{ readonly status: number; readonly failures: ReadonlyArray<string> }> => {
  const failures: string[] = [];
  const route = makeRequestRouter({
    dialect: plainDialect satisfies Dialect,
    declared: parts.declared,
    contact: { current: () => true, keysHold: () => true },
    asks: undefined as unknown as AskTools,
    lots: { hand: broken, call: parts.call },
    leaving: () => false,
    closed: () => false,
    now: () => performance.now(),
    notServed: () => undefined,
    failed: (_url, cause) => failures.push(String(cause)),
  });
  const server = createServer((message, response) => route(message, response, Buffer.alloc(0)));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  closing.push(() => server.close());
  const { port } = server.address() as AddressInfo;
  const status = await new Promise<number>((resolve) => {
    const sent = request({ host: '127.0.0.1', port, path, agent: false }, (message) => {
      message.resume();
      resolve(message.statusCode!);
    });
    sent.on('error', () => resolve(0));
    sent.end();
  });
  return { status, failures };
};
const never = (): Promise<Reply> => new Promise(() => undefined);

describe('a request that fails by an error of its front is answered 500, and the front lives on', () => {
  test('at once', async () => {
    expect(await ask('/any', { declared: broken, call: never })).toMatchObject({
      status: 500,
      failures: ['Error: broken'],
    });
  });
  test('after it waited for the first view of the cores', async () => {
    let asked = 0;
    const declared = (): undefined => ((asked += 1) > 2 ? broken() : undefined);
    expect(await ask('/any', { declared, call: never })).toMatchObject({ status: 500, failures: ['Error: broken'] });
  });
  test('in a call to a leader', async () => {
    const call = (): Promise<Reply> => Promise.resolve().then(broken);
    expect(await ask('/foxdeck/lots/l', { declared: () => traffic, call })).toMatchObject({ status: 500 });
  });
  test('by a reply that can’t be sent', async () => {
    const call = (): Promise<Reply> => Promise.resolve({ status: 99 });
    expect(await ask('/foxdeck/lots/l', { declared: () => traffic, call })).toMatchObject({ status: 500 });
  });
});
