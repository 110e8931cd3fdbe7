import * as yup from 'yup';
import type { Address } from './brands.js';

const address = () =>
  yup
    .string()
    .matches(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, '${path} must be an IP number and a port, such as 127.0.0.1:7100');

const schema = yup
  .object({
    name: yup
      .string()
      .matches(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, '${path} must be a name of letters, digits and ._-')
      .required(),
    domain: yup.string().required(),
    roles: yup
      .array(yup.string().oneOf(['front', 'store', 'core']).required())
      .min(1)
      .required(),
    peer: address().required(),
    http: address().required(),
    seeds: yup.array(address().required()).min(1).max(3).required(),
    data: yup.string(),
    foundingCores: yup.number().integer().min(1).max(9),
    leaseMs: yup.number().integer().min(3000).max(60_000),
    samplerLeaseMs: yup.number().integer().min(500).max(10_000),
    bodyLimit: yup.number().integer().min(1),
    inFlight: yup.number().integer().min(1),
  })
  .noUnknown()
  .strict()
  .test('ports', 'peer and http must differ', (value) => value?.peer === undefined || value.peer !== value.http)
  .test(
    'data',
    'data is needed for the roles store and core',
    (value) => value === undefined || value.data !== undefined || !(value.roles ?? []).some((role) => role !== 'front'),
  );

/** What a process is told of its place. */
export type Settings = {
  readonly name: string;
  readonly domain: string;
  readonly roles: ReadonlyArray<'front' | 'store' | 'core'>;
  readonly peer: Address;
  readonly http: Address;
  readonly seeds: ReadonlyArray<Address>;
  readonly data?: string;
  /** How many fresh cores found the fleet together. */
  readonly foundingCores: number;
  /** How long a front serves on one grant of the core. */
  readonly leaseMs: number;
  /** How long a sampler counts as what it last announced. */
  readonly samplerLeaseMs: number;
  readonly bodyLimit: number;
  /** How many requests a front carries at once before it bounces. */
  readonly inFlight: number;
};

/** The schema of settings and the values that stand where none is given. */
export const settings = {
  schema,
  defaults: { foundingCores: 3, leaseMs: 5000, samplerLeaseMs: 2000, bodyLimit: 4 * 1024 * 1024, inFlight: 1024 },
};
