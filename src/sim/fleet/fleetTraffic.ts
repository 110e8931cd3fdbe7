import type { HostBinding, HostService, Traffic } from '../../fleet/fleetTypes.js';

const binding = (more: Partial<HostBinding> & Pick<HostBinding, 'name' | 'host' | 'kind'>): HostBinding => ({
  prefix: '/',
  timeLeftMs: 4000,
  aimMs: 400,
  priority: 5,
  attempts: 3,
  shares: [],
  resumable: false,
  single: false,
  lotDueMs: 8000,
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

/**
 * The traffic of a simulated day: batches, ratings, repeatable requests and requests that run once at most. The mark
 * tells apart what two operators declare under one version.
 */
export const fleetTraffic = (version: number, mark: string): Omit<Traffic, 'document'> => ({
  version,
  bindings: [
    binding({ name: 'lots', host: 'lots.fleet', kind: 'rollout', shares: [{ service: 'texts', weight: 1 }] }),
    binding({ name: 'ratings', host: 'rate.fleet', kind: 'idempotent', shares: [{ service: 'plain', weight: 1 }] }),
    binding({ name: 'reads', host: 'read.fleet', kind: 'idempotent', shares: [{ service: 'plain', weight: 1 }] }),
    binding({ name: 'writes', host: 'write.fleet', kind: 'onceOnly', shares: [{ service: 'plain', weight: 1 }] }),
    binding({
      name: `mark-${mark}`,
      host: `mark-${mark}.fleet`,
      kind: 'idempotent',
      shares: [{ service: 'plain', weight: 1 }],
    }),
  ],
  services: [service('texts', true), service('plain', false)],
  limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerMs: 3000, idleMs: 15_000 },
});
