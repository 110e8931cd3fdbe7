import { describe, expect, test } from '@jest/globals';
import type { Channels } from '../edge/channels.js';
import { samplerDepartures } from '../fleet/core/samplerDepartures.js';
import type { Member, Sampler } from '../fleet/fleetTypes.js';
import { memberOf } from './memberOf.js';

const names = ['core-1', 'core-2', 'core-3'];
const sampler: Sampler = {
  id: 's1',
  service: 'plain',
  address: 's1:1',
  zone: 'z',
  slots: 1,
  state: 'draining',
  beat: 3,
  quiet: false,
  models: {},
  born: 1,
};

/** A core's departures beside others of which some answer; `written` tells how often its own file was kept. */
const makeCore = (answering: ReadonlyArray<string>, founded = true, writes = true) => {
  const asked: string[] = [];
  let written = 0;
  let electorate = 1;
  const departures = samplerDepartures.make({
    self: 'core-1',
    desk: { hear: () => undefined, samplers: () => [sampler] },
    file: {
      read: () => Promise.resolve([]),
      keep: () => Promise.resolve(),
      keepNow: () => {
        written += 1;
        return writes ? Promise.resolve() : Promise.reject(new Error('the disk refuses'));
      },
    },
    channels: {
      call: (address: string) => {
        asked.push(address);
        return answering.includes(address) ? Promise.resolve({}) : Promise.reject(new Error('no answer'));
      },
    } as unknown as Channels,
    electorate: () =>
      founded ? { electorate, voters: names.map((name) => ({ name, disk: `${name}-disk` })) } : undefined,
    members: () => names.map((name): Member => ({ ...memberOf(name, 'core'), peer: name, disk: `${name}-disk` })),
  });
  return { departures, asked, written: () => written, changeVoters: () => void (electorate += 1) };
};

describe('a departure is confirmed', () => {
  test('once a majority of the voters has it, this core among them', async () => {
    const { departures, written } = makeCore(['core-2']);
    expect(await departures.confirm(sampler)).toBe(true);
    expect(written()).toBe(1);
  });
  test('by two others where the own disk refuses', async () => {
    expect(await makeCore(['core-2', 'core-3'], true, false).departures.confirm(sampler)).toBe(true);
    expect(await makeCore(['core-2'], true, false).departures.confirm(sampler)).toBe(false);
  });
  test('not by a core that hears no other', async () => {
    expect(await makeCore([]).departures.confirm(sampler)).toBe(false);
  });
  test('once: the same state is not told again, the next one is', async () => {
    const { departures, asked } = makeCore(['core-2', 'core-3']);
    await departures.confirm(sampler);
    const before = asked.length;
    await departures.confirm({ ...sampler, beat: 4 });
    expect(asked.length).toBe(before);
    await departures.confirm({ ...sampler, state: 'gone' });
    expect(asked.length).toBe(before + 2);
  });
  test('again once the voters changed, since new ones may not know of it', async () => {
    const { departures, asked, changeVoters } = makeCore(['core-2', 'core-3']);
    await departures.confirm(sampler);
    const before = asked.length;
    changeVoters();
    await departures.confirm({ ...sampler, beat: 4 });
    expect(asked.length).toBe(before + 2);
  });
  test('at once while nothing is founded, since nothing is routed', async () => {
    expect(await makeCore([], false).departures.confirm(sampler)).toBe(true);
  });
});
