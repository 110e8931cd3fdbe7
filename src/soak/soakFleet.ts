import { join } from 'node:path';
import type { FleetSettings, Role } from '../fleet/fleetTypes.js';
import type { Transport } from '../shared/transport.js';
import type { Observation } from '../sim/fleet/observations.js';
import type { VirtualFleet } from '../sim/fleet/virtualFleet.js';
import { virtualSampler, type VirtualSampler } from '../sim/fleet/virtualSampler.js';
import { realEdge } from '../fleet/realEdge.js';
import { makeAnswerSpoiler, type AnswerSpoiler, type SpoiltHow } from './spoiltAnswers.js';
import { makeSocketTracker, type SocketTracker } from './socketTracker.js';
import { freePorts } from '../dev/freePorts.js';
import { strictBounds } from '../dev/strictBounds.js';
import type { PlantedFault } from './nodeFaults.js';
import type { RealWorld } from './realWorld.js';
import { makeSoakMachine, type MachineEvents, type SoakMachine } from './soakMachine.js';

/** How many processes of each role a soak begins with. */
export type SoakSize = {
  readonly cores: number;
  readonly stores: number;
  readonly fronts: number;
  readonly samplers: number;
  readonly zones: number;
  readonly tolerance: number;
};

/** A fleet of real processes, with the calls that faults and clients of the simulator make of theirs. */
export type SoakFleet = Omit<VirtualFleet, 'machines' | 'of' | 'add'> & {
  readonly machines: ReadonlyArray<SoakMachine>;
  readonly of: (role: Role) => ReadonlyArray<SoakMachine>;
  readonly add: (role: Role) => SoakMachine;
  /** The addresses at which running fronts take requests. */
  readonly runningFronts: () => ReadonlyArray<string>;
  readonly silenceSampler: (place: number, ms: number) => string;
  readonly slowSampler: (place: number, times: number, ms: number) => string;
  /** Has a sampler spoil one answer in so many, for a while. */
  readonly spoilSampler: (place: number, how: SpoiltHow, oneIn: number, ms: number) => string;
  readonly end: () => Promise<void>;
};

/** What differs from production in a run that shows the checkers to notice. */
export type SoakSabotage = {
  readonly planted?: PlantedFault;
  readonly onlyRole?: Role;
  readonly bounds?: Partial<FleetSettings['bounds']>;
  /** Each core is given no seed but itself, so that it acknowledges changes on its own. */
  readonly coresApart?: boolean;
};

const portsOfMachine = 3;
const spareMachines = 24;
const seedsMost = 3;
const beatMs = 800;
const textShare = 0.6;
/** Nobody listens here: the address of a machine while none runs. */
const nowhere = '127.0.0.1:9';
const counted = new Set<Role>(['core', 'store']);

type Sampler = {
  readonly running: VirtualSampler;
  readonly sockets: SocketTracker;
  readonly spoiler: AnswerSpoiler;
  readonly id: string;
};

