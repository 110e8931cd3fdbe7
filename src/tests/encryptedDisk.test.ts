import { describe, expect, test } from '@jest/globals';
import { Effect, type Context } from 'effect';
import { encryptedDisk } from '../core/encryptedDisk.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import { sealedFiles } from '../shared/sealedFiles.js';

type DiskService = Context.Tag.Service<typeof Disk>;

/** A disk that keeps its files in a map, and the calls that changed them. */
const memoryDisk = () => {
  const files = new Map<string, Uint8Array>();
  const calls: string[] = [];
  const noted = (call: string, run: () => void): Effect.Effect<void> =>
    Effect.sync(() => {
      calls.push(call);
      run();
    });
  const disk: DiskService = {
    makeFolder: () => Effect.void,
    list: (folder) => Effect.sync(() => [...files.keys()].map((path) => path.replace(`${folder}/`, ''))),
    read: (path) =>
      files.has(path) ? Effect.succeed(files.get(path)!) : Effect.fail(new Fault({ step: 'read', reason: path })),
    write: (path, bytes) => noted(`write ${path}`, () => void files.set(path, bytes)),
    syncFile: (path) => noted(`sync ${path}`, () => undefined),
    rename: (from, to) =>
      noted(`rename ${to}`, () => {
        files.set(to, files.get(from)!);
        files.delete(from);
      }),
    syncFolder: (path) => noted(`sync ${path}`, () => undefined),
    remove: (path) => Effect.sync(() => void files.delete(path)),
  };
  return { files, calls, disk };
};
const on = <A>(disk: DiskService, work: Effect.Effect<A, Fault, Disk>): Promise<A> =>
  Effect.runPromise(work.pipe(Effect.provideService(Disk, disk)));
const body = Buffer.from('a document with key-of-north in it');

describe('a disk that is encrypted', () => {
  test('holds none of the text that is written, and reads it back, also after a restart', async () => {
    const { files, disk } = memoryDisk();
    await on(encryptedDisk.over(disk, await on(disk, encryptedDisk.openSecret)), sealedFiles.write('r', 'a', body));
    for (const file of files.values()) expect(Buffer.from(file).includes('key-of')).toBe(false);
    const again = encryptedDisk.over(disk, await on(disk, encryptedDisk.openSecret));
    expect(Buffer.from(await on(again, sealedFiles.read('r', 'a')))).toEqual(body);
  });
  test('has a secret that lasts before anything is written under it', async () => {
    const { calls, disk } = memoryDisk();
    await on(encryptedDisk.over(disk, await on(disk, encryptedDisk.openSecret)), sealedFiles.write('r', 'a', body));
    const secretCalls = ['write ./secret.aside', 'sync ./secret.aside', 'rename ./secret', 'sync .'];
    expect(calls.slice(0, 5)).toEqual([...secretCalls, 'write r/a.aside']);
  });
  test('never writes the same text alike', async () => {
    const { files, disk } = memoryDisk();
    const encrypted = encryptedDisk.over(disk, await on(disk, encryptedDisk.openSecret));
    for (const path of ['a', 'b'])
      await on(
        encrypted,
        Effect.flatMap(Disk, (each) => each.write(path, body)),
      );
    expect(Buffer.compare(files.get('a')!, files.get('b')!)).not.toBe(0);
  });
  test('reads no file that was changed or cut, and none of another secret', async () => {
    const { files, disk } = memoryDisk();
    const secret = await on(disk, encryptedDisk.openSecret);
    const encrypted = encryptedDisk.over(disk, secret);
    await on(encrypted, sealedFiles.write('r', 'a', body));
    const whole = Buffer.from(files.get('r/a')!);
    const readable = async (file: Uint8Array, by: DiskService = encrypted): Promise<boolean> => {
      files.set('r/a', file);
      return (await on(by, Effect.either(sealedFiles.read('r', 'a'))))._tag === 'Right';
    };
    expect(await readable(whole)).toBe(true);
    for (let place = 0; place < whole.length; place += 7) {
      const changed = Buffer.from(whole);
      changed[place]! ^= 1;
      expect([place, await readable(changed)]).toEqual([place, false]);
      expect([place, await readable(whole.subarray(0, place))]).toEqual([place, false]);
    }
    expect(await readable(whole, encryptedDisk.over(disk, Buffer.alloc(32, 7)))).toBe(false);
  });
  test('reads what was written before there was encryption', async () => {
    const { disk } = memoryDisk();
    await on(disk, sealedFiles.write('r', 'a', body));
    const encrypted = encryptedDisk.over(disk, await on(disk, encryptedDisk.openSecret));
    expect(Buffer.from(await on(encrypted, sealedFiles.read('r', 'a')))).toEqual(body);
  });
});
