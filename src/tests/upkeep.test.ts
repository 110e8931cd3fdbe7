import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import type { Voter } from '../core/voter.js';
import type { Ask } from '../gen/foxdeck_pb.js';
import { makeUpkeep, type UpkeepContext } from '../node/upkeep.js';
import type { Presence } from '../node/news.js';
import { answers } from '../shared/answers.js';
import { brands } from '../shared/brands.js';

const newest = 10;
const silentPeer: Presence = {
  name: 'core-2',
  domain: 'a',
  roles: ['core'],
  peer: brands.address('core-2:1'),
  http: brands.address('core-2:1'),
  state: 'ready',
  sequence: newest,
  disk: 'disk-2',
  coreFresh: false,
  duties: [],
};

// Guards against a voter that abstains for seconds since it asks silent peers for old values first.
test('a voter with gaps takes in the newest value before it asks others for older ones', async () => {
  const learnt: string[] = [];
  const context = {
    register: { known: () => ({ sequence: newest, value: Buffer.from('newest') }) },
    links: { ask: () => Effect.never },
    news: { nodes: () => [silentPeer] },
    time: { chance: () => 0 },
    settings: { name: 'core-1', foundingCores: 3 },
  } as unknown as UpkeepContext;
  const { backfill } = makeUpkeep({
    context,
    voter: { missing: () => [7, 8, 9], sequence: () => 6 } as unknown as Voter,
    disk: { id: 'disk-1', fresh: false },
    handle: ({ kind }: Ask) => {
      if (kind.case === 'learn') learnt.push(kind.value.key);
      return Effect.succeed(answers.done());
    },
  });
  Effect.runFork(backfill);
  await new Promise((resolve) => setImmediate(resolve));
  expect(learnt).toEqual([`config/${newest}`]);
});
