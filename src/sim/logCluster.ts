import { Effect, type Context } from 'effect';
import { openRecords, type Records } from '../core/records.js';
import { makeRegister, type Outcome, type Register } from '../core/register.js';
import { makeVoter, type Voter } from '../core/voter.js';
import { makeVoterIndex } from '../core/voterIndex.js';
import type { Answer, Ask } from '../gen/foxdeck_pb.js';
import type { Presence } from '../node/news.js';
import { makeUpkeep } from '../node/upkeep.js';
import { answers } from '../shared/answers.js';
import { brands } from '../shared/brands.js';
import { Disk } from '../shared/disk.js';
import { Fault } from '../shared/fault.js';
import type { Links } from '../shared/links.js';
import { memoryLog } from '../shared/memoryLog.js';

/** The files of one core. */
export type Files = Map<string, Uint8Array>;

/** One core of the cluster: its voter and its access to the configuration log. */
export type LogCore = {
  readonly name: string;
  readonly files: Files;
  readonly disk: string;
  readonly voter: Voter;
  readonly records: Records;
  readonly register: Register;
  readonly upkeep: ReturnType<typeof makeUpkeep>;
  readonly handle: (ask: Ask) => Effect.Effect<Answer>;
};

const diskOf = (files: Files): Context.Tag.Service<typeof Disk> => {
  const found = (path: string): Uint8Array => {
    const bytes = files.get(path);
    if (!bytes) throw new Error(`${path} is not there`);
    return bytes;
  };
  const tried = <A>(step: string, work: () => A): Effect.Effect<A, Fault> =>
    Effect.try({ try: work, catch: (cause) => new Fault({ step, reason: String(cause) }) });
  const folderOf = (path: string): string => path.slice(0, path.lastIndexOf('/'));
  return {
    makeFolder: () => Effect.void,
    list: (path) =>
      tried('list', () =>
        [...files.keys()].filter((name) => folderOf(name) === path).map((name) => name.slice(path.length + 1)),
      ),
    read: (path) => tried('read', () => found(path)),
    write: (path, bytes) => tried('write', () => void files.set(path, bytes)),
    syncFile: () => Effect.void,
    rename: (from, to) =>
      tried('rename', () => {
        files.set(to, found(from));
        files.delete(from);
      }),
    syncFolder: () => Effect.void,
    remove: (path) => tried('remove', () => void files.delete(path)),
  };
};

/** Cores on the product's own voters, records and register, on real time, joined by calls in memory. */
export const makeLogCluster = (keepSequences: number) => {
  const cores = new Map<string, LogCore>();
  const down = new Set<string>();
  const cut = new Set<string>();
  const log = memoryLog({ node: 'cluster', wall: () => Date.now(), most: 1, print: () => undefined });
  let diskCount = 0;
  let changes = 0;

  const presences = (): ReadonlyArray<Presence> =>
    [...cores.values()]
      .filter((core) => !down.has(core.name))
      .map((core) => ({
        name: core.name,
        domain: 'zone',
        roles: ['core'],
        peer: brands.address(core.name),
        http: brands.address(core.name),
        state: 'ready',
        sequence: core.register.known()?.sequence ?? 0,
        disk: core.disk,
        coreFresh: core.voter.fresh(),
        duties: [],
      }));
  const time = {
    granted: () => brands.millis(performance.now()),
    held: () => brands.millis(performance.now()),
    wall: () => brands.millis(Date.now()),
    chance: Math.random,
    identity: () => `disk-${(diskCount += 1)}`,
  };
  const open = async (name: string, files: Files, disk: string, restarted: boolean): Promise<LogCore> => {
    const links: Context.Tag.Service<typeof Links> = {
      serve: () => Effect.void,
      ask: (address, ask) =>
        Effect.suspend(() => {
          const core = cores.get(address);
          if (!core || down.has(address) || down.has(name) || cut.has(`${name}>${address}`))
            return Effect.fail(new Fault({ step: 'ask', cohortMember: address, reason: 'no connection' }));
          return Effect.flatMap(core.handle(ask), (answer) =>
            cut.has(`${address}>${name}`)
              ? Effect.fail(new Fault({ step: 'ask', cohortMember: address, reason: 'no answer', unknown: true }))
              : Effect.succeed(answer),
          );
        }),
    };
    const register = makeRegister({
      name,
      proposer: name,
      leaseMs: 1,
      links,
      time,
      log,
      nodes: presences,
      learnt: () => undefined,
    });
    const index = makeVoterIndex();
    const records = await Effect.runPromise(
      openRecords('register', log, index.noted).pipe(Effect.provideService(Disk, diskOf(files))),
    );
    const voter = makeVoter({
      disk,
      index,
      records,
      restarted,
      leaseMs: 1,
      fencedLeaseMs: 50,
      keepSequences,
      time,
      log,
      learnt: register.learn,
    });
    const chosen = await Effect.runPromise(voter.chosen);
    if (chosen) register.learn(chosen.value);
    const handle = (ask: Ask): Effect.Effect<Answer> => {
      const known = voter.handle(ask);
      if (known._tag === 'None') return Effect.succeed(answers.done());
      return Effect.catchAll(known.value, (fault) => Effect.succeed(answers.bounce(fault.step, fault.message)));
    };
    const upkeep = makeUpkeep({
      context: { register, links, time, news: { nodes: presences }, settings: { name, foundingCores: 3 } },
      voter,
      disk: { id: disk, fresh: !restarted },
      handle,
    });
    const core = { name, files, disk, voter, records, register, upkeep, handle };
    cores.set(name, core);
    return core;
  };

  const core = (name: string): LogCore => cores.get(name)!;
  const submit = (at: string, document: object): Promise<Outcome> =>
    Effect.runPromise(core(at).register.change(Buffer.from(JSON.stringify(document))));
  return {
    core,
    submit,
    /** Starts a core on an empty disk. */
    add: (name: string): Promise<LogCore> => open(name, new Map(), time.identity(), false),
    /** Starts a core anew on its disk. */
    restart: (name: string): Promise<LogCore> => {
      down.delete(name);
      return open(name, core(name).files, core(name).disk, true);
    },
    found: (names: ReadonlyArray<string>): Promise<void> =>
      Effect.runPromise(core(names[0]!).register.found(names.map((name) => ({ name, disk: core(name).disk })))),
    stop: (name: string): void => void down.add(name),
    start: (name: string): void => void down.delete(name),
    /** Loses what one core sends to another. */
    cut: (from: string, to: string): void => void cut.add(`${from}>${to}`),
    heal: (): void => cut.clear(),
    /** Makes so many changes, one after the other. */
    change: async (at: string, count: number): Promise<void> => {
      for (let n = 0; n < count; n += 1) {
        const outcome = await submit(at, { id: `later/${(changes += 1)}` });
        if (outcome.state !== 'accepted') throw new Error(`change ${changes}: ${JSON.stringify(outcome)}`);
      }
    },
    /** Replaces a voter by another core. */
    replace: async (at: string, remove: string, add: string): Promise<void> => {
      const outcome = await submit(at, { id: `replace/${remove}/${add}`, voters: { remove, add } });
      if (outcome.state !== 'accepted') throw new Error(`${remove} by ${add}: ${JSON.stringify(outcome)}`);
      await Effect.runPromise(Effect.ignore(core(add).upkeep.follow));
      await Effect.runPromise(core(add).upkeep.backfill);
    },
  };
};

/** A cluster of cores whose configuration log a test drives. */
export type LogCluster = ReturnType<typeof makeLogCluster>;
