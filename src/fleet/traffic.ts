import type { Reason } from '../shared/checked.js';
import type { HostBinding, Tenant, Traffic } from './fleetTypes.js';

/** Why a list of tenants can't be taken: each has a name of its own, and a key belongs to one of them. */
const againstTenants = (tenants: ReadonlyArray<Tenant>): ReadonlyArray<Reason> => {
  const reasons: Reason[] = [];
  const names = new Set<string>();
  const holders = new Map<string, string>();
  tenants.forEach(({ name, keyDigests }, index) => {
    const path = `traffic.tenants[${index}]`;
    if (names.has(name)) reasons.push({ path: `${path}.name`, message: `${name} is named twice` });
    names.add(name);
    for (const digest of keyDigests) {
      const holder = holders.get(digest) ?? name;
      if (holder !== name) reasons.push({ path: `${path}.keys`, message: `${name} shares a key with ${holder}` });
      holders.set(digest, holder);
    }
  });
  return reasons;
};

/** Why a declared traffic can't be taken on top of another; empty when it can. */
const against = (before: Traffic | undefined, basedOn: number, value: Traffic): ReadonlyArray<Reason> => {
  const reasons: Reason[] = [];
  const current = before?.version ?? 0;
  if (basedOn !== current)
    reasons.push({ path: 'traffic.basedOn', message: `builds on ${basedOn}, but ${current} is current` });
  if (!Number.isInteger(value.version) || value.version <= current)
    reasons.push({ path: 'traffic.version', message: `${value.version} is not above ${current}` });
  const services = new Set(value.services.map((service) => service.name));
  if (services.size !== value.services.length)
    reasons.push({ path: 'traffic.services', message: 'a service is named twice' });
  const [names, places] = [new Set<string>(), new Map<string, string>()];
  value.bindings.forEach((binding, index) => {
    const path = `traffic.bindings[${index}]`;
    const say = (field: string, message: string): void => void reasons.push({ path: `${path}.${field}`, message });
    if (names.has(binding.name)) say('name', `${binding.name} is named twice`);
    names.add(binding.name);
    const place = `${binding.host}${binding.prefix}`;
    if (places.has(place)) say('prefix', `${place} is bound by ${places.get(place)} already`);
    places.set(place, binding.name);
    for (const { service } of binding.shares) if (!services.has(service)) say('service', `no service named ${service}`);
    if (binding.shares.reduce((sum, share) => sum + share.weight, 0) <= 0) say('shares', 'the weights add up to 0');
    if (binding.shares.some((share) => share.weight < 0)) say('shares', 'a weight is below 0');
    if (binding.timeLeftMs <= 0) say('timeLeftMs', 'must be above 0');
    if (binding.attempts < 1) say('attempts', 'must be 1 or more');
    if (!binding.prefix.startsWith('/') || !binding.prefix.endsWith('/'))
      say('prefix', 'must begin and end with a slash');
  });
  reasons.push(...againstTenants(value.tenants ?? []));
  return reasons;
};

/** The binding of a host and path: the longest prefix that begins the path. */
const match = (value: Traffic | undefined, host: string, path: string): HostBinding | undefined => {
  let found: HostBinding | undefined;
  for (const binding of value?.bindings ?? [])
    if (binding.host === host && path.startsWith(binding.prefix) && binding.prefix.length > (found?.prefix.length ?? 0))
      found = binding;
  return found;
};

/** The service for one request; `chance` is in [0, 1). */
const serviceFor = (binding: HostBinding, chance: number): string => {
  const total = binding.shares.reduce((sum, share) => sum + share.weight, 0);
  let place = chance * total;
  for (const share of binding.shares) {
    place -= share.weight;
    if (place < 0) return share.service;
  }
  return binding.shares.find((share) => share.weight > 0)!.service;
};

/** The rules of declared traffic. */
export const traffic = { against, match, serviceFor };
