import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, existsSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { deployment, type Deployment } from './deployment.js';
import { freePorts } from './freePorts.js';
import type { Sight } from './standIn.js';

type Member = {
  readonly name: string;
  readonly role: 'core' | 'store' | 'front' | 'sampler';
  readonly http: string;
  readonly peer: string;
  readonly arguments: ReadonlyArray<string>;
  readonly data: string;
};

/** A deployment as processes of this machine. */
export type Fleet = {
  readonly members: ReadonlyArray<Member>;
  readonly fronts: ReadonlyArray<string>;
  readonly start: (name: string) => void;
  readonly signal: (name: string, signal: NodeJS.Signals) => void;
  readonly ended: (name: string) => Promise<void>;
  readonly wipe: (name: string) => void;
  readonly sights: () => ReadonlyArray<Sight>;
  readonly log: (name: string) => string;
  readonly stop: () => Promise<void>;
};

const here = fileURLToPath(new URL('.', import.meta.url));

/** Starts a deployment's nodes and stand-ins in a folder, each a process of its own on loopback. */
export const startFleet = async (given: Deployment, folder: string, firstPort?: number): Promise<Fleet> => {
  mkdirSync(folder, { recursive: true });
  const nodes = deployment.nodes(given);
  const samplers = deployment.samplers(given);
  const count = nodes.length * 2 + samplers.length;
  const ports =
    firstPort === undefined ? await freePorts(count) : Array.from({ length: count }, (_, index) => firstPort + index);
  const at = (place: number): string => `127.0.0.1:${ports[place]}`;
  const peers = nodes.map((_, index) => at(index * 2 + 1));
  const seeds = peers.slice(0, 3);
  const members: Member[] = nodes.map((node, index) => {
    const file = join(folder, `${node.name}.json`);
    const data = join(folder, node.name);
    writeFileSync(
      file,
      JSON.stringify(
        {
          name: node.name,
          domain: node.domain,
          roles: [node.role],
          http: at(index * 2),
          peer: peers[index],
          seeds,
          foundingCores: given.cores,
          ...(node.role === 'front' ? {} : { data }),
        },
        undefined,
        2,
      ),
    );
    return {
      name: node.name,
      role: node.role,
      http: at(index * 2),
      peer: peers[index]!,
      arguments: [join(here, '../cli/foxdeck.js'), 'node', '--settings', file],
      data,
    };
  });
  const fronts = members.filter((member) => member.role === 'front').map((member) => member.http);
  const sightsFile = join(folder, 'sights.jsonl');
  writeFileSync(sightsFile, '');
  samplers.forEach((sampler, index) => {
    const address = at(nodes.length * 2 + index);
    const file = join(folder, `${sampler.name}.json`);
    writeFileSync(
      file,
      JSON.stringify(
        { ...sampler, address, fronts, version: sampler.kind === 'model' ? 1 : 0, sights: sightsFile },
        undefined,
        2,
      ),
    );
    members.push({
      name: sampler.name,
      role: 'sampler',
      http: address,
      peer: '',
      arguments: [join(here, 'standInMain.js'), file],
      data: '',
    });
  });
  const running = new Map<string, ChildProcess>();
  const member = (name: string): Member => {
    const found = members.find((each) => each.name === name);
    if (!found) throw new Error(`no member named ${name}`);
    return found;
  };
  const start = (name: string): void => {
    const child = spawn(process.execPath, [...member(name).arguments], { stdio: ['ignore', 'ignore', 'pipe'] });
    child.stderr!.pipe(createWriteStream(join(folder, `${name}.log`), { flags: 'a' }));
    running.set(name, child);
  };
  const ended = (name: string): Promise<void> =>
    new Promise((resolve) => {
      const child = running.get(name);
      if (!child || child.exitCode !== null || child.signalCode !== null) resolve();
      else child.once('exit', () => resolve());
    });
  for (const each of members) start(each.name);
  return {
    members,
    fronts,
    start,
    ended,
    signal: (name, signal) => void running.get(name)?.kill(signal),
    wipe: (name) => rmSync(member(name).data, { recursive: true, force: true }),
    sights: () =>
      readFileSync(sightsFile, 'utf8')
        .split('\n')
        .filter(Boolean)
        .map((line) => JSON.parse(line) as Sight),
    log: (name) => (existsSync(join(folder, `${name}.log`)) ? readFileSync(join(folder, `${name}.log`), 'utf8') : ''),
    stop: async () => {
      for (const child of running.values()) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
      await Promise.all([...running.keys()].map(ended));
    },
  };
};
