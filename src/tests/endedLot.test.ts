import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

test('a rating that a dark sampler has not begun is taken back when its lot ends', () => {
  const day = brokenOnPurpose({
    seed: 261,
    workMs: 5000,
    settleMs: 12_000,
    script: (world, fleet, clients) => {
      const raters = [...fleet.machines.values()].filter((machine) => machine.service === clients.plain);
      const dark = (on: boolean): void =>
        raters.forEach((machine) => {
          machine.standIn!.switches.dark = on;
        });
      world.after(600, () => dark(true));
      world.after(9000, () => dark(false));
      const lot = {
        key: 'dark',
        service: clients.model,
        step: 0,
        taskType: 'play',
        ratingService: clients.plain,
        groups: [0, 1, 2].map((group) => ({ items: [0, 1, 2, 3].map((item) => ({ prompt: `${group} ${item}` })) })),
      };
      fleet.client(
        'ender',
        Effect.gen(function* () {
          const told = yield* clients.ask(clients.front(), 'POST', '/foxdeck/lots', lot);
          clients.note('lot-told', told.asked, { key: lot.key, lot, status: told.status, id: told.body['id'] });
          yield* Effect.sleep(3500);
          const ended = yield* clients.ask(clients.front(), 'POST', `/foxdeck/lots/${String(told.body['id'])}/end`);
          clients.note('end-told', ended.asked, {
            id: told.body['id'],
            status: ended.status,
            state: ended.body['state'],
          });
        }),
      );
    },
  });
  expect(day.checked['nothing of an ended lot starts after 3 s']).toBeGreaterThan(0);
  expect(switchOff.rulesOf(day)).toEqual([]);
});