/** Starts a fleet in a folder; all machines begin at once. */
export const startSoakFleet = async (options: {
  readonly world: RealWorld;
  readonly size: SoakSize;
  readonly folder: string;
  readonly saw: (observation: Observation) => void;
  readonly calm: () => boolean;
  readonly inTouch: () => boolean;
  readonly events: MachineEvents;
  readonly sabotage: SoakSabotage;
}): Promise<SoakFleet> => {
  const { world, size, sabotage } = options;
  const machinesMost = size.cores + size.stores + size.fronts + spareMachines;
  const ports = [...(await freePorts(machinesMost * portsOfMachine + size.samplers))];
  const at = (): string => `127.0.0.1:${ports.pop()}`;
  const machines: SoakMachine[] = [];
  const numbers: Record<Role, number> = { core: 0, store: 0, front: 0 };
  const lines: string[] = [];
  const exits: string[] = [];
  /** Of cores that are there, as operators list them. */
  const seeds = (): ReadonlyArray<string> => {
    const cores = machines.filter((machine) => machine.role === 'core' && (machine.running() || !begun));
    return cores.slice(-seedsMost).map((machine) => machine.settings.peer);
  };
  let begun = false;
  const controls: string[] = [];
  const events: MachineEvents = {
    ...options.events,
    exitedByItself: (name, how) => {
      exits.push(`${world.now().toFixed(0)} ${name}: ${how}`);
      options.events.exitedByItself(name, how);
    },
    signalled: (name, how) => {
      const front = listenOf({ name })?.front;
      options.saw({ kind: 'signalled', at: world.now(), machine: name, front, how });
      options.events.signalled(name, how);
    },
  };

  const add = (role: Role, firstStart = false): SoakMachine => {
    numbers[role] += 1;
    const name = `${role}-${numbers[role]}`;
    const peer = at();
    const listen = { front: at(), readiness: at() };
    const planted = sabotage.onlyRole === undefined || sabotage.onlyRole === role ? sabotage.planted : undefined;
    const settings = {
      name,
      role,
      zone: `zone-${(numbers[role] % size.zones) + 1}`,
      peer,
      listen: role === 'core' ? { control: listen.front } : listen,
      seeds: [],
      ...(counted.has(role) && { data: join(options.folder, name) }),
      firstStart,
      tolerance: size.tolerance,
      beatMs,
      bounds: { ...strictBounds, ...sabotage.bounds },
      ...(planted && { planted }),
    };
    const apart = sabotage.coresApart === true && role === 'core';
    const told = apart ? () => [peer] : seeds;
    const machine = makeSoakMachine({ folder: options.folder, settings, seeds: told, events });
    machines.push(machine);
    if (role === 'core') controls.push(listen.front);
    return machine;
  };
  for (const role of ['core', 'store', 'front'] as const)
    for (let nth = 0; nth < size[`${role}s`]; nth += 1) add(role, true);
  for (const machine of machines) machine.start();
  begun = true;

  const textSamplers = Math.max(1, Math.round(size.samplers * textShare));
  const places = Array.from({ length: size.samplers }, () => ({ address: at(), life: 0 }));
  const samplers: Array<Sampler | undefined> = [];
  const departing = new Set<string>();
  const startSampler = (place: number): void => {
    const { address } = places[place]!;
    places[place]!.life += 1;
    const id = `sampler-${place + 1}.${places[place]!.life}`;
    const sockets = makeSocketTracker(realEdge(id).transport);
    const spoiler = makeAnswerSpoiler(sockets.transport, world.now);
    const running = virtualSampler.start({
      world,
      transport: spoiler.transport,
      id,
      address,
      zone: `zone-${(place % size.zones) + 1}`,
      model: place < textSamplers,
      cores: controls,
      beatMs,
      saw: options.saw,
      calm: options.calm,
      inTouch: options.inTouch,
    });
    samplers[place] = { running, sockets, spoiler, id };
  };
  for (let place = 0; place < size.samplers; place += 1) startSampler(place);
  const stopSampler = (sampler: Sampler): void => {
    options.saw({ kind: 'samplerEnded', at: world.now(), sampler: sampler.id });
    sampler.running.stop();
    sampler.sockets.close();
  };
  const steady = (place: number): Sampler | undefined => {
    const sampler = samplers[place];
    return sampler && !departing.has(sampler.id) ? sampler : undefined;
  };

  const listenOf = (named: { readonly name: string } | undefined): FleetSettings['listen'] | undefined =>
    machines.find((machine) => machine.name === named?.name)?.settings.listen;
  const transport: Transport = realEdge('client').transport;
  return {
    tolerance: options.size.tolerance,
    network: {
      transport: () => transport,
      cut: () => undefined,
      join: () => undefined,
      heal: () => undefined,
      slow: () => undefined,
      resetConnections: (name, share) => {
        machines.find((machine) => machine.name === name)?.trouble({ resetShare: share });
        return share;
      },
      counts: { bytes: 0, connections: 0 },
    },
    machines,
    of: (role) => machines.filter((machine) => machine.role === role),
    add: (role) => add(role),
    controlOf: (machine) => listenOf(machine)?.control ?? nowhere,
    frontOf: (machine) => listenOf(machine)?.front ?? nowhere,
    runningFronts: () =>
      machines
        .filter((machine) => machine.role === 'front' && machine.running())
        .map((machine) => machine.settings.listen.front ?? nowhere),
    samplers: size.samplers,
    restartSampler: (place, downMs) => {
      const sampler = steady(place);
      if (!sampler) return 'none';
      stopSampler(sampler);
      samplers[place] = undefined;
      world.schedule(world.outside, downMs, () => startSampler(place));
      return sampler.id;
    },
    departSampler: (place, how) => {
      const sampler = steady(place);
      if (!sampler) return 'none';
      departing.add(sampler.id);
      sampler.running.depart(how, () => {
        stopSampler(sampler);
        world.schedule(world.outside, 500, () => startSampler(place));
      });
      return `${sampler.id}, ${how}`;
    },
    silenceSampler: (place, ms) => {
      const sampler = steady(place);
      if (!sampler) return 'none';
      sampler.running.silence(ms);
      return sampler.id;
    },
    slowSampler: (place, times, ms) => {
      const sampler = steady(place);
      if (!sampler) return 'none';
      sampler.running.slow(times, ms);
      return `${sampler.id}, ${times.toFixed(1)} times as long`;
    },
    spoilSampler: (place, how, oneIn, ms) => {
      const sampler = steady(place);
      if (!sampler) return 'none';
      sampler.spoiler.spoil(how, oneIn, ms);
      return `${sampler.id}, ${how}, one in ${oneIn}`;
    },
    lines,
    exits,
    end: async () => {
      await Promise.all(machines.map((machine) => machine.end()));
      for (const sampler of samplers) if (sampler) stopSampler(sampler);
    },
  };
};
