import type { Traffic } from '../fleet/fleetTypes.js';
import { plainBindings } from './plainBindings.js';

const { binding, service } = plainBindings;

/** A traffic document with one binding for lots, one for ratings, and further ones that only add to its size. */
export const plainTraffic = (version: number, further = 0): Omit<Traffic, 'document'> => ({
  version,
  bindings: [
    binding({ name: 'lots', host: 'lots.fleet', kind: 'rollout', shares: [{ service: 'texts', weight: 1 }] }),
    binding({ name: 'ratings', host: 'rate.fleet', kind: 'idempotent', shares: [{ service: 'ratings', weight: 1 }] }),
    ...Array.from({ length: further }, (_, place) =>
      binding({
        name: `further-${place}`,
        host: `further-${place}.fleet`,
        kind: 'idempotent',
        shares: [{ service: 'ratings', weight: 1 }],
      }),
    ),
  ],
  services: [service('texts', true), service('ratings', false)],
  limits: { headerBytes: 16_384, bodyBytes: 33_554_432, headerMs: 3000, idleMs: 15_000 },
});
