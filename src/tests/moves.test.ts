import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { checked } from '../shared/checked.js';
import { configuration, type Change } from '../shared/configuration.js';
import type { Http } from '../shared/http.js';
import { configurationSchema } from '../shared/configurationSchema.js';
import type { Clients } from '../sim/clients.js';
import type { SimFleet } from '../sim/simFleet.js';
import type { World } from '../sim/world.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { offTests } from './offTests.js';
import { switchOff } from './switchOff.js';

const now = 1_800_000_000_000;
const seen = {
  now,
  cores: new Map([['c1', 'd1']]),
  stores: new Map(['s1', 's2', 's3', 's4'].map((name) => [name, name])),
};
const binding = { path: '/a', methods: ['GET'], service: 'old' };
const start = configuration
  .apply(
    configuration.founded([{ name: 'c1', disk: 'd1' }]),
    {
      id: 'start',
      services: { old: { kind: 'plain' }, new: { kind: 'plain' } },
      bindings: { a: binding },
      stores: ['s1', 's2', 's3'],
      moves: { first: { startMs: now, shift: { binding: 'a', to: 'new', steps: [50, 100], everyMs: 1000 } } },
    },
    seen,
  )
  .unwrapOrElse((reasons) => {
    throw new Error(JSON.stringify(reasons));
  });

/** The paths against a document, whether its shape or its meaning is wrong. */
const against = (document: unknown): ReadonlyArray<string> => {
  const shape = checked<Change>(configurationSchema, document);
  if (shape.isErr) return shape.error.map((reason) => reason.path);
  const applied = configuration.apply(start, shape.value, seen);
  return applied.isErr ? applied.error.map((reason) => reason.path) : [];
};
const shift = (more: object) => ({
  startMs: now,
  shift: { binding: 'a', to: 'new', steps: [100], everyMs: 0, ...more },
});

describe('a document with a bad move', () => {
  test.each([
    [
      'shares that do not add up',
      { bindings: { a: { ...binding, shares: { old: 50, new: 40 } } } },
      'bindings.a.shares',
    ],
    ['a share of nobody', { bindings: { a: { ...binding, shares: { old: 50, gone: 50 } } } }, 'bindings.a.shares.gone'],
    [
      'a move in the past',
      { moves: { m: { startMs: now - 3_600_000, retire: { store: 's1', by: 's4' } } } },
      'moves.m.startMs',
    ],
    ['a move without a target', { moves: { m: { startMs: now } } }, 'moves.m'],
    ['two targets', { moves: { m: { ...shift({}), replace: { service: 'old' } } } }, 'moves.m'],
    ['a shift to nobody', { moves: { m: shift({ to: 'gone' }) } }, 'moves.m.shift.to'],
    ['steps that shrink', { moves: { m: shift({ steps: [50, 20] }) } }, 'moves.m.shift.steps'],
    ['too few stores left', { moves: { m: { startMs: now, retire: { store: 's1' } } } }, 'moves.m.retire.store'],
    ['a clash', { moves: { m: shift({}) } }, 'moves.m'],
    ['a key that is not known', { moves: { m: { ...shift({}), soon: true } } }, 'moves.m'],
  ])('%s is bounced with its path', (_, document, path) => {
    expect(against({ id: 'bad', ...document })).toContain(path);
  });
});

/** A shift, a store retired and samplers replaced, while whoever holds the calendar is killed again and again. */
const calendar = (world: World, fleet: SimFleet, clients: Clients): void => {
  fleet.join('store');
  const at = (ms: number): number => Math.floor(now + world.now() + ms);
  const planned = {
    id: 'calendar',
    moves: {
      shift: { startMs: at(1000), shift: { binding: 'enrolments', to: 'other', steps: [30, 60, 100], everyMs: 1500 } },
      retire: { startMs: at(1500), retire: { store: 'store1', by: 'store4' } },
      replace: { startMs: at(500), replace: { service: 'app' } },
      later: { startMs: at(600_000), change: { seating: { starvationMs: 7000 } } },
    },
  };
  const insisted = <A>(work: () => Effect.Effect<A & { readonly status: number }, never, Http>) =>
    Effect.suspend(work).pipe(
      Effect.tap((told) => (told.status === 200 ? Effect.void : Effect.sleep(300))),
      Effect.repeat({ until: (told) => told.status === 200, times: 20 }),
      Effect.asVoid,
    );
  const planning = insisted(() => clients.change(planned));
  offTests.at(world, fleet, 2500, planning);
  const cancelling = insisted(() => clients.ask(clients.front(), 'POST', '/foxdeck/moves/later/cancel'));
  offTests.at(world, fleet, 6000, cancelling);
  for (const ms of [4200, 8800, 13_500, 18_000]) {
    world.after(ms, () => {
      const holder = offTests
        .of(fleet, 'front')
        .find((machine) => machine.node?.context.leases.held().includes('calendar'));
      holder?.process.kill();
      world.after(2500, () => holder?.start());
    });
  }
  const read = Effect.flatMap(
    Effect.suspend(() => clients.ask(clients.front(), 'GET', '/foxdeck/moves', undefined, {}, 1000)),
    (told) =>
      Effect.sync(() => void (told.status === 200 && clients.note('moves', told.asked, { moves: told.body['moves'] }))),
  );
  fleet.client(
    'watcher',
    Effect.forEach(Array.from({ length: 80 }), () => Effect.zipRight(read, Effect.sleep(400)), { discard: true }),
  );
};

test('moves come to their ends once each, though whoever runs them dies at every step', () => {
  const day = brokenOnPurpose({ seed: 431, workMs: 36_000, crowd: 'callers', script: calendar });
  expect(switchOff.rulesOf(day)).toEqual([]);
  const last = day.seen.filter((each) => each.kind === 'moves').at(-1)!['moves'] as ReadonlyArray<
    Record<string, unknown>
  >;
  const states = Object.fromEntries(last.map((move) => [move['name'], move['state']]));
  expect(states).toEqual({ shift: 'done', retire: 'done', replace: 'done', later: 'cancelled' });
  expect(last.find((move) => move['name'] === 'retire')!['reason']).toBe('store1 may be switched off');
  const steps = day.fleet.lines.filter((line) => line.includes('event=change_decided change=move/'));
  const names = steps.map((line) => /change=(\S+)/.exec(line)![1]!);
  expect(new Set(names).size).toBe(names.length);
  expect(names.filter((name) => name.includes('/shift/')).length).toBe(3);
  expect(day.fleet.lines.filter((line) => line.includes('event=duty_won duty=calendar')).length).toBeGreaterThan(2);
  expect(
    day.fleet.sights.filter((sight) => sight.kind === 'up' && sight.sampler.startsWith('app-')).length,
  ).toBeGreaterThan(3);
});
