import { createHash } from 'node:crypto';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect } from 'effect';
import { SealedSchema } from '../gen/foxdeck_pb.js';
import { Disk } from './disk.js';
import { Fault } from './fault.js';

const digestOf = (body: Uint8Array): Uint8Array => createHash('sha256').update(body).digest();

const unseal = (path: string, bytes: Uint8Array): Effect.Effect<Uint8Array, Fault> =>
  Effect.try({
    try: () => {
      const sealed = fromBinary(SealedSchema, bytes);
      if (Buffer.compare(sealed.digest, digestOf(sealed.body)) !== 0) throw new Error('digest does not fit');
      return sealed.body;
    },
    catch: (cause) => new Fault({ step: 'unseal', reason: `${path}: ${String(cause)}` }),
  });

/** Files with a digest, written aside, synced, renamed and made to last by a folder sync. */
export const sealedFiles = {
  seal: (body: Uint8Array): Uint8Array =>
    toBinary(SealedSchema, create(SealedSchema, { body, digest: digestOf(body) })),
  unseal,
  write: (folder: string, name: string, body: Uint8Array): Effect.Effect<void, Fault, Disk> =>
    Effect.gen(function* () {
      const disk = yield* Disk;
      const aside = `${folder}/${name}.aside`;
      yield* disk.write(aside, sealedFiles.seal(body));
      yield* disk.syncFile(aside);
      yield* disk.rename(aside, `${folder}/${name}`);
      yield* disk.syncFolder(folder);
    }),
  read: (folder: string, name: string): Effect.Effect<Uint8Array, Fault, Disk> =>
    Effect.gen(function* () {
      const disk = yield* Disk;
      return yield* unseal(`${folder}/${name}`, yield* disk.read(`${folder}/${name}`));
    }),
};
