import { promises as files } from 'node:fs';
import { join } from 'node:path';
import { Effect, type Context } from 'effect';
import type { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';

const tried = <A>(step: string, work: () => Promise<A>): Effect.Effect<A, Fault> =>
  Effect.tryPromise({ try: work, catch: (cause) => new Fault({ step, reason: String(cause) }) });

const synced = async (path: string, flags: string): Promise<void> => {
  const handle = await files.open(path, flags);
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** The files under one data folder. */
export const realDisk = (root: string): Context.Tag.Service<typeof Disk> => ({
  makeFolder: (path) =>
    tried('make folder', async () => {
      await files.mkdir(join(root, path), { recursive: true });
      await synced(join(root, path, '..'), 'r');
    }),
  list: (path) =>
    tried('list', async () =>
      (await files.readdir(join(root, path), { withFileTypes: true }))
        .filter((entry) => entry.isFile())
        .map((entry) => entry.name),
    ),
  read: (path) => tried('read', () => files.readFile(join(root, path))),
  write: (path, bytes) => tried('write', () => files.writeFile(join(root, path), bytes)),
  syncFile: (path) => tried('sync file', () => synced(join(root, path), 'r+')),
  rename: (from, to) => tried('rename', () => files.rename(join(root, from), join(root, to))),
  syncFolder: (path) => tried('sync folder', () => synced(join(root, path), 'r')),
  remove: (path) => tried('remove', () => files.rm(join(root, path), { force: true })),
});
