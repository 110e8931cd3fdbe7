import type { FleetView } from './watcher.js';

/** The zone of each address that a view names, of other nodes and of samplers; what was found holds for that view. */
export const zonesOf = (view: () => FleetView): ((address: string) => string | undefined) => {
  let builtOn: FleetView | undefined;
  let zones = new Map<string, string>();
  return (address) => {
    const current = view();
    if (current !== builtOn) {
      builtOn = current;
      zones = new Map();
    }
    const known = zones.get(address);
    if (known !== undefined) return known;
    for (const member of current.members.values()) if (member.peer === address) zones.set(address, member.zone);
    for (const sampler of current.samplers.values()) if (sampler.address === address) zones.set(address, sampler.zone);
    return zones.get(address);
  };
};
