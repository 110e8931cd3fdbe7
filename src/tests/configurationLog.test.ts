import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { idempotency } from '../core/idempotency.js';
import { makeLogCluster, type Files, type LogCluster } from '../sim/logCluster.js';
import { switchOff } from './switchOff.js';

const keep = 16;
const founders = ['a', 'b', 'c'];
const order = { id: 'orders/first', models: { m: 2 } };

const founded = async (): Promise<LogCluster> => {
  const cluster = makeLogCluster(keep);
  for (const name of founders) await cluster.add(name);
  await cluster.found(founders);
  for (const name of founders) {
    await Effect.runPromise(Effect.ignore(cluster.core(name).upkeep.follow));
    await Effect.runPromise(cluster.core(name).upkeep.backfill);
  }
  return cluster;
};
const bytesOf = (files: Files): number => [...files.values()].reduce((sum, bytes) => sum + bytes.length, 0);

afterEach(switchOff.back);

describe('a change sent again', () => {
  const replacedOnce = async (cluster: LogCluster): Promise<void> => {
    for (const name of ['d', 'e', 'f']) await cluster.add(name);
    await cluster.replace('a', 'c', 'd');
    await cluster.replace('a', 'b', 'e');
    await cluster.replace('d', 'a', 'f');
    for (const name of founders) cluster.stop(name);
  };

  test('after a thousand later ones, with every voter replaced, is acknowledged as before', async () => {
    const cluster = await founded();
    expect(await cluster.submit('a', order)).toEqual({ state: 'accepted', sequence: 2 });
    await cluster.change('a', 600);
    await replacedOnce(cluster);
    await cluster.change('e', 400);
    for (const name of ['d', 'e', 'f'])
      expect(await cluster.submit(name, order)).toEqual({ state: 'accepted', sequence: 2 });
    expect(await cluster.submit('e', { ...order, models: { m: 3 } })).toMatchObject({ state: 'conflict' });
  });

  test('is taken twice where idempotency records are off', async () => {
    const cluster = await founded();
    await cluster.submit('a', order);
    switchOff.off(idempotency, 'find', () => undefined);
    expect(await cluster.submit('b', order)).toEqual({ state: 'accepted', sequence: 3 });
  });

  test('by eight at once, at all cores, is taken once', async () => {
    const cluster = await founded();
    const sent = await Promise.all(
      Array.from({ length: 8 }, (_, place) => cluster.submit(founders[place % 3]!, order)),
    );
    const clear = sent.filter(({ state }) => state !== 'unknown' && state !== 'unavailable');
    expect(clear.length).toBeGreaterThan(0);
    for (const outcome of clear) expect(outcome).toEqual({ state: 'accepted', sequence: 2 });
    expect(cluster.core('a').register.known()!.sequence).toBe(2);
  });
});

describe('what a core keeps', () => {
  test('is as much after 1,000 changes as after 100', async () => {
    const cluster = await founded();
    await cluster.change('a', 100);
    const files = cluster.core('b').files;
    const [count, size] = [files.size, bytesOf(files)];
    await cluster.change('a', 900);
    expect(cluster.core('b').records.size()).toBeLessThanOrEqual(keep + 9);
    // Names of the index's own files come and go.
    expect(files.size).toBeLessThanOrEqual(count + 64);
    // The records of idempotency grow by 24 bytes a change until they are 2,048.
    expect(bytesOf(files)).toBeLessThan(size + (keep + 9) * 900 * 24 * 1.2 + 20_000);
  });
  test('does not hold the idempotency records of more than the newest 2,048 changes', () => {
    let records: Uint8Array = new Uint8Array();
    for (let n = 2; n <= 3001; n += 1) records = idempotency.add(records, `id-${n}`, Buffer.from(`body ${n}`));
    expect(records.length).toBe(idempotency.capacity * 24);
    expect(idempotency.find(records, 3001, 'id-3001')).toMatchObject({ sequence: 3001 });
    expect(idempotency.find(records, 3001, 'id-954')).toMatchObject({
      sequence: 954,
      digest: idempotency.digestOf(Buffer.from('body 954')),
    });
    expect(idempotency.find(records, 3001, 'id-953')).toBeUndefined();
  });
});

describe('a core that was away for hundreds of changes', () => {
  test('knows the newest after one read, and votes again after it', async () => {
    const cluster = await founded();
    cluster.stop('c');
    await cluster.change('a', 300);
    const back = await cluster.restart('c');
    expect(back.register.known()!.sequence).toBe(1);
    expect((await Effect.runPromise(back.register.latest)).sequence).toBe(301);
    await Effect.runPromise(back.upkeep.backfill);
    cluster.stop('b');
    await cluster.change('a', 3);
    expect(back.records.size()).toBeLessThanOrEqual(keep + 9);
  });
  test('answers nothing while it hears no majority, and never what is old', async () => {
    const cluster = await founded();
    for (const other of ['a', 'b']) {
      cluster.cut('c', other);
      cluster.cut(other, 'c');
    }
    await cluster.change('a', 20);
    const read = await Effect.runPromise(Effect.either(cluster.core('c').register.latest));
    expect(read._tag).toBe('Left');
    expect(await cluster.submit('c', { id: 'cut-off', models: { m: 9 } })).toMatchObject({
      state: expect.stringMatching(/unavailable|unknown/),
    });
    cluster.heal();
    expect((await Effect.runPromise(cluster.core('c').register.latest)).sequence).toBe(21);
  });
  test('cannot bring an old value back by proposing under the voters of its time', async () => {
    const cluster = await founded();
    cluster.stop('c');
    await cluster.change('a', 100);
    const back = await cluster.restart('c');
    await Effect.runPromise(Effect.either(back.register.finish(2)));
    expect(await cluster.submit('c', { id: 'late', models: { m: 5 } })).toEqual({ state: 'accepted', sequence: 102 });
  });
});

describe('a damaged newest record', () => {
  const damage = (files: Files, sequence: number): void => {
    const path = `register/${encodeURIComponent(`config/${sequence}`)}.rec`;
    const bytes = Buffer.from(files.get(path)!);
    bytes[bytes.length >> 1]! ^= 0x55;
    files.set(path, bytes);
  };
  test('is noticed at the start, abstained from, and fetched anew', async () => {
    const cluster = await founded();
    await cluster.change('a', 50);
    damage(cluster.core('c').files, 51);
    const back = await cluster.restart('c');
    expect(back.records.damaged().size).toBe(1);
    cluster.stop('b');
    // Its vote alone cannot stand for what it lost: with one other it has to be told first.
    await Effect.runPromise(Effect.ignore(back.upkeep.follow));
    await Effect.runPromise(back.upkeep.backfill);
    expect(back.records.damaged().size).toBe(0);
    expect((await Effect.runPromise(back.register.latest)).sequence).toBe(51);
  });
  test('on a disk that alone survives is no reason to show an older value', async () => {
    const cluster = await founded();
    await cluster.change('a', 50);
    damage(cluster.core('c').files, 51);
    const back = await cluster.restart('c');
    cluster.stop('a');
    cluster.stop('b');
    expect((await Effect.runPromise(Effect.either(back.register.latest)))._tag).toBe('Left');
  });
});
