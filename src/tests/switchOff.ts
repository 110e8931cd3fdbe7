import { Effect } from 'effect';
import type { Clients } from '../sim/clients.js';
import type { SimFleet } from '../sim/simFleet.js';
import type { World } from '../sim/world.js';

const restore: Array<() => void> = [];

/** Helpers for tests that switch a mechanism off or bring one failure about. */
export const switchOff = {
  /** Replaces a part's function until `back` is called. */
  off: <T extends object, K extends keyof T>(part: T, name: K, without: T[K]): void => {
    const before = part[name];
    restore.push(() => {
      part[name] = before;
    });
    part[name] = without;
  },
  back: (): void => {
    for (const each of restore.splice(0)) each();
  },
  rulesOf: (day: { readonly violations: ReadonlyArray<{ readonly rule: string }> }): ReadonlyArray<string> => [
    ...new Set(day.violations.map((each) => each.rule)),
  ],
  /** Freezes one front for 12 s, once; the others go on. It is asked for its sequence all the while. */
  freezing: (world: World, fleet: SimFleet, clients: Clients): void => {
    const machine = [...fleet.machines.values()].find((each) => each.role === 'front')!;
    const probe = Effect.flatMap(clients.ask(machine.http, 'GET', '/foxdeck/status', undefined, {}, 3000), (told) =>
      Effect.sync(() => {
        if (told.status === 200)
          clients.note('front-sequence', told.asked, {
            front: machine.http,
            sequence: told.body['sequence'],
            inForce: told.body['inForce'],
          });
      }),
    );
    fleet.client(
      'prober',
      Effect.forEach(Array.from({ length: 150 }), () => Effect.zipRight(Effect.forkDaemon(probe), Effect.sleep(100)), {
        discard: true,
      }),
    );
    world.after(700, machine.process.freeze);
    world.after(12_700, () => machine.process.thaw(false));
  },
  /** A clock by which no lease that a front holds ever ends. */
  blindClock: (_: World, fleet: SimFleet): void => {
    for (const machine of fleet.machines.values())
      if (machine.role === 'front') (machine.process.time as { held: () => number }).held = () => 0;
  },
};
