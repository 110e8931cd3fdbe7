import { afterEach, describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { placement } from '../policy/placement.js';
import { configuration, type Configuration, type SeenDisks, type StoreSeat } from '../shared/configuration.js';
import { rendezvous } from '../shared/rendezvous.js';
import { lotRuns, type LotRun } from './lotRuns.js';

const runs: LotRun[] = [];
afterEach(() => {
  for (const run of runs.splice(0)) run.fleet.close();
});
const seat = (name: string, zone: string | undefined): StoreSeat => ({
  name,
  disk: `${name}-disk`,
  ...(zone !== undefined && { zone }),
});
const seats = (counts: ReadonlyArray<number>): ReadonlyArray<StoreSeat> =>
  counts.flatMap((count, zone) => Array.from({ length: count }, (_, at) => seat(`z${zone}-${at}`, `z${zone}`)));
const setOf = (lot: string, current: ReadonlyArray<StoreSeat>, copies: number): ReadonlyArray<StoreSeat> =>
  placement.sets(lot, { epoch: 1, current, previous: [] }, copies)[0]!;
const fleets = fc.record({
  counts: fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 5 }),
  tolerance: fc.integer({ min: 0, max: 3 }),
  lot: fc.string({ minLength: 1, maxLength: 8 }),
});
const runsOf = { numRuns: 1500, seed: 20261202 };

describe('the copies of a lot', () => {
  test('fill the first one’s zone up to its share and are the best by rendezvous that the shares allow', () => {
    fc.assert(
      fc.property(fleets, ({ counts, tolerance, lot }) => {
        const stores = seats(counts);
        const copies = placement.copies(tolerance);
        const chosen = setOf(lot, stores, copies);
        const share = Math.ceil(copies / counts.length);
        const names = chosen.map(({ name }) => name);
        const ranked = rendezvous(
          lot,
          stores.map(({ name }) => name),
        );
        expect(new Set(names).size).toBe(Math.min(copies, stores.length));
        expect(names).toEqual(ranked.filter((name) => names.includes(name)));
        const inZone = (zone: number): number => chosen.filter((store) => store.zone === `z${zone}`).length;
        const enough = counts.reduce((sum, count) => sum + Math.min(count, share), 0) >= copies;
        counts.forEach((count, zone) => {
          if (enough) expect(inZone(zone)).toBeLessThanOrEqual(share);
          else expect(inZone(zone)).toBeGreaterThanOrEqual(Math.min(count, share));
        });
        // The first one's zone holds its share; of the others, whoever is passed over ranks below all that were chosen.
        const leaderZone = Number(chosen[0]!.zone!.slice(1));
        expect(names[0]).toBe(ranked[0]);
        if (enough) expect(inZone(leaderZone)).toBe(Math.min(counts[leaderZone]!, share));
        const others = chosen.filter(({ zone }) => zone !== `z${leaderZone}`).map(({ name }) => name);
        const lowest = Math.max(-1, ...others.map((name) => ranked.indexOf(name)));
        for (const store of stores.filter(({ name }) => !names.includes(name))) {
          const zone = Number(store.zone!.slice(1));
          if (enough && zone !== leaderZone && inZone(zone) < share)
            expect(ranked.indexOf(store.name)).toBeGreaterThan(lowest);
        }
        const near = ranked.filter((name) => name.startsWith(`z${leaderZone}-`));
        if (enough) expect(names.filter((name) => near.includes(name))).toEqual(near.slice(0, inZone(leaderZone)));
      }),
      runsOf,
    );
  });
  test('keep a majority when any one of three zones or more is lost', () => {
    fc.assert(
      fc.property(fleets, ({ counts, tolerance, lot }) => {
        const copies = placement.copies(tolerance);
        const share = Math.ceil(copies / counts.length);
        if (counts.length < 3 || counts.some((count) => count < share)) return;
        const stores = seats(counts);
        const sets = placement.sets(lot, { epoch: 1, current: stores, previous: [] }, copies);
        if (copies === 1) return;
        for (const lost of new Set(stores.map(({ zone }) => zone))) {
          const left = new Set(stores.filter(({ zone }) => zone !== lost).map(({ name }) => name));
          expect(placement.quorum(sets, ({ name }) => left.has(name))).toBe(true);
        }
      }),
      runsOf,
    );
  });
  test('are those by rendezvous alone where no store says its zone', () => {
    fc.assert(
      fc.property(fleets, ({ counts, tolerance, lot }) => {
        const stores = seats(counts).map(({ name }) => seat(name, undefined));
        const copies = placement.copies(tolerance);
        const ranked = rendezvous(
          lot,
          stores.map(({ name }) => name),
        );
        expect(setOf(lot, stores, copies).map(({ name }) => name)).toEqual(ranked.slice(0, copies));
      }),
      runsOf,
    );
  });
});

test('the register notes the zones of stores, and keeps those of stores that are away', () => {
  const names = ['s1', 's2'];
  const seen = {
    cores: new Map<string, string>(),
    stores: new Map(names.map((name) => [name, `${name}-disk`])),
    zones: new Map([
      ['s1', 'a'],
      ['s2', 'b'],
    ]),
  };
  const apply = (before: Configuration, stores: ReadonlyArray<string>, now: SeenDisks): Configuration => {
    const applied = configuration.apply(before, { id: 'c', expected: 1, stores }, now);
    if (!applied.isOk) throw new Error(JSON.stringify(applied.error));
    return applied.value;
  };
  const first = apply(configuration.founded([{ name: 'c1', disk: 'c1-disk' }]), names, seen);
  expect(first.stores.current).toEqual([seat('s1', 'a'), seat('s2', 'b')]);
  const settled = { ...first, stores: { ...first.stores, previous: [] } };
  const later = { ...seen, stores: new Map([['s3', 's3-disk']]), zones: new Map([['s3', 'c']]) };
  const next = apply(settled, ['s1', 's3'], later);
  expect(next.stores.current).toEqual([seat('s1', 'a'), seat('s3', 'c')]);
});

test.each([1, 2, 3, 4, 5])('a zone lost for good right after an acknowledgement loses no lot (%i)', async (seed) => {
  const stores = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
  const zones = Object.fromEntries(stores.map((name) => [name, name[0]!]));
  const run = await lotRuns.begin({ seed, stores, zones, membershipReconciler: false });
  runs.push(run);
  const lots = Array.from({ length: 12 }, (_, at) => `lot${at}`);
  let taken = 0;
  for (const lot of lots) void run.create(0, lot).then((ok) => (taken += ok ? 1 : 0));
  for (let at = 0; at < 5000 && taken < lots.length; at += 20) await run.fleet.advance(20);
  expect(taken).toBe(lots.length);
  const zone = ['a', 'b', 'c'][seed % 3]!;
  for (const store of stores.filter((name) => name.startsWith(zone))) {
    run.fleet.kill(store);
    run.fleet.wipe(store);
  }
  const known = new Set<string>();
  const ask = (lot: string): Promise<unknown> =>
    run.calls[1]!.call(lot, 'lot.read', { after: 0, waitMs: 0 }, 900, 600).then(
      () => known.add(lot),
      () => undefined,
    );
  for (let at = 0; at < 20_000 && known.size < lots.length; at += 200) {
    for (const lot of lots) if (!known.has(lot)) void ask(lot);
    await run.fleet.advance(200);
  }
  expect([...known].sort()).toEqual([...lots].sort());
  expect(run.broken).toEqual([]);
});
