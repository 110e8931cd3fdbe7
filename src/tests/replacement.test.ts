import { readFileSync } from 'node:fs';
import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { deployment, type Deployment } from '../dev/deployment.js';
import type { Configuration } from '../shared/configuration.js';
import { makeClients, type Told } from '../sim/clients.js';
import { startSimFleet } from '../sim/simFleet.js';
import { makeWorld } from '../sim/world.js';

const given: Deployment = { ...(JSON.parse(readFileSync('settings/small.json', 'utf8')) as Deployment), fronts: 2 };

test('an emptied core and an emptied store are taken in unaided, and then another of each may be lost', () => {
  const world = makeWorld(301);
  const fleet = startSimFleet(world, given);
  const clients = makeClients(world, fleet, [], () => Infinity);
  const until = (done: () => boolean, mostMs: number): boolean => {
    const last = world.now() + mostMs;
    while (!done() && world.now() < last) world.runUntil(world.now() + 100);
    return done();
  };
  /** Asks over and over until the answer is the one that is waited for. */
  const insist = (
    method: string,
    path: string,
    body: unknown,
    fits: (told: Told) => boolean,
    mostMs: number,
  ): Told | undefined => {
    let found: Told | undefined;
    let over = false;
    fleet.client(
      'client',
      Effect.gen(function* () {
        while (!found && !over) {
          const told = yield* clients.ask(clients.front(), method, path, body);
          if (fits(told)) found = told;
          yield* Effect.sleep(300);
        }
      }),
    );
    until(() => found !== undefined, mostMs);
    over = true;
    return found;
  };
  const configurationOf = (told: Told): Configuration => told.body['configuration'] as Configuration;

  expect(
    insist('POST', '/foxdeck/changes', deployment.change(given), (told) => told.status === 200, 30_000),
  ).toBeDefined();
  const lot = {
    key: 'kept',
    service: 'coaching',
    step: 0,
    taskType: 'play',
    groups: [{ items: [{ prompt: 'one' }, { prompt: 'two' }] }],
  };
  const id = String(insist('POST', '/foxdeck/lots', lot, (told) => told.status === 201, 30_000)?.body['id']);
  const whole = insist(
    'GET',
    `/foxdeck/lots/${id}/items/0/1`,
    undefined,
    (told) => told.body['state'] === 'complete',
    30_000,
  );
  expect(whole).toBeDefined();

  for (const name of ['core1', 'store1']) {
    const machine = fleet.machines.get(name)!;
    machine.process.kill();
    machine.disk.wipe();
    machine.start();
  }
  const before = new Set(
    [
      ...configurationOf(insist('GET', '/foxdeck/configuration', undefined, (told) => told.status === 200, 30_000)!)
        .voters,
    ].map((voter) => voter.disk),
  );
  const mended = insist(
    'GET',
    '/foxdeck/configuration',
    undefined,
    (told) =>
      told.status === 200 &&
      configurationOf(told).voters.length === 3 &&
      configurationOf(told).voters.some((voter) => !before.has(voter.disk)) &&
      configurationOf(told).stores.epoch >= 3 &&
      configurationOf(told).stores.previous.length === 0,
    180_000,
  );
  expect(mended).toBeDefined();

  world.runUntil(world.now() + 8000);
  for (const name of ['core2', 'store2']) fleet.machines.get(name)!.process.kill();
  expect(
    insist(
      'POST',
      '/foxdeck/changes',
      { id: 'after', seating: { starvationMs: 4321 } },
      (told) => told.status === 200,
      30_000,
    ),
  ).toBeDefined();
  const again = insist('GET', `/foxdeck/lots/${id}/items/0/1`, undefined, (told) => told.status === 200, 30_000);
  expect(again?.body['text']).toBe(whole?.body['text']);
  expect(
    insist('POST', '/foxdeck/lots', { ...lot, key: 'later' }, (told) => told.status === 201, 30_000),
  ).toBeDefined();
});
