import { Clock, Duration, Effect, type Context, type Exit } from 'effect';
import type { Scheduler } from 'effect/Scheduler';
import { brands } from '../shared/brands.js';
import type { Timepiece } from '../shared/timepiece.js';
import { makeEventQueue } from './eventQueue.js';
import { randomSource } from './randomSource.js';

/** One simulated process: what it runs stops with it and stands still while it is frozen. */
export type Process = {
  readonly name: string;
  readonly alive: () => boolean;
  readonly frozen: () => boolean;
  readonly fork: <A, E>(work: Effect.Effect<A, E>, done?: (exit: Exit.Exit<A, E>) => void) => void;
  /** Runs a callback in the process, later if it is frozen, never once it is dead. */
  readonly enter: (run: () => void) => void;
  readonly kill: () => void;
  readonly freeze: () => void;
  readonly thaw: (machineSlept: boolean) => void;
  readonly time: Context.Tag.Service<typeof Timepiece>;
  readonly onKill: (run: () => void) => () => void;
};

/** A world of processes on one virtual clock; a seed decides all that happens in it. */
export type World = {
  readonly now: () => number;
  readonly chance: () => number;
  readonly between: (low: number, high: number) => number;
  readonly after: (ms: number, run: () => void) => () => void;
  readonly process: (name: string) => Process;
  readonly runUntil: (at: number) => void;
  readonly steps: () => number;
};

const instantMost = 20_000;
const epoch = 1_800_000_000_000;

/** Makes a world from a seed. */
export const makeWorld = (seed: number): World => {
  const chance = randomSource(seed);
  const events = makeEventQueue();
  let ready: Array<() => void> = [];
  let now = 0;
  let order = 0;
  let steps = 0;
  let lastEntered = '';

  const after = (ms: number, run: () => void): (() => void) => {
    let wanted = true;
    order += 1;
    events.push({
      at: now + Math.max(0, ms),
      order,
      run: () => {
        if (wanted) run();
      },
    });
    return () => {
      wanted = false;
    };
  };
  const drain = (): void => {
    const before = steps;
    while (ready.length > 0) {
      if (steps - before > instantMost)
        throw new Error(`a livelock at ${now}: ${steps - before} steps in one instant, the last of ${lastEntered}`);
      const tasks = ready;
      ready = [];
      for (const task of tasks) {
        steps += 1;
        task();
      }
    }
  };

  const process = (name: string): Process => {
    let alive = true;
    let frozenSince: number | undefined;
    let slept = 0;
    let heldTasks: Array<() => void> = [];
    const killed = new Set<() => void>();
    const enter = (run: () => void): void => {
      if (!alive) return;
      if (frozenSince !== undefined) heldTasks.push(run);
      else
        ready.push(() => {
          lastEntered = name;
          if (alive && frozenSince === undefined) run();
          else if (alive) heldTasks.push(run);
        });
    };
    const scheduler: Scheduler = {
      shouldYield: (fiber) => (fiber.currentOpCount > 2048 ? 0 : false),
      scheduleTask: (task) => enter(task),
    };
    const clock: Clock.Clock = {
      [Clock.ClockTypeId]: Clock.ClockTypeId,
      unsafeCurrentTimeMillis: () => epoch + now,
      unsafeCurrentTimeNanos: () => BigInt(Math.floor((epoch + now) * 1e6)),
      currentTimeMillis: Effect.sync(() => epoch + now),
      currentTimeNanos: Effect.sync(() => BigInt(Math.floor((epoch + now) * 1e6))),
      sleep: (duration) =>
        Effect.async<void>((resume) => {
          const cancel = after(Duration.toMillis(duration), () => enter(() => resume(Effect.void)));
          return Effect.sync(cancel);
        }),
    };
    return {
      name,
      alive: () => alive,
      frozen: () => frozenSince !== undefined,
      enter,
      onKill: (run) => {
        killed.add(run);
        return () => void killed.delete(run);
      },
      fork: (work, done) =>
        enter(() => {
          const fiber = Effect.runFork(Effect.withClock(work, clock), { scheduler, immediate: false });
          if (done) fiber.addObserver(done);
        }),
      kill: () => {
        if (!alive) return;
        alive = false;
        heldTasks = [];
        for (const run of [...killed]) run();
        killed.clear();
      },
      freeze: () => {
        frozenSince ??= now;
      },
      thaw: (machineSlept) => {
        if (frozenSince === undefined) return;
        if (machineSlept) slept += now - frozenSince;
        frozenSince = undefined;
        const tasks = heldTasks;
        heldTasks = [];
        for (const task of tasks) enter(task);
      },
      time: {
        granted: () => brands.millis(now - slept),
        held: () => brands.millis(now),
        wall: () => brands.millis(epoch + Math.floor(now)),
        chance,
        identity: () => `${name}-${Math.floor(chance() * 2 ** 48).toString(16)}`,
      },
    };
  };

  return {
    now: () => now,
    chance,
    between: (low, high) => low + chance() * (high - low),
    after,
    process,
    steps: () => steps,
    runUntil: (at) => {
      drain();
      for (;;) {
        const next = events.peek();
        if (!next || next.at > at) break;
        events.pop();
        now = Math.max(now, next.at);
        next.run();
        drain();
      }
      now = at;
    },
  };
};
