import type { FleetView } from './watcher.js';

/** The zone of each address that a view names, of other nodes and of samplers; reckoned once for each view. */
export const zonesOf = (view: () => FleetView): ((address: string) => string | undefined) => {
  let builtOn: FleetView | undefined;
  let zones = new Map<string, string>();
  return (address) => {
    const current = view();
    if (current !== builtOn)
      zones = new Map([
        ...[...current.members.values()].map(({ peer, zone }) => [peer, zone] as const),
        ...[...current.samplers.values()].map((sampler) => [sampler.address, sampler.zone] as const),
      ]);
    builtOn = current;
    return zones.get(address);
  };
};
