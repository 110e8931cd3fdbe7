import { accessSync, constants, mkdirSync, readFileSync } from 'node:fs';
import { defineCommand } from 'citty';
import { Deferred, Effect } from 'effect';
import { realDisk } from '../edge/realDisk.js';
import { realHttp } from '../edge/realHttp.js';
import { realLinks } from '../edge/realLinks.js';
import { realLog } from '../edge/realLog.js';
import { realTime } from '../edge/realTime.js';
import { startNode } from '../node/node.js';
import { checked, type Reason } from '../shared/checked.js';
import { Disk } from '../shared/disk.js';
import { Http } from '../shared/http.js';
import { Links } from '../shared/links.js';
import { Log } from '../shared/log.js';
import { settings, type Settings } from '../shared/settings.js';
import { Timepiece } from '../shared/timepiece.js';

const worded = (reason: Reason): string => `${reason.path ? `${reason.path}: ` : ''}${reason.message}`;

const stop = (line: string): never => {
  process.stderr.write(`foxdeck: ${line}\n`);
  process.exit(2);
};

const flags = {
  settings: { type: 'string', description: 'a JSON file of settings; flags win over it' },
  name: { type: 'string' },
  domain: { type: 'string' },
  roles: { type: 'string', description: 'front, store, core, parted by commas' },
  peer: { type: 'string', description: 'address for the other nodes' },
  http: { type: 'string', description: 'address for callers, samplers, trainers and operators' },
  seeds: { type: 'string', description: 'up to three peer addresses, parted by commas' },
  data: { type: 'string', description: 'the data folder (roles store and core)' },
  foundingCores: { type: 'string', description: 'how many fresh cores found the fleet' },
  leaseMs: { type: 'string' },
  samplerLeaseMs: { type: 'string' },
  bodyLimit: { type: 'string' },
  inFlight: { type: 'string' },
} as const;

const listed = new Set(['roles', 'seeds']);
const numbers = new Set(['foundingCores', 'leaseMs', 'samplerLeaseMs', 'bodyLimit', 'inFlight']);

const fromFile = (path: string | undefined): object => {
  if (path === undefined) return {};
  try {
    return JSON.parse(readFileSync(path, 'utf8')) as object;
  } catch (cause) {
    return stop(`settings ${path}: ${cause instanceof Error ? cause.message : String(cause)}`);
  }
};

const given = (args: Readonly<Record<string, unknown>>): object =>
  Object.fromEntries(
    Object.keys(flags).flatMap((name) => {
      const value = args[name];
      if (name === 'settings' || typeof value !== 'string') return [];
      return [[name, listed.has(name) ? value.split(',') : numbers.has(name) ? Number(value) : value]];
    }),
  );

const read = (args: Readonly<Record<string, unknown>>): Settings => {
  const document = { ...fromFile(args['settings'] as string | undefined), ...given(args) };
  const shape = checked<Partial<Settings>>(settings.schema, document);
  if (shape.isErr) return stop(`settings: ${shape.error.map(worded).join('; ')}`);
  const whole = { ...settings.defaults, ...shape.value } as Settings;
  if (whole.data !== undefined) {
    try {
      mkdirSync(whole.data, { recursive: true });
      accessSync(whole.data, constants.W_OK);
    } catch (cause) {
      return stop(`data: ${whole.data} can't be written: ${cause instanceof Error ? cause.message : String(cause)}`);
    }
  }
  return whole;
};

const drainMs = 30_000;

/** `foxdeck node`: runs one node until it is told to stop. */
export const nodeCommand = defineCommand({
  meta: { name: 'node', description: 'Runs a node of the fleet.' },
  args: flags,
  run: async ({ args }) => {
    const own = read(args);
    const log = realLog(own.name);
    const program = Effect.scoped(
      Effect.gen(function* () {
        const told = yield* Deferred.make<string>();
        for (const signal of ['SIGTERM', 'SIGINT'] as const)
          process.on(signal, () => void Deferred.unsafeDone(told, Effect.succeed(signal)));
        const links = yield* realLinks(log);
        const node = yield* startNode(own).pipe(Effect.provideService(Links, links));
        const signal = yield* Deferred.await(told);
        log.event('stopping', { signal });
        yield* node.drain(drainMs);
      }),
    ).pipe(
      Effect.provideService(Disk, realDisk(own.data ?? '.')),
      Effect.provideService(Http, realHttp),
      Effect.provideService(Log, log),
      Effect.provideService(Timepiece, realTime()),
    );
    const exit = await Effect.runPromise(Effect.either(program));
    if (exit._tag === 'Left') stop(exit.left.message);
    process.exit(0);
  },
});
