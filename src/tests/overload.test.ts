import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { offTests } from './offTests.js';
import { switchOff } from './switchOff.js';

test('a burst beyond what a front carries is bounced at once and never ran', () => {
  const told: Array<{ status: number; took: number }> = [];
  const day = brokenOnPurpose({
    seed: 471,
    workMs: 4000,
    crowd: 'nobody',
    settings: { inFlight: 10 },
    script: (world, fleet, clients) => {
      for (const machine of offTests.of(fleet, 'sampler')) machine.standIn!.switches.slowBy = 60;
      const [front] = offTests.of(fleet, 'front');
      for (let number = 0; number < 60; number += 1) {
        const headers = { 'x-ask-id': `burst-${number}` };
        const ask = Effect.map(
          clients.ask(front!.http, 'GET', `/enrolments/${number}`, undefined, headers),
          (answer) => {
            const { status, outcome, text } = answer;
            told.push({ status, took: answer.at - answer.asked });
            const noted = { id: `burst-${number}`, path: `/enrolments/${number}`, once: false, asks: 'read' };
            clients.note('ordinary', answer.asked, { ...noted, status, outcome, text });
          },
        );
        offTests.at(world, fleet, 500, ask);
      }
    },
  });
  const bounced = told.filter((each) => each.status === 503);
  expect(told.filter((each) => each.status === 200).length).toBe(10);
  expect(bounced.length).toBe(50);
  expect(Math.max(...bounced.map((each) => each.took))).toBeLessThan(20);
  expect(day.checked['a bounce never ran']).toBe(50);
  expect(switchOff.rulesOf(day)).toEqual([]);
});

test('a sampler that turned slow gets a request now and then, and its share again once it is steady', () => {
  const ran = { slow: { of: 0, all: 0 }, steady: { of: 0, all: 0 } };
  const day = brokenOnPurpose({
    seed: 472,
    workMs: 24_000,
    crowd: 'nobody',
    script: (world, fleet, clients) => {
      const [slow] = offTests.of(fleet, 'sampler').filter((machine) => machine.service === clients.plain);
      const [front] = offTests.of(fleet, 'front');
      world.after(3000, () => void (slow!.standIn!.switches.slowBy = 30));
      world.after(12_000, () => void (slow!.standIn!.switches.slowBy = 1));
      for (let ms = 500; ms < 23_500; ms += 100) {
        const ask = clients.ask(front!.http, 'GET', '/enrolments/x', undefined, { 'x-ask-id': `at-${ms}` });
        offTests.at(world, fleet, ms, Effect.asVoid(ask));
      }
      const count = (into: { of: number; all: number }, from: number, until: number): void =>
        void world.after(until, () => {
          const base = world.now() - until;
          const runs = fleet.sights.filter(
            (each) => each.kind === 'ran' && each.at > base + from && each.at <= base + until,
          );
          into.all = runs.length;
          into.of = runs.filter((each) => each.sampler === slow!.name).length;
        });
      count(ran.slow, 6000, 12_000);
      count(ran.steady, 20_000, 23_900);
    },
  });
  expect(day.fleet.lines.filter((line) => line.includes('event=sampler_slow')).length).toBeGreaterThan(0);
  expect(day.fleet.lines.filter((line) => line.includes('event=sampler_steady')).length).toBeGreaterThan(0);
  expect(ran.slow.all).toBeGreaterThan(50);
  expect(ran.slow.of).toBeLessThan(6);
  expect(ran.steady.of).toBeGreaterThan(ran.slow.of);
});

test('a model sampler that turned slow is given one item at a time, and its share again once it is steady', () => {
  const active = { slow: 0, other: 0 };
  let steady = 0;
  const day = brokenOnPurpose({
    seed: 473,
    workMs: 24_000,
    crowd: 'nobody',
    settleMs: 30_000,
    script: (world, fleet, clients) => {
      const [slow, other] = offTests.of(fleet, 'sampler').filter((machine) => machine.service === clients.model);
      world.after(2500, () => void (slow!.standIn!.switches.slowBy = 12));
      world.after(12_000, () => void (slow!.standIn!.switches.slowBy = 1));
      for (let number = 0; number < 8; number += 1) {
        const lot = offTests.lotOf(clients, `paced-${number}`, 6, 6);
        const hand = Effect.asVoid(offTests.hand(clients, clients.front(), lot));
        offTests.at(world, fleet, 300 + 2500 * number, hand);
      }
      const starts = (sampler: string, from: number): number =>
        fleet.sights.filter((each) => each.kind === 'start' && each.sampler === sampler && each.at >= from).length;
      world.after(7000, () => {
        const from = world.now();
        world.after(5000, () => {
          active.slow = starts(slow!.name, from);
          active.other = starts(other!.name, from);
        });
      });
      world.after(16_000, () => {
        const from = world.now();
        world.after(7500, () => void (steady = starts(slow!.name, from)));
      });
    },
  });
  expect(day.fleet.lines.some((line) => line.includes('event=sampler_slow'))).toBe(true);
  expect(day.fleet.lines.some((line) => line.includes('event=sampler_steady'))).toBe(true);
  expect(active.other).toBeGreaterThan(10);
  expect(active.slow).toBeLessThan(active.other / 4);
  expect(steady).toBeGreaterThan(active.slow);
  expect(switchOff.rulesOf(day)).toEqual([]);
});
