import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Effect } from 'effect';
import { DiskIdentitySchema } from '../gen/foxdeck_pb.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import { Log } from '../shared/log.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import { Timepiece } from '../shared/timepiece.js';

/** A disk's identity, and whether it was given just now. */
export type OpenedDisk = { readonly id: string; readonly fresh: boolean };

/** Opens a data folder, formatting one that is empty with an identity of its own. */
export const openDisk = (name: string): Effect.Effect<OpenedDisk, Fault, Disk | Timepiece | Log> =>
  Effect.gen(function* () {
    const disk = yield* Disk;
    const time = yield* Timepiece;
    const log = yield* Log;
    yield* disk.makeFolder('.');
    if ((yield* disk.list('.')).includes('identity')) {
      const identity = fromBinary(DiskIdentitySchema, yield* sealedFiles.read('.', 'identity'));
      if (identity.node !== name)
        return yield* new Fault({ step: 'open disk', reason: `the data folder is ${identity.node}'s, not ${name}'s` });
      return { id: identity.id, fresh: false };
    }
    const id = time.identity();
    yield* sealedFiles.write(
      '.',
      'identity',
      toBinary(DiskIdentitySchema, create(DiskIdentitySchema, { id, node: name })),
    );
    log.event('disk_formatted', { disk: id });
    return { id, fresh: true };
  });
