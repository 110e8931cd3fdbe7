import { Effect, type Context } from 'effect';
import { deployment, type Deployment } from '../dev/deployment.js';
import { startStandIn, type Sight, type StandIn } from '../dev/standIn.js';
import { startNode, type Node } from '../node/node.js';
import { brands, type Address } from '../shared/brands.js';
import { Disk } from '../shared/disk.js';
import { Http } from '../shared/http.js';
import { Links } from '../shared/links.js';
import { Log } from '../shared/log.js';
import { memoryLog } from '../shared/memoryLog.js';
import { settings, type Settings } from '../shared/settings.js';
import { Timepiece } from '../shared/timepiece.js';
import { simDisk, type SimDisk } from './simDisk.js';
import { simNet, type SimNet } from './simNet.js';
import type { Process, World } from './world.js';

/** A machine of the simulated fleet. */
export type Machine = {
  readonly name: string;
  readonly role: 'core' | 'store' | 'front' | 'sampler';
  readonly service: string;
  readonly http: Address;
  readonly disk: SimDisk;
  process: Process;
  node: Node | undefined;
  standIn: StandIn | undefined;
  readonly start: () => void;
};

/** A deployment inside a world. */
export type SimFleet = {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly fronts: ReadonlyArray<Address>;
  readonly net: SimNet;
  readonly sights: ReadonlyArray<Sight>;
  readonly lines: ReadonlyArray<string>;
  readonly client: (name: string, work: Effect.Effect<void, never, Http | Timepiece>) => void;
  readonly given: Deployment;
};

/** Boots a deployment in a world. */
export const startSimFleet = (world: World, given: Deployment, overrides: Partial<Settings> = {}): SimFleet => {
  const net = simNet(world);
  const sights: Sight[] = [];
  const lines: string[] = [];
  const nodes = deployment.nodes(given);
  const peerOf = (index: number): Address => brands.address(`127.0.0.1:${7100 + index}`);
  const samplerOf = (index: number): Address => brands.address(`127.0.0.1:${9100 + index}`);
  const httpOf = (index: number): Address => brands.address(`127.0.0.1:${8100 + index}`);
  const fronts = nodes.flatMap((node, index) => (node.role === 'front' ? [httpOf(index)] : []));
  const machines = new Map<string, Machine>();
  const logFor = (process: Process): Context.Tag.Service<typeof Log> =>
    memoryLog({ node: process.name, wall: process.time.wall, most: 2000, print: (line) => void lines.push(line) });

  const add = (
    name: string,
    role: Machine['role'],
    service: string,
    http: Address,
    boot: (machine: Machine) => Effect.Effect<void, unknown, Http | Timepiece | Log | Links | Disk>,
  ): void => {
    const machine: Machine = {
      name,
      role,
      service,
      http,
      disk: simDisk(world),
      process: world.process(name),
      node: undefined,
      standIn: undefined,
      start: () => {
        machine.process = world.process(name);
        const process = machine.process;
        process.fork(
          boot(machine).pipe(
            Effect.provideService(Disk, machine.disk.open(process)),
            Effect.provideService(Links, net.links(process)),
            Effect.provideService(Http, net.http(process)),
            Effect.provideService(Log, logFor(process)),
            Effect.provideService(Timepiece, process.time),
          ),
          (exit) => {
            if (exit._tag === 'Failure') {
              lines.push(`node=${name} event=start_failed reason=${JSON.stringify(String(exit.cause)).slice(0, 300)}`);
              process.kill();
            }
          },
        );
      },
    };
    machines.set(name, machine);
    machine.start();
  };

  nodes.forEach((place, index) =>
    add(place.name, place.role, '', httpOf(index), (machine) =>
      Effect.scoped(
        Effect.gen(function* () {
          const own: Settings = {
            ...settings.defaults,
            foundingCores: given.cores,
            name: place.name,
            domain: place.domain,
            roles: [place.role],
            peer: peerOf(index),
            http: httpOf(index),
            seeds: [0, 1, 2].map(peerOf),
            ...(place.role === 'front' ? {} : { data: 'data' }),
            ...overrides,
          };
          machine.node = yield* startNode(own);
          yield* Effect.async<never>(() => undefined);
        }),
      ),
    ),
  );
  deployment.samplers(given).forEach((sampler, index) =>
    add(sampler.name, 'sampler', sampler.service, samplerOf(index), (machine) =>
      Effect.scoped(
        Effect.gen(function* () {
          machine.standIn = yield* startStandIn({
            ...sampler,
            address: samplerOf(index),
            fronts,
            version: sampler.kind === 'model' ? 1 : 0,
            saw: (sight) => void sights.push({ ...sight, at: world.now() }),
          });
          yield* Effect.async<never>(() => undefined);
        }),
      ),
    ),
  );

  return {
    machines,
    fronts,
    net,
    sights,
    lines,
    given,
    client: (name, work) => {
      const process = world.process(name);
      process.fork(
        work.pipe(Effect.provideService(Http, net.http(process)), Effect.provideService(Timepiece, process.time)),
        (exit) => {
          if (exit._tag === 'Failure') lines.push(`client=${name} event=client_failed reason=${String(exit.cause)}`);
        },
      );
    },
  };
};
