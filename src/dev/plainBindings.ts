import type { HostBinding, HostService } from '../fleet/fleetTypes.js';

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

/** Bindings and services of stand-in traffic, with what they don't name filled in. */
export const plainBindings = { binding, service };
