import { makeEventQueue, type QueuedEvent } from '../eventQueue.js';
import { randomSource } from '../randomSource.js';

/** One simulated operating-system process: its timers stop with it and stand still while it is frozen. */
export type VirtualProcess = {
  readonly name: string;
  readonly alive: () => boolean;
  readonly frozen: () => boolean;
  /** Ends it at once; `ended` listeners hear of it. */
  readonly kill: () => void;
  readonly freeze: () => void;
  readonly thaw: () => void;
  readonly onEnd: (listener: () => void) => void;
  /** How far its time of day is off, in milliseconds. */
  wallOffsetMs: number;
};

/** A timer, as `setTimeout` gives it. */
export type VirtualTimer = { cancelled: boolean; readonly ref: () => VirtualTimer; readonly unref: () => VirtualTimer };

/** Several processes on one virtual clock; a seed decides all that happens. Times in milliseconds. */
export type VirtualWorld = {
  readonly now: () => number;
  readonly chance: () => number;
  readonly between: (low: number, high: number) => number;
  readonly pick: <A>(list: ReadonlyArray<A>) => A;
  readonly spawn: (name: string) => VirtualProcess;
  /** Runs a callback in a process later; never once it is dead, and after its thaw while it is frozen. */
  readonly schedule: (process: VirtualProcess, ms: number, run: () => void) => VirtualTimer;
  /** The process whose callback runs now. */
  readonly current: () => VirtualProcess;
  /** The process of the network and the faults, which nothing ends. */
  readonly outside: VirtualProcess;
  readonly runUntil: (at: number) => Promise<void>;
  readonly sleep: (ms: number) => Promise<void>;
  /** What was thrown and not caught, by process. */
  readonly crashes: ReadonlyArray<{ readonly process: string; readonly reason: string }>;
  readonly events: () => number;
  /** Gives the real clock and timers back. */
  readonly close: () => void;
};

/** The part of a world that those outside of the fleet use: clients, samplers and faults. */
export type OutsideWorld = Pick<
  VirtualWorld,
  'now' | 'chance' | 'between' | 'pick' | 'spawn' | 'schedule' | 'outside' | 'sleep'
>;

type Entry = QueuedEvent & { readonly process: VirtualProcess; readonly timer: VirtualTimer };
type State = { held: Entry[]; ended: Array<() => void>; alive: boolean; frozen: boolean };

const epochMs = 1_800_000_000_000;
/** More events than this in one instant are a livelock. */
const instantMost = 50_000;

const makeTimer = (): VirtualTimer => {
  const timer: VirtualTimer = { cancelled: false, ref: () => timer, unref: () => timer };
  return timer;
};

/**
 * Makes a world and puts its clock, timers and random numbers in the place of the global ones until `close`. A callback
 * and all promises that follow from it run before the next callback, so what they schedule belongs to its process.
 */
export const makeVirtualWorld = (seed: number): VirtualWorld => {
  const real = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    setInterval: globalThis.setInterval,
    clearInterval: globalThis.clearInterval,
    setImmediate: globalThis.setImmediate,
    clearImmediate: globalThis.clearImmediate,
    performance: globalThis.performance,
    dateNow: Date.now,
    random: Math.random,
  };
  const chance = randomSource(seed);
  const queue = makeEventQueue<Entry>();
  const states = new Map<VirtualProcess, State>();
  const crashes: Array<{ process: string; reason: string }> = [];
  let [now, order, events] = [0, 0, 0];

  const push = (process: VirtualProcess, at: number, run: () => void, timer: VirtualTimer): void => {
    order += 1;
    queue.push({ at, order, run, process, timer });
  };
  const schedule = (process: VirtualProcess, ms: number, run: () => void): VirtualTimer => {
    const timer = makeTimer();
    push(process, now + Math.max(0, ms), run, timer);
    return timer;
  };
  const spawn = (name: string): VirtualProcess => {
    const state: State = { held: [], ended: [], alive: true, frozen: false };
    const process: VirtualProcess = {
      name,
      alive: () => state.alive,
      frozen: () => state.frozen,
      kill: () => {
        if (!state.alive) return;
        state.alive = false;
        state.held = [];
        for (const listener of state.ended) listener();
      },
      freeze: () => (state.frozen = true),
      thaw: () => {
        state.frozen = false;
        for (const { run, timer } of state.held.splice(0)) push(process, now, run, timer);
      },
      onEnd: (listener) => void state.ended.push(listener),
      wallOffsetMs: 0,
    };
    states.set(process, state);
    return process;
  };
  const outside = spawn('outside');
  let current = outside;

  const settled = (): Promise<void> => new Promise((resolve) => real.setImmediate(resolve));
  const caught = (cause: unknown): void => {
    crashes.push({
      process: current.name,
      reason: cause instanceof Error ? (cause.stack ?? String(cause)) : String(cause),
    });
  };
  const step = async (entry: Entry): Promise<void> => {
    const state = states.get(entry.process)!;
    if (entry.timer.cancelled || !state.alive) return;
    if (state.frozen) return void state.held.push(entry);
    current = entry.process;
    events += 1;
    try {
      entry.run();
    } catch (cause) {
      caught(cause);
    }
    await settled();
    current = outside;
  };
  const runUntil = async (until: number): Promise<void> => {
    await settled();
    let [instant, count] = [now, 0];
    for (let next = queue.peek(); next && next.at <= until; next = queue.peek()) {
      queue.pop();
      now = Math.max(now, next.at);
      count = now === instant ? count + 1 : 0;
      instant = now;
      if (count > instantMost) throw new Error(`a livelock at ${now}, the last event of ${next.process.name}`);
      await step(next);
    }
    now = until;
  };

  const every = (run: () => void, ms: number): VirtualTimer => {
    const timer = makeTimer();
    const process = current;
    const again = (): void => {
      push(process, now + Math.max(1, ms), again, timer);
      run();
    };
    push(process, now + Math.max(1, ms), again, timer);
    return timer;
  };
  const cancel = (timer: VirtualTimer | undefined): void => {
    if (timer) timer.cancelled = true;
  };
  const place = (name: 'performance', value: unknown): void =>
    void Object.defineProperty(globalThis, name, { value, configurable: true, writable: true });
  Object.assign(globalThis, {
    setTimeout: (run: (...given: unknown[]) => void, ms = 0, ...given: unknown[]) =>
      schedule(current, ms, () => run(...given)),
    clearTimeout: cancel,
    setInterval: (run: () => void, ms = 0) => every(run, ms),
    clearInterval: cancel,
    setImmediate: (run: (...given: unknown[]) => void, ...given: unknown[]) =>
      schedule(current, 0, () => run(...given)),
    clearImmediate: cancel,
  });
  place('performance', { now: () => now });
  Date.now = () => Math.floor(epochMs + now + current.wallOffsetMs);
  Math.random = chance;
  process.on('unhandledRejection', caught);

  return {
    now: () => now,
    chance,
    between: (low, high) => low + chance() * (high - low),
    pick: (list) => list[Math.floor(chance() * list.length)]!,
    spawn,
    schedule,
    current: () => current,
    outside,
    runUntil,
    sleep: (ms) => new Promise((resolve) => schedule(current, ms, resolve)),
    crashes,
    events: () => events,
    close: () => {
      const { performance, dateNow, random, ...timers } = real;
      Object.assign(globalThis, timers);
      place('performance', performance);
      Date.now = dateNow;
      Math.random = random;
      process.off('unhandledRejection', caught);
    },
  };
};
