import { fork, spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import type { FleetSettings, Role } from '../fleet/fleetTypes.js';
import { freePorts } from './freePorts.js';
import { standInBounds } from './standInBounds.js';

/** One real process of the fleet. */
export type FleetProcess = {
  readonly name: string;
  readonly role: Role;
  readonly pid: number;
  readonly front: string;
  readonly control: string;
  readonly readiness: string;
  readonly peer: string;
  readonly data: string;
  /** When it said that it started, in milliseconds after its spawn, and the processor time until then. */
  readonly started: Promise<{ readonly ms: number; readonly cpuMs: number }>;
};

/** A whole fleet on loopback. */
export type LoopbackFleet = {
  readonly processes: ReadonlyArray<FleetProcess>;
  readonly of: (role: Role) => ReadonlyArray<FleetProcess>;
  /** Starts a helper process beside the fleet; it ends with the fleet. */
  readonly beside: (file: string, task: object) => ChildProcess;
  readonly stop: () => Promise<void>;
};

const here = fileURLToPath(new URL('.', import.meta.url));
/** Memory as a deployment sets it, in megabytes of old and of young space. */
const memory = { front: [160, 8], core: [160, 4], store: [220, 8] } as const;

const ended = (child: ChildProcess): Promise<void> =>
  new Promise((resolve) => {
    if (child.exitCode !== null || child.signalCode !== null) resolve();
    else child.once('exit', () => resolve());
  });

/** Bundles the program of a node as a deployment does; answers the file. */
const bundle = async (): Promise<string> => {
  const outfile = join(here, 'fleetMain.cjs');
  const [entryPoints, platform, format] = [[join(here, 'fleetMain.js')], 'node' as const, 'cjs' as const];
  await build({ entryPoints, outfile, bundle: true, minify: true, platform, format, target: 'node20' });
  return outfile;
};

const start = async (options: {
  readonly counts: Readonly<Record<Role, number>>;
  readonly folder: string;
  readonly program: string;
  readonly cpuMs: (pid: number) => number;
}): Promise<LoopbackFleet> => {
  mkdirSync(options.folder, { recursive: true });
  const children: ChildProcess[] = [];
  const roles = (['core', 'store', 'front'] as const).flatMap((role) =>
    Array.from({ length: options.counts[role] }, (_, place) => ({ role, name: `${role}-${place + 1}`, place })),
  );
  const ports = await freePorts(roles.length * 3);
  const at = (place: number, nth: number): string => `127.0.0.1:${ports[place * 3 + nth]}`;
  const seeds = roles.flatMap(({ role }, place) => (role === 'core' ? [at(place, 0)] : []));
  const processes = roles.map(({ role, name, place: nth }, place): FleetProcess => {
    const data = join(options.folder, name);
    const settings: FleetSettings = {
      name,
      role,
      zone: `zone-${(nth % 4) + 1}`,
      peer: at(place, 0),
      listen: { front: at(place, 1), readiness: at(place, 2), control: at(place, 1) },
      seeds,
      ...(role !== 'front' && { data }),
      firstStart: true,
      tolerance: 1,
      beatMs: 1200,
      bounds: { ...standInBounds, graceMs: 8000 },
    };
    const file = join(options.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    if (role !== 'front') mkdirSync(data, { recursive: true });
    const [old, young] = memory[role];
    const flags = [`--max-old-space-size=${old}`, `--max-semi-space-size=${young}`];
    const began = performance.now();
    const child = spawn(process.execPath, [...flags, options.program, file], { stdio: ['ignore', 'ignore', 'pipe'] });
    children.push(child);
    child.stderr.pipe(createWriteStream(join(options.folder, `${name}.log`)));
    const started = new Promise<{ ms: number; cpuMs: number }>((resolve, reject) => {
      child.stderr.on('data', (chunk: Buffer) => {
        if (/(^|\s|=)started\s/.test(chunk.toString()))
          resolve({ ms: performance.now() - began, cpuMs: options.cpuMs(child.pid!) });
      });
      child.once('exit', (code) => reject(new Error(`${name} ended with ${code}`)));
    });
    started.catch(() => undefined);
    return {
      name,
      role,
      pid: child.pid!,
      front: at(place, 1),
      control: at(place, 1),
      readiness: at(place, 2),
      peer: at(place, 0),
      data,
      started,
    };
  });
  const kill = (): void => {
    for (const child of children) child.kill('SIGKILL');
  };
  process.once('exit', kill);
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => process.exit(1));
  return {
    processes,
    of: (role) => processes.filter((each) => each.role === role),
    beside: (file, task) => {
      const child = fork(join(here, file), [JSON.stringify(task)], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] });
      children.push(child);
      return child;
    },
    stop: async () => {
      kill();
      process.off('exit', kill);
      await Promise.all(children.map(ended));
    },
  };
};

/** One call over HTTP; answers the status and the whole body. */
const call = (
  address: string,
  method: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
  body: string | undefined = undefined,
): Promise<{ readonly status: number; readonly body: string }> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const length = { 'content-length': String(Buffer.byteLength(body ?? '')) };
    const sent = request({ host, port, method, path, headers: { ...headers, ...length } }, (message) => {
      let text = '';
      message.setEncoding('utf8');
      message.on('data', (chunk: string) => (text += chunk));
      message.on('end', () => resolve({ status: message.statusCode ?? 0, body: text }));
      message.on('error', reject);
    });
    sent.setTimeout(5000, () => sent.destroy(new Error('no answer in time')));
    sent.on('error', reject);
    sent.end(body);
  });
/** Asks again and again until something holds. */
const until = async (what: string, holds: () => Promise<boolean> | boolean, mostMs: number): Promise<number> => {
  const began = performance.now();
  while (!(await Promise.resolve(holds()).catch(() => false))) {
    if (performance.now() - began > mostMs) throw new Error(`${what}: not within ${mostMs} ms`);
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  return performance.now() - began;
};

/** Fleets of real processes on loopback. */
export const loopbackFleet = { bundle, start, call, until };
