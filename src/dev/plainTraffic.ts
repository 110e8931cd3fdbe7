import type { HostBinding, HostService, Traffic } from '../fleet/fleetTypes.js';

const binding = (more: Partial<HostBinding> & Pick<HostBinding, 'name' | 'host' | 'kind'>): HostBinding => ({
  prefix: '/',
  timeLeftMs: 60_000,
  aimMs: 1000,
  priority: 5,
  attempts: 3,
  shares: [],
  resumable: false,
  single: false,
  lotDueMs: 60_000,
  lotWaitMs: 600_000,
  ...more,
});
const service = (name: string, model: boolean): HostService => ({
  name,
  healthPath: '/health',
  channelsMost: 100,
  model,
  cacheTokens: model ? 100_000 : 0,
  stride: 1,
  models: model ? ['writer'] : [],
});

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
