import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { realDisk } from '../edge/realDisk.js';
import { makeWatchServer } from '../fleet/core/watchServer.js';
import { makeSamplerFile } from '../fleet/core/samplerFile.js';
import type { Sampler } from '../fleet/fleetTypes.js';
import { announcedSampler } from './announcedSampler.js';
import { memberOf } from './memberOf.js';

let folder = '';
beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'foxdeck-samplers-'));
});
afterEach(() => rmSync(folder, { recursive: true, force: true }));

const sampler = (id: string, more: Partial<Sampler> = {}): Sampler => ({
  ...announcedSampler(id, 5, { models: { m: 3 } }),
  quiet: false,
  born: 1,
  ...more,
});
const file = () => makeSamplerFile(realDisk(folder));
const self = { ...memberOf('core-1', 'core'), disk: 'd', coreFresh: false };
const deskWith = (known: ReadonlyArray<Sampler>, clock: { at: number }) =>
  makeWatchServer({
    self: () => self,
    incarnation: 1,
    beatMs: 1000,
    now: () => clock.at,
    wall: () => clock.at,
    followed: () => undefined,
    known,
  });

test('a core that starts again tells the samplers that it knew, until they fall silent', async () => {
  await file().keep([sampler('s1'), sampler('s2', { state: 'draining' }), sampler('s3', { state: 'gone' })]);
  const clock = { at: 1000 };
  const desk = deskWith(await file().read(), clock);
  const ask = { self: { ...self, name: 'f1', role: 'front' as const }, incarnation: 0, revision: 0 };
  const heard = await desk.follow({ ...ask, sequence: 0, trafficVersion: 0 });
  expect(heard.samplers?.map(({ id, state }) => [id, state])).toEqual([
    ['s1', 'ready'],
    ['s2', 'draining'],
    // Fronts leave one that is gone alone; what matters is that it does not come back, as the next test shows.
    ['s3', 'gone'],
  ]);
  expect(desk.announce({ ...sampler('s1'), beat: 6, state: 'draining' })).toBe(true);
  clock.at += 3300;
  desk.tick();
  expect(desk.sampler('s2')?.quiet).toBe(true);
  clock.at += 90_000;
  desk.tick();
  expect(desk.sampler('s2')?.state).toBe('gone');
});

test('a sampler whose departure was acknowledged is not brought back by a late beat after a restart', async () => {
  const clock = { at: 1000 };
  const desk = deskWith([], clock);
  desk.announce(announcedSampler('s1', 5));
  desk.announce({ ...announcedSampler('s1', 6), state: 'gone' });
  await file().keepNow(desk.samplers());

  const again = deskWith(await file().read(), clock);
  expect(again.announce(announcedSampler('s1', 5))).toBe(false);
  expect(again.announce(announcedSampler('s1', 7))).toBe(false);
  expect(again.sampler('s1')?.state).toBe('gone');
  // It is forgotten, and its place in the file with it, once no beat of it can still be under way.
  clock.at += 100_000;
  again.tick();
  expect([...again.samplers()]).toEqual([]);
});

test('a damaged file is none, and one that could not be written is written at the next round', async () => {
  expect(await file().read()).toEqual([]);
  await file().keep([sampler('s1')]);
  const bytes = readFileSync(join(folder, 'samplers'));
  bytes[bytes.length - 9]! ^= 1;
  writeFileSync(join(folder, 'samplers'), bytes);
  expect(await file().read()).toEqual([]);

  const whole = realDisk(folder);
  let [failing, writes] = [true, 0];
  const kept = makeSamplerFile({
    ...whole,
    write: (path, content) => {
      writes += 1;
      return failing ? (whole.read('nothing is there') as never) : whole.write(path, content);
    },
  });
  await kept.keep([sampler('s1')]);
  expect(await file().read()).toEqual([]);
  failing = false;
  await kept.keep([sampler('s1')]);
  expect(await file().read()).toEqual([sampler('s1')]);
  // A beat alone is not written again, a new version is.
  await kept.keep([sampler('s1', { beat: 6 })]);
  expect(writes).toBe(2);
  await kept.keep([sampler('s1', { beat: 7, models: { m: 4 } })]);
  expect(await file().read()).toEqual([sampler('s1', { beat: 7, models: { m: 4 } })]);
});
