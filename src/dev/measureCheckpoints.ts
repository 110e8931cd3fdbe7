import { create, toBinary } from '@bufbuild/protobuf';
import { Effect } from 'effect';
import { CheckpointSchema, type Checkpoint } from '../gen/foxdeck_pb.js';
import { Disk } from '../shared/disk.js';
import { memoryLog } from '../shared/memoryLog.js';
import { simDisk } from '../sim/simDisk.js';
import { makeWorld } from '../sim/world.js';
import { openCheckpointFiles } from '../store/checkpointFiles.js';

const log = memoryLog({ node: 'store', wall: () => 0, most: 10, print: () => undefined });

const checkpointOf = (count: number, from: number): Checkpoint =>
  create(CheckpointSchema, {
    key: 'seat/a|lot/0/0',
    token: 1,
    count,
    from,
    state: '{}',
    pieces: Array.from({ length: count - from }, (_, place) => ({
      $typeName: 'foxdeck.Piece' as const,
      index: from + place,
      text: 'a piece of forty characters, more or less',
      tokens: 12,
      version: 1,
    })),
  });

/** Bytes and syncs of one store for a text that grows by a few pieces at each checkpoint. */
for (const [pieces, puts] of [
  [10, 5],
  [2000, 400],
] as const) {
  const world = makeWorld(1);
  const disk = simDisk(world);
  const process_ = world.process('store');
  const step = pieces / puts;
  const work = Effect.gen(function* () {
    const files = yield* openCheckpointFiles('checkpoints', log);
    for (let put = 1; put <= puts; put += 1) yield* files.put(checkpointOf(put * step, (put - 1) * step));
  });
  process_.fork(Effect.provideService(work, Disk, disk.open(process_)));
  world.runUntil(60_000);
  const anew = Array.from(
    { length: puts },
    (_, put) => toBinary(CheckpointSchema, checkpointOf((put + 1) * step, 0)).length,
  );
  const before = anew.reduce((sum, bytes) => sum + bytes, 0);
  const figures = [
    `pieces=${pieces} checkpoints=${puts} syncs=${disk.syncs()}`,
    `bytes=${disk.written()} whole=${before}`,
    `perPiece=${(disk.written() / pieces).toFixed(0)} wholePerPiece=${(before / pieces).toFixed(0)}`,
  ];
  process.stdout.write(`${figures.join(' ')}\n`);
}
