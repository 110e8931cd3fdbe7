import type { FleetSettings, Role } from '../../fleet/fleetTypes.js';
import type { Edge, Program } from '../../fleet/program.js';
import { startFleet } from '../../fleet/startFleet.js';
import { brands } from '../../shared/brands.js';
import { memoryLog } from '../../shared/memoryLog.js';
import { rendezvous } from '../../shared/rendezvous.js';
import { plainDialect } from '../../dev/plainDialect.js';
import { strictBounds } from '../../dev/strictBounds.js';
import type { Observation } from './observations.js';
import { makeVirtualDisk, type VirtualDisk } from './virtualFiles.js';
import { makeVirtualNetwork, type VirtualNetwork } from './virtualNetwork.js';
import { virtualSampler, type VirtualSampler } from './virtualSampler.js';
import type { VirtualProcess, VirtualWorld } from './virtualWorld.js';

/** How many machines of each kind there are at the start, and how many disks may be lost at once. */
export type FleetSize = {
  readonly cores: number;
  readonly stores: number;
  readonly fronts: number;
  readonly textSamplers: number;
  readonly plainSamplers: number;
  readonly zones: number;
  readonly tolerance: number;
};

/** A machine of the fleet. */
export type VirtualMachine = {
  readonly name: string;
  readonly role: Role;
  readonly disk: VirtualDisk;
  readonly process: () => VirtualProcess;
  readonly lit: () => boolean;
  /** False while it is set to stay down. */
  readonly running: () => boolean;
  /** Ends the process; its files stay as they are. */
  readonly kill: () => void;
  /** Takes the power away: unsynced writes may be lost, and peers hear nothing. */
  readonly losePower: () => void;
  readonly start: () => void;
  /** Asks the program to end in order. */
  readonly terminate: () => Promise<void>;
  readonly leave: () => void;
};

/** A simulated fleet of the programs that users run. */
export type VirtualFleet = {
  readonly network: VirtualNetwork;
  readonly machines: ReadonlyArray<VirtualMachine>;
  readonly of: (role: Role) => ReadonlyArray<VirtualMachine>;
  /** Adds a machine on an empty disk. */
  readonly add: (role: Role) => VirtualMachine;
  readonly controlOf: (machine: VirtualMachine) => string;
  readonly frontOf: (machine: VirtualMachine) => string;
  readonly restartSampler: (place: number, downMs: number) => string;
  /** Has a sampler leave in order; another life of it starts after its end. */
  readonly departSampler: (place: number, how: 'draining' | 'leaving') => string;
  readonly samplers: number;
  /** How many disks may be lost at once. */
  readonly tolerance: number;
  /** The last log lines of all processes. */
  readonly lines: ReadonlyArray<string>;
  /** Processes that ended by themselves. */
  readonly exits: ReadonlyArray<string>;
};

const ports = { peer: 7380, front: 8149, control: 8144, readiness: 8141, sampler: 9000 };
const seedCount = 3;
/** How far the list of cores that seeds are taken from may lag behind. */
const seedLagMs = 3000;
const restartMs = 400;
const linesMost = 20_000;
const beatMs = 800;
const counted = new Set<Role>(['core', 'store']);

