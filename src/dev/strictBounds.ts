import type { FleetSettings } from '../fleet/fleetTypes.js';
import { standInBounds } from './standInBounds.js';

/** The bounds of fleets in which a withdrawn key has to stop working everywhere in time. */
export const strictBounds = { ...standInBounds, revokeMs: 5000 } satisfies FleetSettings['bounds'];
