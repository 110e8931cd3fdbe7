import { readFileSync } from 'node:fs';
import type { Deployment } from '../dev/deployment.js';
import { runDay, type Day, type DayOptions } from '../sim/day.js';

const small = JSON.parse(readFileSync('settings/small.json', 'utf8')) as Deployment;

/** A short day of a small deployment, for tests that bring one failure about. */
export const brokenOnPurpose = (options: Partial<DayOptions> & { readonly seed: number }): Day =>
  runDay({
    given: { ...small, fronts: 2, samplers: small.samplers.map((group) => ({ ...group, count: 2 })) },
    workMs: 7000,
    settleMs: 16_000,
    meanFaultMs: 1000,
    only: [],
    lastFault: false,
    ...options,
  });