/** Starts a fleet in a world; all machines begin within a third of a second. */
export const startVirtualFleet = (
  world: VirtualWorld,
  size: FleetSize,
  saw: (observation: Observation) => void,
  judged: {
    readonly calm: () => boolean;
    readonly inTouch: (front: string) => boolean;
    readonly keepsDiskIdentity?: boolean;
  },
): VirtualFleet => {
  const network = makeVirtualNetwork(world);
  const lines: string[] = [];
  const exits: string[] = [];
  const machines: VirtualMachine[] = [];
  const numbers: Record<Role, number> = { core: 0, store: 0, front: 0 };
  const firstSeeds = Array.from({ length: Math.min(seedCount, size.cores) }, (_, place) => `core-${place + 1}`);
  /** The cores that ran, as of each change. */
  const coreLists: Array<{ readonly at: number; readonly names: ReadonlyArray<string> }> = [];
  const noteCores = (): void => {
    const names = machines.filter(({ role, running }) => role === 'core' && running()).map(({ name }) => name);
    coreLists.push({ at: world.now(), names });
  };
  /** Seeds of a later life: three cores of a list that lags behind, others for each name and life. */
  const laterSeeds = (name: string, life: number): ReadonlyArray<string> => {
    const listed = coreLists.filter(({ at }) => at <= world.now() - seedLagMs).at(-1)?.names ?? firstSeeds;
    return rendezvous(`${name}#${life}`, listed).slice(0, seedCount);
  };
  let diskCount = 0;

  const settingsOf = (
    name: string,
    role: Role,
    number: number,
    firstStart: boolean,
    seeds: ReadonlyArray<string>,
  ): FleetSettings => ({
    name,
    role,
    zone: `zone-${(number % size.zones) + 1}`,
    peer: `${name}:${ports.peer}`,
    listen: {
      ...(role === 'front' && { front: `${name}:${ports.front}`, readiness: `${name}:${ports.readiness}` }),
      ...(role === 'core' && { control: `${name}:${ports.control}` }),
    },
    seeds: seeds.map((seed) => `${seed}:${ports.peer}`),
    ...(counted.has(role) && { data: `/data/${name}` }),
    firstStart,
    tolerance: size.tolerance,
    beatMs,
    bounds: strictBounds,
  });

  const add = (role: Role, firstStart = false): VirtualMachine => {
    numbers[role] += 1;
    const name = `${role}-${numbers[role]}`;
    const number = numbers[role];
    const disk = makeVirtualDisk(world);
    let lit = true;
    let running = false;
    let life = 0;
    let process = world.spawn(`${name}#0`);
    let program: Program | undefined;
    const host = { name, lit: () => lit };
    const edgeOf = (owner: VirtualProcess): Edge => ({
      transport: network.transport(host, owner),
      files: disk.open(owner),
      time: {
        granted: () => brands.millis(world.now()),
        held: () => brands.millis(world.now()),
        wall: () => brands.millis(Date.now()),
        chance: world.chance,
        identity: () => `${name}-disk${judged.keepsDiskIdentity ? '' : `-${(diskCount += 1)}`}`,
      },
      log: memoryLog({
        node: name,
        wall: Date.now,
        most: 1,
        print: (line) => {
          lines.push(`${world.now().toFixed(1)} ${line}`);
          if (lines.length > linesMost) lines.splice(0, linesMost / 2);
        },
      }),
    });
    const run = (): void => {
      life += 1;
      const owner = world.spawn(`${name}#${life}`);
      owner.wallOffsetMs = process.wallOffsetMs;
      process = owner;
      program = undefined;
      world.schedule(owner, 0, () => {
        const isFirst = firstStart && life === 1;
        const seeds = isFirst ? firstSeeds : laterSeeds(name, life);
        startFleet(settingsOf(name, role, number, isFirst, seeds), plainDialect, edgeOf(owner)).then(
          (started) => (program = started),
          (cause: unknown) => {
            exits.push(`${world.now().toFixed(0)} ${name}: ${String(cause)}`);
            owner.kill();
            world.schedule(world.outside, restartMs, () => {
              if (running && process === owner) run();
            });
          },
        );
      });
    };
    const machine: VirtualMachine = {
      name,
      role,
      disk,
      process: () => process,
      lit: () => lit,
      running: () => running,
      kill: () => process.kill(),
      losePower: () => {
        lit = false;
        process.kill();
        disk.losePower();
      },
      start: () => {
        lit = true;
        running = true;
        noteCores();
        process.kill();
        run();
      },
      terminate: () => {
        const owner = process;
        return new Promise((resolve) => {
          world.schedule(owner, 0, () => {
            const stopped = program?.stop() ?? Promise.resolve();
            void stopped.finally(() => {
              owner.kill();
              resolve();
            });
          });
          owner.onEnd(() => resolve());
        });
      },
      leave: () => {
        running = false;
        noteCores();
        process.kill();
        lit = false;
      },
    };
    machines.push(machine);
    return machine;
  };
  for (const role of ['core', 'store', 'front'] as const)
    for (let nth = 0; nth < size[`${role}s`]; nth += 1) {
      const machine = add(role, true);
      world.schedule(world.outside, world.between(0, 300), machine.start);
    }

  const cores = Array.from({ length: size.cores }, (_, place) => `core-${place + 1}:${ports.control}`);
  const samplerCount = size.textSamplers + size.plainSamplers;
  const samplerLives = Array.from({ length: samplerCount }, () => 0);
  const samplerProcesses: VirtualProcess[] = [];
  const samplers: VirtualSampler[] = [];
  const departing = new Set<VirtualProcess>();
  const startSampler = (place: number): string => {
    const name = `sampler-${place + 1}`;
    samplerLives[place]! += 1;
    const id = `${name}.${samplerLives[place]}`;
    const process = world.spawn(id);
    samplerProcesses[place] = process;
    world.schedule(process, 0, () => {
      samplers[place] = virtualSampler.start({
        ...judged,
        world,
        transport: network.transport({ name, lit: () => true }, process),
        id,
        address: `${name}:${ports.sampler}`,
        zone: `zone-${(place % size.zones) + 1}`,
        model: place < size.textSamplers,
        cores,
        beatMs,
        saw,
      });
    });
    return id;
  };
  for (let place = 0; place < samplerCount; place += 1)
    world.schedule(world.outside, 1000 + world.between(0, 600), () => void startSampler(place));

  return {
    network,
    machines,
    of: (role) => machines.filter((machine) => machine.role === role),
    add: (role) => add(role),
    controlOf: ({ name }) => `${name}:${ports.control}`,
    frontOf: ({ name }) => `${name}:${ports.front}`,
    samplers: samplerCount,
    tolerance: size.tolerance,
    restartSampler: (place, downMs) => {
      const process = samplerProcesses[place];
      if (!process?.alive() || departing.has(process)) return 'none';
      process.kill();
      world.schedule(world.outside, downMs, () => void startSampler(place));
      return `sampler-${place + 1}.${samplerLives[place]}`;
    },
    departSampler: (place, how) => {
      const process = samplerProcesses[place];
      if (!process?.alive() || departing.has(process)) return 'none';
      departing.add(process);
      const gone = (): void => {
        process.kill();
        world.schedule(world.outside, 500, () => void startSampler(place));
      };
      world.schedule(process, 0, () => samplers[place]!.depart(how, gone));
      return `sampler-${place + 1}.${samplerLives[place]}, ${how}`;
    },
    lines,
    exits,
  };
};
