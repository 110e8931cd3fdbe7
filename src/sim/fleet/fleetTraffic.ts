import { plainBindings } from '../../dev/plainBindings.js';
import type { PlainDocument } from '../../dev/plainDialect.js';
import type { HostBinding } from '../../fleet/fleetTypes.js';
import { fleetKeys } from './fleetKeys.js';

const { service } = plainBindings;
const times = { timeLeftMs: 4000, aimMs: 400, lotDueMs: 8000 };
const binding = (name: string, host: string, kind: HostBinding['kind'], to: string): HostBinding =>
  plainBindings.binding({ name, host, kind, ...times, shares: [{ service: to, weight: 1 }] });

/**
 * The traffic of a simulated day: batches, ratings, repeatable requests, requests that run once at most and streams.
 * The mark tells apart what two operators declare under one version.
 */
export const fleetTraffic = (version: number, mark: string): PlainDocument => ({
  version,
  bindings: [
    binding('lots', 'lots.fleet', 'rollout', 'texts'),
    { ...binding('ratings', 'rate.fleet', 'idempotent', 'plain'), authExempt: true },
    binding('reads', 'read.fleet', 'idempotent', 'plain'),
    binding('writes', 'write.fleet', 'onceOnly', 'plain'),
    binding('streams', 'stream.fleet', 'streaming', 'texts'),
    binding(`mark-${mark}`, `mark-${mark}.fleet`, 'idempotent', 'plain'),
  ],
  services: [service('texts', true), service('plain', false)],
  limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerMs: 3000, idleMs: 15_000 },
  tenants: fleetKeys.tenants(mark),
});
