import { Effect } from 'effect';
import type { Clients } from '../sim/clients.js';
import type { Machine, SimFleet } from '../sim/simFleet.js';
import type { World } from '../sim/world.js';
import { offTests } from './offTests.js';

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
  /**
   * Freezes one front for 12 s and lets it hear nothing of the others meanwhile, nor for a second after, while an
   * operator goes on at another. It is asked for its sequence all along. With a blind clock it does not notice, when it
   * wakes, that time went by.
   */
  freezing: (world: World, fleet: SimFleet, clients: Clients, blind = false): void => {
    const nodes = offTests.of(fleet, 'core', 'store', 'front');
    const [machine, other] = offTests.of(fleet, 'front') as [Machine, Machine];
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
    for (const number of [1, 2, 3])
      world.after(1000 * number, () =>
        fleet.client(
          `change-${number}`,
          Effect.asVoid(
            clients.change({ id: `frozen-${number}`, seating: { starvationMs: 4500 + number } }, other.http),
          ),
        ),
      );
    world.after(700, () => {
      machine.process.freeze();
      offTests.cut(fleet, [machine], nodes);
      if (blind) switchOff.stopClock(machine);
    });
    world.after(12_700, () => machine.process.thaw(false));
    world.after(13_700, fleet.net.heal);
  },
  /** From now on the clock by which a machine holds its leases stands still. */
  stopClock: (machine: Machine): void => {
    const time = machine.process.time as { held: () => number };
    const stopped = time.held();
    time.held = () => stopped;
  },
};
