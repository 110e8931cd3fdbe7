import { randomUUID } from 'node:crypto';
import type { Context } from 'effect';
import { brands } from '../shared/brands.js';
import type { Timepiece } from '../shared/timepiece.js';

const frozenMs = 1000;

/** The machine's clocks; a wall clock that ran on while the monotonic one stood still tells of a freeze. */
export const realTime = (): Context.Tag.Service<typeof Timepiece> => {
  let [lastMono, lastWall, held] = [performance.now(), Date.now(), performance.now()];
  return {
    granted: () => brands.millis(performance.now()),
    held: () => {
      const [mono, wall] = [performance.now(), Date.now()];
      const [monoPassed, wallPassed] = [mono - lastMono, wall - lastWall];
      held += wallPassed > monoPassed + frozenMs ? wallPassed : monoPassed;
      [lastMono, lastWall] = [mono, wall];
      return brands.millis(held);
    },
    wall: () => brands.millis(Date.now()),
    chance: Math.random,
    identity: randomUUID,
  };
};
