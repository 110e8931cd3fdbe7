import { dirname } from 'node:path';
import type { FileSystem, OpenFile } from '../../shared/fileSystem.js';
import type { VirtualProcess, VirtualWorld } from './virtualWorld.js';

/** A write that no sync of its file has covered yet. */
type Write = { readonly from: number; readonly length: number };
/** Files only grow: what was synced is their beginning. */
type Inode = { store: Buffer; length: number; synced: number; writes: Write[]; created: boolean };

/** A machine's disk: it outlives processes, and loses with the power what was not synced. */
export type VirtualDisk = {
  /** The file system as one process sees it. */
  readonly open: (process: VirtualProcess) => FileSystem;
  /** Loses unsynced writes, names and removals, each by itself as chance has it, or all writes at once. */
  readonly losePower: () => void;
  readonly wipe: () => void;
  /** Spoils a byte of one of the files whose names end so; answers which. */
  readonly corrupt: (suffix: string) => string | undefined;
  readonly trouble: { slowBy: number; stalled: boolean };
  /** Bytes of all files. */
  readonly size: () => number;
  readonly files: () => number;
  /** The files that hold a text. */
  readonly holding: (text: string) => ReadonlyArray<string>;
};

const pollMs = 20;
const syncMs = 2;

/** Makes a machine's disk. */
export const makeVirtualDisk = (world: VirtualWorld): VirtualDisk => {
  let names = new Map<string, Inode>();
  let lastingNames = new Map<string, Inode>();
  const trouble = { slowBy: 1, stalled: false };

  const found = (path: string): Inode => {
    const inode = names.get(path);
    if (!inode) throw Object.assign(new Error(`ENOENT: ${path}`), { code: 'ENOENT' });
    return inode;
  };
  const make = (path: string): Inode => {
    const inode: Inode = { store: Buffer.alloc(0), length: 0, synced: 0, writes: [], created: true };
    names.set(path, inode);
    return inode;
  };
  const append = (inode: Inode, bytes: Uint8Array): void => {
    const from = inode.length;
    if (from + bytes.length > inode.store.length) {
      const larger = Buffer.alloc(2 * (from + bytes.length));
      inode.store.copy(larger, 0, 0, from);
      inode.store = larger;
    }
    inode.store.set(bytes, from);
    inode.length += bytes.length;
    inode.writes.push({ from, length: bytes.length });
  };
  /** A new file lasts through its own sync. */
  const syncFile = (path: string, inode: Inode): void => {
    inode.synced = inode.length;
    inode.writes = [];
    if (inode.created && names.get(path) === inode) lastingNames.set(path, inode);
    inode.created = false;
  };
  const syncFolder = (folder: string): void => {
    for (const path of new Set([...names.keys(), ...lastingNames.keys()])) {
      if (dirname(path) !== folder) continue;
      const inode = names.get(path);
      if (inode) lastingNames.set(path, inode);
      else lastingNames.delete(path);
    }
  };
  /** The synced beginning, and of each later write all, a part or nothing; gaps in between read as zeros. */
  const afterPowerLoss = (inode: Inode, allGone: boolean): Buffer => {
    const bytes = Buffer.alloc(inode.length);
    inode.store.copy(bytes, 0, 0, inode.synced);
    let length = inode.synced;
    for (const write of allGone ? [] : inode.writes) {
      const fate = world.chance();
      const kept = fate < 0.4 ? write.length : fate < 0.7 ? Math.floor(world.chance() * write.length) : 0;
      inode.store.copy(bytes, write.from, write.from, write.from + kept);
      if (kept > 0) length = write.from + kept;
    }
    return bytes.subarray(0, length);
  };

  const open = (process: VirtualProcess): FileSystem => {
    const during = <A>(ms: number, work: () => A): Promise<A> =>
      new Promise((resolve, reject) => {
        const act = (): void => {
          if (trouble.stalled) return void world.schedule(process, pollMs, act);
          try {
            resolve(work());
          } catch (cause) {
            reject(cause as Error);
          }
        };
        world.schedule(process, ms * trouble.slowBy, act);
      });
    const quick = (): number => world.between(0.02, 0.2);
    const opened = (path: string, inode: Inode | undefined): OpenFile => {
      const sync = (): Promise<void> =>
        during(syncMs * world.between(0.7, 1.3), () => (inode ? syncFile(path, inode) : syncFolder(path)));
      return {
        write: (bytes, from) =>
          during(quick(), () => {
            const part = bytes.subarray(from);
            append(inode!, part);
            return { bytesWritten: part.length };
          }),
        sync,
        datasync: sync,
        close: () => Promise.resolve(),
      };
    };
    return {
      open: (path, flags) =>
        during(quick(), () => {
          const isFolder = flags === 'r' && !names.has(path);
          return opened(path, isFolder ? undefined : flags === 'w' ? make(path) : found(path));
        }),
      makeFolder: () => Promise.resolve(),
      list: (folder) =>
        during(quick(), () =>
          [...names.keys()].filter((path) => dirname(path) === folder).map((path) => path.slice(folder.length + 1)),
        ),
      read: (path) => during(quick(), () => Buffer.from(found(path).store.subarray(0, found(path).length))),
      write: (path, bytes) => during(quick(), () => append(make(path), bytes)),
      rename: (from, to) =>
        during(quick(), () => {
          const inode = found(from);
          names.delete(from);
          names.set(to, inode);
        }),
      remove: (path) => during(quick(), () => void names.delete(path)),
    };
  };

  return {
    open,
    trouble,
    size: () => [...names.values()].reduce((sum, inode) => sum + inode.length, 0),
    files: () => names.size,
    holding: (text) =>
      [...names].filter(([, inode]) => inode.store.subarray(0, inode.length).includes(text)).map(([path]) => path),
    wipe: () => {
      names = new Map();
      lastingNames = new Map();
    },
    corrupt: (suffix) => {
      const chosen = [...names].filter(([path, inode]) => path.endsWith(suffix) && inode.length > 0);
      if (chosen.length === 0) return undefined;
      const [path, inode] = world.pick(chosen);
      const at = Math.floor(world.chance() * inode.length);
      inode.store[at] = inode.store[at]! ^ 0x55;
      Object.assign(inode, { synced: inode.length, writes: [] });
      return path;
    },
    losePower: () => {
      const allGone = world.chance() < 0.3;
      const kept = new Map<string, Inode>();
      for (const path of [...new Set([...names.keys(), ...lastingNames.keys()])].sort()) {
        const [volatile, lasting] = [names.get(path), lastingNames.get(path)];
        const inode = volatile === lasting || world.chance() < 0.5 ? volatile : lasting;
        if (!inode) continue;
        const bytes = afterPowerLoss(inode, allGone);
        kept.set(path, { store: bytes, length: bytes.length, synced: bytes.length, writes: [], created: false });
      }
      names = kept;
      lastingNames = new Map(kept);
    },
  };
};
