import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { offTests } from './offTests.js';
import { switchOff } from './switchOff.js';

test('the call to a sampler is closed when its caller goes away, but a request with a key runs on', () => {
  let open = { plain: 0, keyed: 0 };
  const day = brokenOnPurpose({
    seed: 451,
    workMs: 4000,
    crowd: 'callers',
    script: (world, fleet, clients) => {
      const samplers = offTests.of(fleet, 'sampler').filter((machine) => machine.service === clients.plain);
      world.after(500, () => samplers.forEach((machine) => void (machine.standIn!.switches.slowBy = 100)));
      world.after(3000, () => samplers.forEach((machine) => void (machine.standIn!.switches.slowBy = 1)));
      const ask = (method: string, path: string, headers: Record<string, string>) =>
        Effect.asVoid(clients.ask(clients.front(), method, path, method === 'GET' ? undefined : {}, headers, 300));
      offTests.at(world, fleet, 600, ask('GET', '/enrolments/left', { 'x-ask-id': 'left' }));
      offTests.at(world, fleet, 600, ask('POST', '/sync/kept', { 'x-ask-id': 'kept', 'idempotency-key': 'kept' }));
      world.after(1400, () => {
        const calls = fleet.sights.filter((sight) => sight.kind === 'ran' || sight.kind === 'closed');
        const count = (id: string): number =>
          calls.reduce((sum, sight) => sum + (sight['id'] !== id ? 0 : sight.kind === 'ran' ? 1 : -1), 0);
        open = { plain: count('left'), keyed: count('kept') };
      });
      const repeat = clients.ask(clients.front(), 'POST', '/sync/kept', {}, { 'idempotency-key': 'kept' });
      const other = clients.ask(clients.front(), 'POST', '/sync/kept', { else: 1 }, { 'idempotency-key': 'kept' });
      for (const [name, work] of [
        ['repeat', repeat],
        ['other', other],
      ] as const) {
        const noted = Effect.map(work, (told) =>
          clients.note(name, told.asked, { status: told.status, repeat: told.repeat }),
        );
        offTests.at(world, fleet, 4200, noted);
      }
    },
  });
  expect(open).toEqual({ plain: 0, keyed: 1 });
  expect(day.seen.find((each) => each.kind === 'repeat')).toMatchObject({ status: 200, repeat: true });
  expect(day.seen.find((each) => each.kind === 'other')).toMatchObject({ status: 422 });
  expect(day.fleet.sights.filter((sight) => sight.kind === 'ran' && sight['id'] === 'kept').length).toBe(1);
  expect(switchOff.rulesOf(day)).toEqual([]);
});

test('a key whose request certainly never left serves a later attempt', () => {
  const told: Array<{ status: number; outcome: string | undefined }> = [];
  const day = brokenOnPurpose({
    seed: 452,
    workMs: 9000,
    crowd: 'callers',
    script: (world, fleet, clients) => {
      const binding = { path: '/only', methods: ['POST'], service: 'gone', onceOnly: true, timeLeftMs: 9000 };
      const services = { gone: { kind: 'plain' } };
      const headers = { 'x-ask-id': 'only', 'idempotency-key': 'only' };
      const ask = Effect.map(clients.ask(clients.front(), 'POST', '/only/x', {}, headers), (answer) => {
        told.push({ status: answer.status, outcome: answer.outcome });
      });
      const announce = (state: string, sequence: number) => {
        const body = { name: 'gone-1', service: 'gone', address: '127.0.0.1:9999', domain: 'd', state, sequence };
        const figures = { version: 0, kvUsed: 0, budget: 0, incarnation: 1 };
        return Effect.asVoid(clients.ask(clients.front(), 'POST', '/foxdeck/samplers', { ...body, ...figures }));
      };
      offTests.at(
        world,
        fleet,
        200,
        Effect.asVoid(clients.change({ id: 'only', services, bindings: { only: binding } })),
      );
      offTests.at(world, fleet, 1000, announce('ready', 1));
      offTests.at(world, fleet, 1600, ask);
      const moved = { id: 'moved', bindings: { only: { ...binding, service: clients.plain } } };
      offTests.at(world, fleet, 4500, Effect.asVoid(clients.change(moved)));
      offTests.at(world, fleet, 5500, ask);
    },
  });
  expect(told).toEqual([
    { status: 503, outcome: 'bounced' },
    { status: 200, outcome: undefined },
  ]);
  expect(day.fleet.sights.filter((sight) => sight.kind === 'ran' && sight['id'] === 'only').length).toBe(1);
  expect(switchOff.rulesOf(day)).toEqual([]);
});

test('items go on beside samplers that report 10 s late and carry load that foxdeck does not see', () => {
  const day = brokenOnPurpose({
    seed: 453,
    workMs: 8000,
    settleMs: 30_000,
    script: (world, fleet, clients) => {
      for (const machine of offTests.of(fleet, 'sampler').filter((each) => each.service === clients.model)) {
        machine.standIn!.switches.lateMs = 10_000;
        machine.standIn!.switches.hidden = 1500;
        world.after(9000, () => void (machine.standIn!.switches.hidden = 0));
      }
    },
  });
  expect(day.fleet.sights.filter((sight) => sight.kind === 'evict').length).toBeGreaterThan(0);
  expect(day.checked['a lot comes to its end']).toBeGreaterThan(2);
  expect(switchOff.rulesOf(day)).toEqual([]);
});
