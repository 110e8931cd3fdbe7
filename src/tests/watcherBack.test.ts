import { expect, test } from '@jest/globals';
import type { Channels } from '../edge/channels.js';
import { watchers, type WatchResponse } from '../fleet/watcher.js';
import type { Member } from '../fleet/fleetTypes.js';
import { turns } from './turns.js';

const self: Member = {
  name: 'front-1',
  role: 'front',
  zone: 'a',
  peer: 'front-1:1',
  disk: '',
  state: 'ready',
  incarnation: 1,
  sequence: 0,
  coreFresh: false,
};
const answer = (core: string, revision: number, sequence: number): WatchResponse => ({
  core,
  incarnation: 1,
  revision,
  members: [],
  followed: { sequence, models: {}, voters: [], electorate: 1, stores: { epoch: 0, current: [], previous: [] } },
});

test('a core that falls silent while another tells of a change takes nobody back', async () => {
  let time = 0;
  const asked: Array<{ core: string; done: (answer: WatchResponse) => void; failed: (fault: Error) => void }> = [];
  const channels = {
    call: (core: string) =>
      new Promise((done, failed) => asked.push({ core, done: done as (answer: WatchResponse) => void, failed })),
  } as unknown as Channels;
  const following = watchers.make({ channels, seeds: ['c1:1', 'c2:1'], self: () => self, now: () => time });
  const next = async (core: string) => {
    await turns.until(() => asked.some((each) => each.core === core));
    const place = asked.findIndex((each) => each.core === core);
    return asked.splice(place, 1)[0]!;
  };
  (await next('c1:1')).done(answer('c1', 1, 1));
  (await next('c2:1')).done(answer('c2', 1, 1));
  const silent = await next('c1:1');
  const other = await next('c2:1');
  expect(following.view().followed?.sequence).toBe(1);
  time = 1000;
  other.done(answer('c2', 2, 2));
  await next('c2:1');
  expect(following.view().followed?.sequence).toBe(2);
  time = 3000;
  silent.failed(new Error('no answer in time'));
  await turns.pass(5);
  expect(following.view().followed?.sequence).toBe(2);
  following.stop();
});
