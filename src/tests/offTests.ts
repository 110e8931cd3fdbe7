import { Effect } from 'effect';
import type { Clients } from '../sim/clients.js';
import type { Machine, SimFleet } from '../sim/simFleet.js';
import type { World } from '../sim/world.js';

const insisted = (clients: Clients, front: Machine['http'], lot: Record<string, unknown>) =>
  clients.ask(front, 'POST', '/foxdeck/lots', lot).pipe(
    Effect.tap((told) => (told.status === 201 ? Effect.void : Effect.sleep(100))),
    Effect.repeat({ until: (told) => told.status === 201, times: 20 }),
  );

/** What scripts of broken days have in common. */
export const offTests = {
  of: (fleet: SimFleet, ...roles: ReadonlyArray<Machine['role']>): ReadonlyArray<Machine> =>
    [...fleet.machines.values()].filter((machine) => roles.includes(machine.role)),
  seater: (fleet: SimFleet): Machine =>
    [...fleet.machines.values()].find((machine) =>
      machine.node?.context.leases.held().some((duty) => duty.startsWith('seat/')),
    )!,
  /** Cuts both ways between machines. */
  cut: (fleet: SimFleet, some: ReadonlyArray<Machine>, others: ReadonlyArray<Machine>, heard = false): void => {
    for (const one of some) {
      for (const other of others) {
        if (one === other) continue;
        fleet.net.hears(one.name, other.name, heard);
        fleet.net.hears(other.name, one.name, heard);
      }
    }
  },
  /** Sends what a client sends at a time, and again and again where it says so. */
  at: (world: World, fleet: SimFleet, ms: number, work: Parameters<SimFleet['client']>[1]): void =>
    void world.after(ms, () => fleet.client(`client at ${ms}`, work)),
  /** Hands a lot over and notes it. */
  hand: (clients: Clients, front: Machine['http'], lot: Record<string, unknown>) =>
    Effect.map(insisted(clients, front, lot), (told) => {
      clients.note('lot-told', told.asked, { key: lot['key'], lot, status: told.status, id: told.body['id'] });
      return String(told.body['id']);
    }),
  lotOf: (clients: Clients, key: string, groups: number, size: number, more: object = {}) => ({
    key,
    service: clients.model,
    step: 0,
    taskType: 'play',
    ...more,
    groups: Array.from({ length: groups }, (_, group) => ({
      items: Array.from({ length: size }, (_, item) => ({ prompt: `${key} ${group} ${item} ${'la '.repeat(80)}` })),
    })),
  }),
};
