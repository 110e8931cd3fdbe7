import { promises as files } from 'node:fs';
import type { FileSystem } from '../shared/fileSystem.js';

/** The operating system's file system. */
export const realFiles: FileSystem = {
  open: (path, flags) => files.open(path, flags),
  makeFolder: async (path) => void (await files.mkdir(path, { recursive: true })),
  list: async (folder) =>
    (await files.readdir(folder, { withFileTypes: true })).filter((entry) => entry.isFile()).map((entry) => entry.name),
  read: (path) => files.readFile(path),
  write: (path, bytes) => files.writeFile(path, bytes),
  rename: (from, to) => files.rename(from, to),
  remove: (path) => files.rm(path, { force: true }),
};
