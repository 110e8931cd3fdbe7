import type { Member } from '../fleet/fleetTypes.js';

/** A node as a core knows it, by its name and role. */
export const memberOf = (name: string, role: Member['role'], incarnation = 1): Member => ({
  name,
  role,
  zone: 'a',
  peer: `${name}:1`,
  disk: '',
  state: 'ready',
  incarnation,
  sequence: 0,
  coreFresh: true,
});
