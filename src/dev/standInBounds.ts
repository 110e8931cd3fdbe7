import type { FleetSettings } from '../fleet/fleetTypes.js';

/** The bounds that fleets on loopback and simulated ones are told; times in milliseconds. */
export const standInBounds: FleetSettings['bounds'] = {
  drainMs: 2000,
  graceMs: 6000,
  cancelMs: 3000,
  leaseMs: 3000,
  thawMs: 300,
  keepLotsMs: 120_000,
  contactMs: 3000,
};
