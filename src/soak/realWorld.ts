import { randomSource } from '../sim/randomSource.js';
import type { OutsideWorld, VirtualProcess, VirtualTimer } from '../sim/fleet/virtualWorld.js';

/** The part of a simulated world that clients, faults and samplers use, on the clock of this machine. */
export type RealWorld = OutsideWorld & {
  /** Ends every timer. */
  readonly close: () => void;
};

const makeProcess = (name: string): VirtualProcess => {
  let alive = true;
  return {
    name,
    alive: () => alive,
    frozen: () => false,
    kill: () => void (alive = false),
    freeze: () => undefined,
    thaw: () => undefined,
    onEnd: () => undefined,
    wallOffsetMs: 0,
  };
};

/** Makes a world whose draws follow from a seed; its time begins now, in milliseconds. */
export const makeRealWorld = (seed: number): RealWorld => {
  const chance = randomSource(seed);
  const began = performance.now();
  const timers = new Set<NodeJS.Timeout>();
  let closed = false;
  const schedule = (process: VirtualProcess, ms: number, run: () => void): VirtualTimer => {
    const timer: VirtualTimer = { cancelled: false, ref: () => timer, unref: () => timer };
    if (closed) return timer;
    const handle = setTimeout(() => {
      timers.delete(handle);
      if (!timer.cancelled && process.alive() && !closed) run();
    }, ms);
    timers.add(handle);
    return timer;
  };
  const outside = makeProcess('outside');
  return {
    now: () => performance.now() - began,
    chance,
    between: (low, high) => low + chance() * (high - low),
    pick: (list) => list[Math.floor(chance() * list.length)]!,
    spawn: makeProcess,
    schedule,
    outside,
    sleep: (ms) => new Promise((resolve) => void schedule(outside, ms, resolve)),
    close: () => {
      closed = true;
      for (const timer of timers) clearTimeout(timer);
    },
  };
};
