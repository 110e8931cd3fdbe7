import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { idempotency } from '../core/idempotency.js';
import { paxos } from '../core/paxos.js';
import { samplerDepartures } from '../fleet/core/samplerDepartures.js';
import { ordinaryAsks } from '../fleet/front/ordinaryAsks.js';
import { Disk } from '../shared/disk.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import type { VirtualFleet } from '../sim/fleet/virtualFleet.js';
import type { VirtualWorld } from '../sim/fleet/virtualWorld.js';
import { fleetRuns } from './fleetRuns.js';
import { pairedRuns } from './pairedRuns.js';
import { switchOff } from './switchOff.js';

const { at, cutOff, losePower, scripted, wipe } = fleetRuns;
const { pair } = pairedRuns;
const { off } = switchOff;

const cutOneCore = (world: VirtualWorld, fleet: VirtualFleet): void => {
  at(world, 1000, () => cutOff(fleet, [fleet.of('core')[2]!]));
};

pair(
  'a core that is cut off for nine seconds',
  () => scripted(11, cutOneCore),
  () => off(paxos, 'read', () => Effect.succeed(undefined)),
  'a read tells the newest version that was acknowledged or read before it was sent',
);

pair(
  'a core that is cut off while samplers leave',
  () =>
    scripted(13, (world, fleet) => {
      at(world, 200, () => cutOff(fleet, [fleet.of('core')[2]!]));
      for (const place of [0, 1, 2, 3, 4])
        at(world, 4500 + place * 600, () => fleet.departSampler(place, place % 2 === 0 ? 'leaving' : 'draining'));
    }),
  () => {
    const { make } = samplerDepartures;
    off(samplerDepartures, 'make', (options) => ({ ...make(options), confirm: () => Promise.resolve(true) }));
  },
  'nothing reaches a sampler that left',
);

pair(
  'operators who send their changes again to any core',
  () => scripted(13, undefined),
  () => off(idempotency, 'find', () => undefined),
  'an acknowledged change that is sent again is not refused',
);

/** One disk is lost while another core, which missed the last changes, is the only voter that is heard. */
const lossBesideLaggard = (world: VirtualWorld, fleet: VirtualFleet): void => {
  const [wiped, dark, laggard] = fleet.of('core');
  at(world, 1000, () => cutOff(fleet, [laggard!]));
  at(world, 5000, () => {
    wipe(world, wiped!, 100);
    losePower(world, [dark!], 4000);
    fleet.network.heal();
  });
};
pair(
  'a disk lost beside a core that missed the last changes',
  () => scripted(15, lossBesideLaggard),
  () => undefined,
  'a read tells the newest version that was acknowledged or read before it was sent',
  { run: () => scripted(15, lossBesideLaggard, { keepsDiskIdentity: true }) },
);

test('a second disk of each kind lost after the first ones were replaced', async () => {
  const day = await scripted(17, (world, fleet) => {
    const [firstCore, secondCore] = fleet.of('core');
    const [firstStore, secondStore] = fleet.of('store');
    at(world, 1000, () => [firstCore!, firstStore!].forEach((machine) => wipe(world, machine)));
    // Once the first had the time for which a machine counts as lost after it is back.
    at(world, 8500, () => [secondCore!, secondStore!].forEach((machine) => wipe(world, machine)));
  });
  expect(day.violations).toEqual([]);
  expect(day.counts['batchTaken']).toBeGreaterThan(5);
});

pair(
  'a loss of power everywhere after dozens of changes',
  () =>
    scripted(15, (world, fleet) =>
      at(world, 9000, () => losePower(world, [...fleet.of('core'), ...fleet.of('store')])),
    ),
  () =>
    off(sealedFiles, 'write', (folder, name, body) =>
      Effect.flatMap(Disk, (disk) => disk.write(`${folder}/${name}`, sealedFiles.seal(body))),
    ),
  'the newest version can be read',
);

const resets = (world: VirtualWorld, fleet: VirtualFleet): void => {
  for (let n = 0; n < 60; n += 1)
    at(world, 500 + n * 140, () => fleet.network.resetConnections(`sampler-${4 + (n % 2)}`, 1));
};
pair(
  'connections to samplers that are reset all day',
  () => scripted(16, resets),
  () => {
    const { answer } = ordinaryAsks;
    off(ordinaryAsks, 'answer', (tools, ask) =>
      answer(tools, { ...ask, binding: { ...ask.binding, kind: 'idempotent' } }),
    );
  },
  'what runs once at most runs once',
);
