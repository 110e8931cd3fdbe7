import { createHash } from 'node:crypto';

const weigh = (key: string, name: string): bigint =>
  createHash('sha256').update(`${key}\u0000${name}`).digest().readBigUInt64BE();

/** Orders names by rendezvous hash for a key, the preferred one first. */
export const rendezvous = (key: string, names: ReadonlyArray<string>): ReadonlyArray<string> =>
  names
    .map((name) => ({ name, weight: weigh(key, name) }))
    .sort((left, right) =>
      left.weight < right.weight ? 1 : left.weight > right.weight ? -1 : left.name < right.name ? -1 : 1,
    )
    .map((entry) => entry.name);
