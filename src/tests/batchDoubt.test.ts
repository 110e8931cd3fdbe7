import { afterEach, describe, expect, test } from '@jest/globals';
import { makeChannels } from '../edge/channels.js';
import type { Dialect } from '../fleet/dialect.js';
import type { HostBinding } from '../fleet/fleetTypes.js';
import { makeLotAsks } from '../fleet/front/lotAsks.js';
import { makeStoreCalls } from '../fleet/front/storeCalls.js';
import type { ProgramTools } from '../fleet/program.js';
import { serveCalls } from '../fleet/serveCalls.js';
import type { FleetView } from '../fleet/watcher.js';
import { Fault } from '../shared/fault.js';
import { freeAddress } from './freeAddress.js';
import { memberOf } from './memberOf.js';

const closing: Array<() => unknown> = [];
afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

const dialect = {
  lotBody: () => ({ items: [] }),
  refusal: (status: number) => ({ status }),
} as unknown as Dialect;

/** Hands a batch in at a front before one store whose handling of it fails; answers the status. */
const handIn = async (fail: () => never): Promise<number> => {
  const peer = await freeAddress();
  const [store, front] = [makeChannels(), makeChannels()];
  closing.push(store.close, front.close);
  const log = { event: () => undefined } as unknown as ProgramTools['log'];
  await serveCalls(store, peer, () => Promise.resolve().then(fail), log);
  const view: FleetView = {
    members: new Map([['store-1', { ...memberOf('store-1', 'store'), peer }]]),
    samplers: new Map(),
    followed: {
      sequence: 1,
      models: {},
      stores: { epoch: 1, current: [{ name: 'store-1', disk: 'd' }], previous: [] },
      voters: [],
      electorate: 1,
      traffic: undefined,
    },
  };
  const now = (): number => performance.now();
  const stores = makeStoreCalls({ channels: front, view: () => view, now });
  const lots = makeLotAsks({ stores, dialect, wall: () => 1, event: () => undefined });
  const head = { attempt: 'l', timeLeftMs: 400, resumeAfter: undefined };
  const caller = { keysInUse: false };
  return (await lots.hand(head, 'h', {} as HostBinding, Buffer.alloc(0), caller)).status;
};
const fault = (unknown: boolean) => (): never => {
  throw new Fault({ step: 'lead lot', reason: 'this store is told to stop', unknown });
};

describe('a batch that no store says to have taken', () => {
  test('is in doubt where a store that stops may have written it', async () => {
    expect(await handIn(fault(true))).toBe(504);
  });
  test('is in doubt where a store failed in the middle of its work', async () => {
    expect(
      await handIn(() => {
        throw new Error('broken');
      }),
    ).toBe(504);
  });
  test('is refused, with the promise that nothing of it runs, where stores wrote nothing', async () => {
    expect(await handIn(fault(false))).toBe(503);
  });
});
