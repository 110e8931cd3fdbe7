import { afterEach, describe, expect, test } from '@jest/globals';
import { realTransport } from '../edge/realTransport.js';
import type { ConnectionDrain } from '../fleet/connectionDrain.js';
import { serveControl } from '../fleet/core/serveControl.js';
import type { ControlCall, Dialect, Reply } from '../fleet/dialect.js';
import { freeAddress } from './freeAddress.js';
import { rawClient, type RawClient } from './rawClient.js';
import { turns } from './turns.js';

const closing: Array<() => unknown> = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

const read: ControlCall = { kind: 'declared' };
/** A core's control server over a handler of the test's. */
const begin = async (handle: () => Promise<Reply>, controlCall: () => ControlCall = () => read) => {
  const address = await freeAddress();
  const failures: string[] = [];
  const state = { leaving: false };
  const drain: ConnectionDrain = await serveControl(address, {
    transport: realTransport,
    dialect: { controlCall } as unknown as Dialect,
    handler: { handle },
    leaving: () => state.leaving,
    now: () => performance.now(),
    failed: (_url, cause) => failures.push(String(cause)),
  });
  closing.push(drain.close);
  const connected = async (): Promise<RawClient> => {
    const client = await rawClient(address);
    closing.push(client.close);
    return client;
  };
  return { drain, failures, state, connected };
};
const call = 'GET /any HTTP/1.1\r\nHost: core\r\n\r\n';
const well = (): Promise<Reply> => Promise.resolve({ status: 200, body: 'well' });

describe('a control call that fails by an error of the core', () => {
  const broken = (): never => {
    throw new Error('broken');
  };
  test.each<[string, () => Promise<Reply>, (() => ControlCall) | undefined]>([
    ['while it is read', well, broken],
    ['while it is handled', broken, undefined],
    ['after it was handled for a while', () => Promise.resolve().then(broken), undefined],
    ['by a reply that can’t be sent', () => Promise.resolve({ status: 99 }), undefined],
  ])('%s leaves the core alive, which tells of it', async (_when, handle, controlCall) => {
    const { connected, failures } = await begin(handle, controlCall);
    const client = await connected();
    client.write(call);
    await turns.until(() => client.received().startsWith('HTTP/1.1 500') || client.ended());
    expect(failures).toHaveLength(1);
    const another = await connected();
    another.close();
  });
});

describe('the control server of a core that was told to stop', () => {
  test('answers the calls under way and closes their connections after it', async () => {
    const answers: Array<(reply: Reply) => void> = [];
    const { drain, state, connected } = await begin(() => new Promise((resolve) => answers.push(resolve)));
    const client = await connected();
    client.write(call);
    await turns.until(() => answers.length === 1);
    state.leaving = true;
    drain.leave();
    drain.close();
    const idle = drain.idle(60_000);
    expect(drain.inFlight()).toBe(1);
    answers[0]!({ status: 200, body: 'well' });
    await idle;
    await turns.until(client.ended);
    expect(client.received()).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*connection: close[^]*well$/i);
  });
  test('closes kept connections, those on which no call came too', async () => {
    const { drain, connected } = await begin(well);
    const [used, silent] = [await connected(), await connected()];
    used.write(call);
    await used.until('well');
    drain.leave();
    drain.close();
    await turns.until(() => used.ended() && silent.ended());
    expect(silent.received()).toBe('');
    expect(drain.inFlight()).toBe(0);
  });
  test('closes a kept connection after an answer that did not say so', async () => {
    const answers: Array<(reply: Reply) => void> = [];
    const { drain, connected } = await begin(() => new Promise((resolve) => answers.push(resolve)));
    const client = await connected();
    client.write(call);
    await turns.until(() => answers.length === 1);
    drain.leave();
    answers[0]!({ status: 200, body: 'well' });
    await turns.until(client.ended);
    expect(client.received()).toMatch(/well$/);
  });
});
