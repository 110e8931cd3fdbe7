import { join } from 'node:path';
import { Effect, type Context } from 'effect';
import type { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import type { FileSystem } from '../shared/fileSystem.js';
import { realFiles } from './realFiles.js';

const tried = <A>(step: string, work: () => Promise<A>): Effect.Effect<A, Fault> =>
  Effect.tryPromise({ try: work, catch: (cause) => new Fault({ step, reason: String(cause) }) });

/** The files under one data folder of a file system, the operating system's unless another is named. */
export const realDisk = (root: string, files: FileSystem = realFiles): Context.Tag.Service<typeof Disk> => {
  const synced = async (path: string, flags: 'r' | 'r+'): Promise<void> => {
    const handle = await files.open(path, flags);
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  };
  return {
    makeFolder: (path) =>
      tried('make folder', async () => {
        await files.makeFolder(join(root, path));
        await synced(join(root, path, '..'), 'r');
      }),
    list: (path) => tried('list', () => files.list(join(root, path))),
    read: (path) => tried('read', () => files.read(join(root, path))),
    write: (path, bytes) => tried('write', () => files.write(join(root, path), bytes)),
    syncFile: (path) => tried('sync file', () => synced(join(root, path), 'r+')),
    rename: (from, to) => tried('rename', () => files.rename(join(root, from), join(root, to))),
    syncFolder: (path) => tried('sync folder', () => synced(join(root, path), 'r')),
    remove: (path) => tried('remove', () => files.remove(join(root, path))),
  };
};
