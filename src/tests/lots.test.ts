import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { textOf } from '../dev/textOf.js';
import { lot } from '../front/lot.js';
import { seaterRules } from '../front/seaterRules.js';
import type { Clients } from '../sim/clients.js';
import type { SimFleet } from '../sim/simFleet.js';
import type { World } from '../sim/world.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { offTests } from './offTests.js';
import { switchOff } from './switchOff.js';

const { off, rulesOf } = switchOff;
const { at, cut, hand, lotOf, of, seater } = offTests;

afterEach(switchOff.back);

/** A seater dies with pieces that were not saved, and weights are named before another takes its texts up. */
const spliced = (world: World, fleet: SimFleet, clients: Clients): void => {
  const services = { [clients.model]: { kind: 'model', rollWidth: 2 } };
  at(world, fleet, 100, Effect.asVoid(clients.change({ id: 'seldom', services, seating: { checkpointMs: 3000 } })));
  for (let number = 0, found = 0; found < 6; number += 1) {
    const given = lotOf(clients, `spliced-${number}`, 1, 1);
    if (textOf.length(given.groups[0]!.items[0]!.prompt, undefined) < 50) continue;
    found += 1;
    at(world, fleet, 900, Effect.asVoid(hand(clients, clients.front(), given)));
  }
  const weights = { id: 'second', weights: { [clients.model]: { version: 2, step: 1 } } };
  world.after(1750, () => {
    const dying = seater(fleet);
    const other = of(fleet, 'front').find((machine) => machine !== dying)!;
    dying.process.kill();
    world.after(500, dying.start);
    at(world, fleet, 50, Effect.asVoid(clients.change(weights, other.http)));
  });
};

describe('a stream whose seater dies', () => {
  const day = { seed: 421, workMs: 6000, script: spliced, crowd: 'callers' as const };
  test('goes on without a splice', () => {
    const seen = brokenOnPurpose(day);
    expect(seen.checked['a stream neither skips, repeats nor splices']).toBeGreaterThan(1);
    expect(rulesOf(seen)).toEqual([]);
  });
  test('is spliced when pieces are shown that no store has', () => {
    off(seaterRules, 'shown', (text) => text?.pieces.length ?? 0);
    expect(rulesOf(brokenOnPurpose(day))).toContain('a stream neither skips, repeats nor splices');
  });
});

describe('a rating', () => {
  const day = { seed: 422, workMs: 5000 };
  test('is asked once the whole text stands', () => {
    const seen = brokenOnPurpose(day);
    expect(seen.checked['a rating is asked of the whole text, once it stands']).toBeGreaterThan(5);
    expect(rulesOf(seen)).toEqual([]);
  });
  test('comes from a text that still grows when its result is not waited for', () => {
    off(seaterRules, 'ratable', (state) =>
      [...state.items.values()].filter((item) => item.generated > 0).map((item) => item.key),
    );
    off(seaterRules, 'ratedText', (_archive, _item, growing) => {
      const text = (growing?.pieces ?? []).map((piece) => piece.text).join('');
      return Effect.succeed({ text, digest: lot.digestOf(text) });
    });
    expect(rulesOf(brokenOnPurpose(day))).toContain('a rating is asked of the whole text, once it stands');
  });
});

/** A lot is ended at a front whose news nobody hears, while its seater cannot reach the stores. */
const endedUnheard = (world: World, fleet: SimFleet, clients: Clients): void => {
  const big = lotOf(clients, 'ended', 12, 8);
  let id = '';
  at(
    world,
    fleet,
    100,
    Effect.map(hand(clients, clients.front(), big), (told) => void (id = told)),
  );
  world.after(1500, () => {
    const own = seater(fleet);
    const other = of(fleet, 'front').find((machine) => machine !== own)!;
    cut(fleet, [own], of(fleet, 'store'));
    cut(fleet, [other], of(fleet, 'core', 'front'));
    cut(fleet, of(fleet, 'core'), of(fleet, 'store'));
    const end = Effect.map(clients.ask(other.http, 'POST', `/foxdeck/lots/${id}/end`), (told) =>
      clients.note('end-told', told.asked, { id, status: told.status, state: told.body['state'] }),
    );
    at(world, fleet, 100, end);
    world.after(6000, fleet.net.heal);
  });
};

describe('a lot that is ended where its seater cannot hear of it', () => {
  const day = { seed: 423, workMs: 8000, script: endedUnheard, crowd: 'callers' as const };
  test('starts nothing after 3 s', () => {
    const seen = brokenOnPurpose(day);
    expect(seen.seen.some((each) => each.kind === 'end-told' && each['status'] === 200)).toBe(true);
    expect(seen.checked['nothing of an ended lot starts after 3 s']).toBeGreaterThan(0);
    expect(rulesOf(seen)).toEqual([]);
  });
  test('goes on starting when no read is needed', () => {
    off(seaterRules, 'verifiedForMs', Infinity);
    expect(rulesOf(brokenOnPurpose(day))).toContain('nothing of an ended lot starts after 3 s');
  });
});
