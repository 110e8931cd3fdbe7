import { keyDigest } from '../shared/keyDigest.js';
import type { Caller } from './dialect.js';
import type { Tenant, Traffic } from './fleetTypes.js';

type Tenants = ReadonlyArray<Tenant>;

/** Names by digest for each list of tenants, for as long as the list is in use. */
const indexes = new WeakMap<Tenants, ReadonlyMap<string, string>>();
const indexOf = (tenants: Tenants): ReadonlyMap<string, string> => {
  const known = indexes.get(tenants);
  if (known) return known;
  const made = new Map(tenants.flatMap(({ name, keyDigests }) => keyDigests.map((digest) => [digest, name] as const)));
  indexes.set(tenants, made);
  return made;
};

/** Who a request comes from, by the key that it carries. */
const callerOf = ({ tenants }: Traffic, key: string | undefined): Caller => {
  if (!tenants) return { keysInUse: false };
  const tenant = key === undefined ? undefined : indexOf(tenants).get(keyDigest(key));
  return { keysInUse: true, ...(tenant !== undefined && { tenant }) };
};

/** Whether the calls of batches at a host need no key: whoever handed them in needed none. */
const lotsExempt = ({ bindings }: Traffic, host: string): boolean =>
  bindings.some((binding) => binding.kind === 'rollout' && binding.host === host && binding.authExempt === true);

/** The keys of tenants: whose they are, and who may go without one. */
export const tenantKeys = {
  callerOf,
  lotsExempt,
  /** Whether a caller may use a batch; one that was handed in without a tenant is anybody's. */
  mayUse: (tenant: string | undefined, caller: Caller | undefined): boolean =>
    tenant === undefined || caller?.keysInUse !== true || caller.tenant === tenant,
};
