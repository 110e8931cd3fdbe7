import { configurationConfirmer } from '../fleet/core/configurationConfirmer.js';
import { encryptedDisk } from '../core/encryptedDisk.js';
import { configurationContact } from '../fleet/front/configurationContact.js';
import { tenantKeys } from '../fleet/tenantKeys.js';
import { fleetRuns } from './fleetRuns.js';
import { pairedRuns } from './pairedRuns.js';
import { switchOff } from './switchOff.js';

const { at, cutOff, scripted } = fleetRuns;
const { pair } = pairedRuns;
const { off } = switchOff;

pair(
  'a front that is cut off while keys are withdrawn',
  () => scripted(36, (world, fleet) => at(world, 500, () => cutOff(fleet, [fleet.of('front')[0]!]))),
  () => {
    const { make } = configurationContact;
    off(configurationContact, 'make', (options) => ({ ...make(options), keysHold: () => true }));
  },
  'a withdrawn key runs nothing',
);

/** A day on which the first front and one core are cut off from all others. */
const cutOffWithACore = (seed: number) => () =>
  scripted(seed, (world, fleet) => at(world, 500, () => cutOff(fleet, [fleet.of('front')[0]!, fleet.of('core')[2]!])));

pair(
  'a front that hears of one core alone, which is cut off too, while keys are withdrawn',
  cutOffWithACore(32),
  () => {
    const { make } = configurationConfirmer;
    off(configurationConfirmer, 'make', (options) => {
      const made = make(options);
      return { ...made, confirmed: () => ({ sequence: made.confirmed()?.sequence ?? 0, agoMs: 0 }) };
    });
  },
  'a withdrawn key runs nothing',
  { others: [cutOffWithACore(25), cutOffWithACore(36)] },
);

pair(
  'callers without a key and with an unknown one',
  () => scripted(33, undefined),
  () => off(tenantKeys, 'callerOf', () => ({ keysInUse: true, tenant: 'north' })),
  'an unknown key runs nothing',
);

pair(
  'callers of two tenants',
  () => scripted(34, undefined),
  () => off(tenantKeys, 'callerOf', () => ({ keysInUse: false })),
  'a request runs under its key’s tenant',
);

pair(
  'documents that hold keys',
  () => scripted(35, undefined),
  () => off(encryptedDisk, 'over', (disk) => disk),
  'no key stands on a disk',
);
