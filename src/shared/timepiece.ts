import { Context } from 'effect';
import type { Millis } from './brands.js';

/**
 * The two clocks that leases are read by. `granted` only counts while the machine runs and so never ends a grant early;
 * `held` also counts the time that a machine spent frozen and so never lets a holder go on too long.
 */
export class Timepiece extends Context.Tag('foxdeck/Timepiece')<
  Timepiece,
  {
    readonly granted: () => Millis;
    readonly held: () => Millis;
    readonly wall: () => Millis;
    /** A fraction in [0, 1). */
    readonly chance: () => number;
    readonly identity: () => string;
  }
>() {}
