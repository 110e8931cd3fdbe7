import { Effect, type Context } from 'effect';
import type { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import type { Process, World } from './world.js';

type Inode = { bytes: Uint8Array; lasting: Uint8Array | undefined };

/** A machine's disk, which outlives its processes; what was not synced may be lost with the power. */
export type SimDisk = {
  readonly open: (process: Process) => Context.Tag.Service<typeof Disk>;
  /** Loses the power: each unsynced file or rename is kept, torn or lost as chance has it. */
  readonly losePower: () => number;
  readonly wipe: () => void;
  readonly corrupt: () => string | undefined;
  /** Takes one whole file away. */
  readonly lose: () => string | undefined;
  readonly trouble: { slowBy: number; stalled: boolean; full: boolean };
  readonly syncs: () => number;
  /** Bytes that were written. */
  readonly written: () => number;
};

/** Makes a machine's disk. */
export const simDisk = (world: World): SimDisk => {
  let names = new Map<string, Inode>();
  let lasting = new Map<string, Inode>();
  let syncs = 0;
  let written = 0;
  const trouble = { slowBy: 1, stalled: false, full: false };
  const folderOf = (path: string): string => (path.includes('/') ? path.slice(0, path.lastIndexOf('/')) : '.');
  const normal = (path: string): string => (path.startsWith('./') ? path.slice(2) : path);
  const inode = (path: string): Inode => {
    const found = names.get(normal(path));
    if (!found) throw new Error(`${path} is not there`);
    return found;
  };
  return {
    trouble,
    syncs: () => syncs,
    written: () => written,
    wipe: () => {
      names = new Map();
      lasting = new Map();
    },
    losePower: () => {
      let lost = 0;
      const kept = new Map<string, Inode>();
      for (const path of new Set([...names.keys(), ...lasting.keys()])) {
        const [volatile, durable] = [names.get(path), lasting.get(path)];
        const chosen = volatile === durable || world.chance() < 0.5 ? volatile : durable;
        if (volatile !== durable) lost += 1;
        if (!chosen) continue;
        const torn = chosen.lasting === undefined || chosen.lasting !== chosen.bytes;
        if (torn) lost += 1;
        const bytes =
          !torn || world.chance() < 0.3
            ? chosen.bytes
            : (chosen.lasting ?? chosen.bytes.slice(0, Math.floor(world.chance() * chosen.bytes.length)));
        kept.set(path, { bytes, lasting: bytes });
      }
      names = kept;
      lasting = new Map(kept);
      return lost;
    },
    lose: () => {
      const records = [...names.keys()].filter((path) => path.endsWith('.rec'));
      const chosen = records[Math.floor(world.chance() * records.length)];
      if (chosen === undefined) return undefined;
      names.delete(chosen);
      lasting.delete(chosen);
      return chosen;
    },
    corrupt: () => {
      const records = [...names].filter(([path]) => path.endsWith('.rec') || path.endsWith('.chk'));
      const chosen = records[Math.floor(world.chance() * records.length)];
      if (!chosen) return undefined;
      const bytes = Buffer.from(chosen[1].bytes);
      const place = Math.floor(world.chance() * bytes.length);
      bytes[place] = (bytes[place] ?? 0) ^ 0x55;
      chosen[1].bytes = bytes;
      chosen[1].lasting = bytes;
      return chosen[0];
    },
    open: (process) => {
      const done = <A>(step: string, work: () => A): Effect.Effect<A, Fault> =>
        Effect.async<A, Fault>((resume) => {
          const act = (): void => {
            if (!process.alive()) return;
            if (trouble.stalled) return void world.after(20, act);
            process.enter(() => {
              try {
                const value = work();
                resume(Effect.succeed(value));
              } catch (cause) {
                resume(
                  Effect.fail(new Fault({ step, reason: cause instanceof Error ? cause.message : String(cause) })),
                );
              }
            });
          };
          world.after(world.between(0.05, 0.6) * trouble.slowBy, act);
        });
      return {
        makeFolder: () => Effect.void,
        list: (path) =>
          done('list', () =>
            [...names.keys()]
              .filter((name) => folderOf(name) === normal(path))
              .map((name) => name.slice(name.lastIndexOf('/') + 1)),
          ),
        read: (path) => done('read', () => inode(path).bytes),
        write: (path, bytes) =>
          done('write', () => {
            if (trouble.full) throw new Error('no space left on the disk');
            written += bytes.length;
            names.set(normal(path), { bytes, lasting: undefined });
          }),
        syncFile: (path) =>
          done('sync file', () => {
            syncs += 1;
            inode(path).lasting = inode(path).bytes;
          }),
        rename: (from, to) =>
          done('rename', () => {
            const moved = inode(from);
            names.delete(normal(from));
            names.set(normal(to), moved);
          }),
        syncFolder: (path) =>
          done('sync folder', () => {
            syncs += 1;
            for (const name of new Set([...names.keys(), ...lasting.keys()])) {
              if (folderOf(name) !== normal(path)) continue;
              const current = names.get(name);
              if (current) lasting.set(name, current);
              else lasting.delete(name);
            }
          }),
        remove: (path) => done('remove', () => void names.delete(normal(path))),
      };
    },
  };
};
