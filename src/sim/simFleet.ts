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

/** What a simulated machine does. */
export type MachineRole = 'core' | 'store' | 'front' | 'sampler';

/** A machine of the simulated fleet. */
export type Machine = {
  readonly name: string;
  readonly role: MachineRole;
  readonly service: string;
  readonly domain: string;
  readonly http: Address;
  readonly peer: Address;
  readonly disk: SimDisk;
  process: Process;
  node: Node | undefined;
  standIn: StandIn | undefined;
  /** A machine that is gone stays down whatever heals the fleet. */
  gone: boolean;
  readonly start: () => void;
  /** Gives it new addresses for its next start. */
  readonly move: () => void;
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
  /** Brings a machine of a role in that the deployment does not name. */
  readonly join: (role: 'core' | 'store' | 'front') => Machine;
  /** Whether every disk of the configured voters and stores is there, refilled and undamaged. */
  readonly whole: () => boolean;
};

/** Boots a deployment in a world. */
export const startSimFleet = (world: World, given: Deployment, overrides: Partial<Settings> = {}): SimFleet => {
  const net = simNet(world);
  const sights: Sight[] = [];
  const lines: string[] = [];
  const fronts: Address[] = [];
  const machines = new Map<string, Machine>();
  let places = 0;
  const addresses = (): { peer: Address; http: Address } => {
    places += 1;
    return { peer: brands.address(`127.0.0.1:${7100 + places}`), http: brands.address(`127.0.0.1:${8100 + places}`) };
  };
  const logFor = (process: Process): Context.Tag.Service<typeof Log> =>
    memoryLog({ node: process.name, wall: process.time.wall, most: 2000, print: (line) => void lines.push(line) });
  const seeds = (): ReadonlyArray<Address> =>
    [...machines.values()]
      .filter((machine) => machine.role === 'core')
      .slice(0, 3)
      .map((machine) => machine.peer);

  type Boot = (machine: Machine) => Effect.Effect<void, unknown, Http | Timepiece | Log | Links | Disk>;
  const add = (place: Pick<Machine, 'name' | 'role' | 'service' | 'domain'>, boot: Boot): Machine => {
    let at = addresses();
    const machine: Machine = {
      ...place,
      get peer() {
        return at.peer;
      },
      get http() {
        return at.http;
      },
      disk: simDisk(world),
      process: world.process(place.name),
      node: undefined,
      standIn: undefined,
      gone: false,
      move: () => {
        at = addresses();
      },
      start: () => {
        machine.process = world.process(place.name);
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
            if (exit._tag !== 'Failure') return;
            const reason = JSON.stringify(String(exit.cause)).slice(0, 300);
            lines.push(`node=${place.name} event=start_failed reason=${reason}`);
            process.kill();
          },
        );
      },
    };
    machines.set(place.name, machine);
    if (place.role === 'front') fronts.push(machine.http);
    return machine;
  };
  const asNode = (name: string, domain: string, role: 'core' | 'store' | 'front'): Machine =>
    add({ name, role, service: '', domain }, (machine) =>
      Effect.scoped(
        Effect.gen(function* () {
          const own: Settings = {
            ...settings.defaults,
            foundingCores: given.cores,
            name,
            domain,
            roles: [role],
            peer: machine.peer,
            http: machine.http,
            seeds: seeds(),
            ...(role === 'front' ? {} : { data: 'data' }),
            ...overrides,
          };
          machine.node = yield* startNode(own);
          yield* Effect.async<never>(() => undefined);
        }),
      ),
    );

  for (const place of deployment.nodes(given)) asNode(place.name, place.domain, place.role);
  for (const sampler of deployment.samplers(given)) {
    add({ name: sampler.name, role: 'sampler', service: sampler.service, domain: sampler.domain }, (machine) =>
      Effect.scoped(
        Effect.gen(function* () {
          machine.standIn = yield* startStandIn({
            ...sampler,
            address: machine.http,
            fronts,
            version: sampler.kind === 'model' ? 1 : 0,
            released: () => {
              if (machine.standIn) machine.process.fork(machine.standIn.leave);
              world.after(world.between(2500, 4500), () => {
                machine.process.kill();
                world.after(world.between(100, 800), () => {
                  if (!machine.process.alive() && !machine.gone) machine.start();
                });
              });
            },
            saw: (sight) => void sights.push({ ...sight, at: world.now() }),
          });
          yield* Effect.async<never>(() => undefined);
        }),
      ),
    );
  }
  for (const machine of machines.values()) machine.start();

  const identities = (): ReadonlyMap<string, string> => {
    const known = [...machines.values()].flatMap((machine) =>
      machine.process.alive() && machine.node ? machine.node.context.news.nodes() : [],
    );
    return new Map(known.map((node) => [node.name, node.disk]));
  };
  const whole = (): boolean => {
    const nodes = [...machines.values()].filter((machine) => machine.process.alive() && machine.node);
    const known = nodes
      .map((machine) => machine.node!.context.register.known())
      .sort((left, right) => (right?.sequence ?? 0) - (left?.sequence ?? 0))[0]?.configuration;
    if (!known || known.voters.length < given.cores || known.stores.previous.length > 0) return false;
    const disks = identities();
    const facts = (name: string) =>
      machines.get(name)?.node?.context.facts()['store'] as { damaged: number } | undefined;
    return (
      [...known.voters, ...known.stores.current].every(
        (member) => machines.get(member.name)?.process.alive() === true && disks.get(member.name) === member.disk,
      ) && known.stores.current.every((store) => facts(store.name)?.damaged === 0)
    );
  };

  return {
    machines,
    fronts,
    net,
    sights,
    lines,
    given,
    whole,
    join: (role) => {
      const number = [...machines.values()].filter((machine) => machine.role === role).length + 1;
      const machine = asNode(`${role}${number}`, given.domains[number % given.domains.length]!, role);
      machine.start();
      return machine;
    },
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
