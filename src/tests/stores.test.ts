import { describe, expect, test } from '@jest/globals';
import { create } from '@bufbuild/protobuf';
import { Effect } from 'effect';
import fc from 'fast-check';
import { lot } from '../front/lot.js';
import { acceptor } from '../core/acceptor.js';
import { openRecords, type Records } from '../core/records.js';
import { BallotSchema, CheckpointSchema, type Checkpoint } from '../gen/foxdeck_pb.js';
import { Disk } from '../shared/disk.js';
import type { Fault } from '../shared/fault.js';
import { memoryLog } from '../shared/memoryLog.js';
import { makeWorld } from '../sim/world.js';
import { simDisk } from '../sim/simDisk.js';
import { openResultStore } from '../store/resultStore.js';
import { openCheckpointFiles } from '../store/checkpointFiles.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { offTests } from './offTests.js';
import { switchOff } from './switchOff.js';

const lotId = (key: string): string => lot.idOf(key);
const log = memoryLog({ node: 'store', wall: () => 0, most: 10, print: () => undefined });
const ballot = create(BallotSchema, { round: 1, proposer: 'p' });

/** A disk in a world of its own, and a way to run work on it to its end. */
const bench = (seed: number) => {
  const world = makeWorld(seed);
  const disk = simDisk(world);
  const run = <A>(work: Effect.Effect<A, Fault, Disk>): A | Fault => {
    const process = world.process('store');
    let out: A | Fault | undefined;
    process.fork(Effect.either(Effect.provideService(work, Disk, disk.open(process))), (exit) => {
      if (exit._tag === 'Success') out = exit.value._tag === 'Right' ? exit.value.right : exit.value.left;
    });
    world.runUntil(world.now() + 60_000);
    process.kill();
    return out as A | Fault;
  };
  return { disk, run };
};
const write = (records: Records, key: string, value: string) =>
  records.apply(key, (record) => acceptor.accept(record, ballot, Buffer.from(value)));

describe('a record whose file vanished whole', () => {
  test('is missed, its key abstains, and votes again once it was told', () => {
    const { disk, run } = bench(1);
    run(Effect.flatMap(openRecords('records', log), (records) => write(records, 'claim/a/0', 'one')));
    expect(disk.lose()).toBe('records/claim%2Fa%2F0.rec');
    const again = run(
      Effect.gen(function* () {
        const records = yield* openRecords('records', log);
        const missed = [...records.damaged()];
        const vote = yield* Effect.either(write(records, 'claim/a/0', 'two'));
        yield* records.apply('claim/a/0', (record) => acceptor.learn(record, ballot, Buffer.from('one')));
        return { missed, bounced: vote._tag === 'Left', left: records.damaged().size };
      }),
    );
    expect(again).toEqual({ missed: ['claim/a/0'], bounced: true, left: 0 });
  });
  test('what was removed on purpose is not missed', () => {
    const { run } = bench(2);
    run(
      Effect.gen(function* () {
        const records = yield* openRecords('records', log);
        yield* write(records, 'lot/a', 'one');
        yield* records.remove(['lot/a']);
      }),
    );
    const found = run(Effect.map(openRecords('records', log), (records) => [records.size(), records.damaged().size]));
    expect(found).toEqual([0, 0]);
  });
});

const texts = (count: number, from = 0) =>
  Array.from({ length: count - from }, (_, place) => ({
    $typeName: 'foxdeck.Piece' as const,
    index: from + place,
    text: `piece ${from + place}`,
    tokens: 3,
    version: 1,
  }));
const checkpoint = (count: number, from: number, token = 1): Checkpoint =>
  create(CheckpointSchema, { key: 'seat/a|lot/0/0', token, count, from, state: '{}', pieces: texts(count, from) });

