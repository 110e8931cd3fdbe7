import { rendezvous } from '../shared/rendezvous.js';
import type { Member, Sampler } from '../fleet/fleetTypes.js';

/** Which front owns each sampler: by rendezvous among the ready fronts of its zone, or among all where it has none. */
export type Owners = (members: Iterable<Member>) => (sampler: Sampler) => string | undefined;

/** Makes the reckoning of owners; what was found holds until the fronts change. */
export const makeOwners = (): Owners => {
  let known = new Map<string, string>();
  let knownFor = '';
  return (members) => {
    const fronts = [...members].filter((member) => member.role === 'front' && member.state === 'ready');
    const key = fronts
      .map((front) => `${front.name} ${front.zone}`)
      .sort()
      .join(',');
    if (key !== knownFor) known = new Map();
    knownFor = key;
    return (sampler) => {
      const found = known.get(sampler.id);
      if (found !== undefined) return found;
      const near = fronts.filter((front) => front.zone === sampler.zone);
      const first = rendezvous(
        sampler.id,
        (near.length > 0 ? near : fronts).map((front) => front.name),
      )[0];
      if (first !== undefined) known.set(sampler.id, first);
      return first;
    };
  };
};