describe('checkpoints', () => {
  test('come back as they were acknowledged, whatever is lost of what was not', () => {
    const steps = fc.array(
      fc.record({ more: fc.integer({ min: 1, max: 4 }), back: fc.integer({ min: 0, max: 3 }), power: fc.boolean() }),
      {
        minLength: 1,
        maxLength: 30,
      },
    );
    fc.assert(
      fc.property(steps, fc.integer({ min: 1, max: 1000 }), (script, seed) => {
        const { disk, run } = bench(seed);
        let count = 0;
        for (const { more, back, power } of script) {
          const from = Math.max(0, count - back);
          const next = checkpoint(count + more, from);
          run(Effect.flatMap(openCheckpointFiles('checkpoints', log), (files) => files.put(next)));
          count += more;
          if (power) disk.losePower();
          const kept = run(Effect.map(openCheckpointFiles('checkpoints', log), (files) => files.get(next.key)));
          expect((kept as Checkpoint).pieces.map((piece) => piece.text)).toEqual(
            texts(count).map((piece) => piece.text),
          );
        }
      }),
      { seed: 5, numRuns: 60 },
    );
  });
  test('that are back after a power loss go again, once their lot is over', () => {
    const { disk, run } = bench(6);
    const resultStore = openResultStore({ disk: 'd', folder: 'checkpoints', configuration: () => undefined, log });
    const [open, over] = ['seat/a|lot-open/0/0', 'seat/a|lot-over/0/0'];
    const texts_ = (key: string) => create(CheckpointSchema, { ...checkpoint(4, 0), key });
    run(
      Effect.gen(function* () {
        const records = yield* openRecords('records', log);
        yield* records.apply('end/lot-over', (record) => acceptor.learn(record, ballot, Buffer.from('{}')));
        const files = yield* openCheckpointFiles('checkpoints', log);
        yield* files.put(texts_(open));
        yield* files.put(texts_(over));
        yield* files.put(create(CheckpointSchema, { key: over, state: 'gone' }));
      }),
    );
    disk.losePower();
    const back = run(Effect.map(openCheckpointFiles('checkpoints', log), (files) => files.keys()));
    expect(back).toEqual([open, over]);
    const left = run(Effect.map(resultStore, (opened) => opened.size()));
    expect(left).toMatchObject({ checkpoints: 1, damaged: 0 });
  });
  test('of a store that lacks the beginning are bounced, so that it is told whole', () => {
    const { run } = bench(3);
    const fault = run(Effect.flatMap(openCheckpointFiles('checkpoints', log), (files) => files.put(checkpoint(9, 4))));
    expect((fault as Fault).step).toBe('lacking');
  });
  test.each([
    [10, 5],
    [2000, 400],
  ])('a text of %i pieces is not written anew for each of its checkpoints', (pieces, puts) => {
    const { disk, run } = bench(4);
    const whole = run(
      Effect.gen(function* () {
        const files = yield* openCheckpointFiles('checkpoints', log);
        const step = pieces / puts;
        for (let put = 1; put <= puts; put += 1) yield* files.put(checkpoint(put * step, (put - 1) * step));
        return files.get('seat/a|lot/0/0')!.pieces.length;
      }),
    );
    expect(whole).toBe(pieces);
    const anew = Array.from({ length: puts }, (_, put) => (put + 1) * (pieces / puts)).reduce(
      (sum, each) => sum + each,
      0,
    );
    expect(disk.written() / 24).toBeLessThan(pieces < 100 ? anew * 3 : anew / 8);
    expect(disk.syncs()).toBeLessThanOrEqual(puts * 2 + 2);
  });
});

test('a lot that came to its end is retired: nobody reads it, its key is taken, its records go', () => {
  const told: Record<string, number> = {};
  let records: ReadonlyArray<unknown> = [];
  const day = brokenOnPurpose({
    seed: 461,
    workMs: 72_000,
    crowd: 'nobody',
    script: (world, fleet, clients) => {
      const given = offTests.lotOf(clients, 'retired', 1, 2);
      const id = lotId(given.key);
      const ask = (name: string, method: string, path: string, body?: unknown) =>
        Effect.map(clients.ask(clients.front(), method, path, body), (answer) => void (told[name] = answer.status));
      offTests.at(world, fleet, 300, ask('handed', 'POST', '/foxdeck/lots', given));
      offTests.at(world, fleet, 500, ask('too early', 'POST', `/foxdeck/lots/${id}/retire`));
      offTests.at(world, fleet, 6000, ask('retired', 'POST', `/foxdeck/lots/${id}/retire`));
      offTests.at(world, fleet, 7000, ask('again', 'POST', '/foxdeck/lots', given));
      offTests.at(world, fleet, 71_000, ask('read', 'GET', `/foxdeck/lots/${id}`));
      world.after(71_500, () => {
        records = offTests.of(fleet, 'store').map((store) => store.node?.context.facts()['store']);
      });
    },
  });
  expect(told).toEqual({ handed: 201, 'too early': 409, retired: 200, again: 410, read: 410 });
  expect(records.map((each) => (each as { records: number }).records)).toEqual([1, 1, 1]);
  expect(switchOff.rulesOf(day)).toEqual([]);
});

test('lots and keys that operators keep for a time only are retired, and a late repeat still never runs twice', () => {
  const told: Record<string, number> = {};
  const hours = 3_600_000;
  const day = brokenOnPurpose({
    seed: 462,
    workMs: 20_000,
    crowd: 'nobody',
    script: (world, fleet, clients) => {
      const given = offTests.lotOf(clients, 'kept', 1, 2);
      const ask = (name: string, method: string, path: string, body?: unknown, headers = {}) =>
        Effect.map(clients.ask(clients.front(), method, path, body, headers), (answer) => {
          told[name] = answer.status;
        });
      const once = (name: string) => ask(name, 'POST', '/sync/x', {}, { 'idempotency-key': 'old', 'x-ask-id': name });
      const retention = { lotsMs: 3 * hours, keysMs: 2 * hours };
      offTests.at(world, fleet, 200, Effect.asVoid(clients.change({ id: 'keep', retention })));
      offTests.at(world, fleet, 300, ask('handed', 'POST', '/foxdeck/lots', given));
      offTests.at(world, fleet, 400, once('first'));
      offTests.at(world, fleet, 5000, once('repeat'));
      offTests.at(world, fleet, 5000, ask('young', 'GET', `/foxdeck/lots/${lotId(given.key)}`));
      world.after(6000, () => {
        for (const machine of offTests.of(fleet, 'front')) {
          const time = machine.process.time as { wall: () => number };
          const { wall } = time;
          time.wall = () => wall() + 4 * hours;
        }
      });
      offTests.at(world, fleet, 19_000, once('late repeat'));
      offTests.at(world, fleet, 19_000, ask('again', 'POST', '/foxdeck/lots', given));
    },
  });
  expect(told).toEqual({ handed: 201, first: 200, repeat: 200, young: 200, 'late repeat': 409, again: 410 });
  expect(day.fleet.sights.filter((each) => each.kind === 'ran' && each['path'] === '/sync/x').length).toBe(1);
  expect(day.fleet.lines.filter((line) => /event=(lot|key)_retired/.test(line)).length).toBe(2);
});
