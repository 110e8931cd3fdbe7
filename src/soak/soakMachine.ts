import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { VirtualMachine } from '../sim/fleet/virtualFleet.js';
import type { VirtualProcess } from '../sim/fleet/virtualWorld.js';
import type { NodeTrouble } from './nodeFaults.js';
import type { SoakSettings } from './soakNode.js';

/** A machine of the soak: one process of the fleet on loopback, and its data folder. */
export type SoakMachine = VirtualMachine & {
  readonly settings: SoakSettings;
  /** The process that runs now; undefined while it is down. */
  readonly pid: () => number | undefined;
  /** Writes its settings anew and sends SIGHUP. */
  readonly hangUp: () => void;
  readonly trouble: (trouble: NodeTrouble) => void;
  /** Ends it for good, and answers once its process is gone. */
  readonly end: () => Promise<void>;
};

/** What a machine tells of itself. */
export type MachineEvents = {
  /** A process that nobody ended has ended. */
  readonly exitedByItself: (name: string, how: string) => void;
  /** A process did not end within its grace after SIGTERM, and was killed. */
  readonly overstayed: (name: string) => void;
  readonly notice: (name: string, what: string) => void;
  /** A running process was told to stop, or was disturbed. */
  readonly signalled: (name: string, how: 'stop' | 'disturb') => void;
};

const restartMs = 400;
const graceSlackMs = 4000;
const program = fileURLToPath(new URL('./soakNode.js', import.meta.url));
const flags = ['--max-semi-space-size=8', '--max-old-space-size=220'];

/** Processes that run; those that are left when this one ends are ended with it. */
const children = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

/** Makes a machine; nothing runs until `start`. */
export const makeSoakMachine = (options: {
  readonly folder: string;
  readonly settings: SoakSettings;
  /** The addresses of cores that a process is told now. */
  readonly seeds: () => ReadonlyArray<string>;
  readonly events: MachineEvents;
}): SoakMachine => {
  const { folder, settings, seeds, events } = options;
  const { name, role } = settings;
  const file = join(folder, `${name}.json`);
  let child: ChildProcess | undefined;
  let exited: Promise<void> = Promise.resolve();
  let [running, frozen, expected, lives] = [false, false, false, 0];
  let emptied = false;
  /** Whether the process that runs has said anything yet; before that a signal ends any process. */
  let started = false;
  let ended: Array<() => void> = [];

  const alive = (): boolean => child !== undefined && child.exitCode === null && child.signalCode === null;
  /** A process that reads at any time reads the whole of the old or of the new settings. */
  const writeSettings = (): void => {
    const firstStart = settings.firstStart && lives === 0;
    writeFileSync(`${file}.new`, JSON.stringify({ ...settings, seeds: seeds(), firstStart }));
    renameSync(`${file}.new`, file);
  };
  const launch = (): void => {
    if (!running || alive()) return;
    if (settings.data !== undefined) {
      if (emptied) rmSync(settings.data, { recursive: true, force: true });
      mkdirSync(settings.data, { recursive: true });
    }
    emptied = false;
    writeSettings();
    lives += 1;
    expected = false;
    const launched = spawn(process.execPath, [...flags, program, file], { stdio: ['ignore', 'ignore', 'pipe', 'ipc'] });
    child = launched;
    children.add(launched);
    started = false;
    launched.stderr!.on('data', () => (started = true));
    launched.stderr!.pipe(createWriteStream(join(folder, `${name}.log`), { flags: 'a' }));
    events.notice(name, `life ${lives} starts as ${launched.pid}`);
    exited = new Promise((resolve) =>
      launched.once('exit', (code, signal) => {
        children.delete(launched);
        resolve(gone(code, signal));
      }),
    );
  };
  const gone = (code: number | null, signal: string | null): void => {
    for (const listener of ended.splice(0)) listener();
    if (expected) return;
    events.exitedByItself(name, signal ?? `status ${code}`);
    setTimeout(() => {
      if (running && !alive()) launch();
    }, restartMs);
  };
  const signal = (which: NodeJS.Signals): void => void (alive() && child!.kill(which));
  const disturb = (which: NodeJS.Signals): void => {
    if (alive()) events.signalled(name, 'disturb');
    signal(which);
  };
  const kill = (): void => {
    expected = true;
    frozen = false;
    disturb('SIGKILL');
  };
  const trouble = (sent: NodeTrouble): void => {
    if (sent.resetShare !== undefined) events.signalled(name, 'disturb');
    if (alive() && child!.connected) child!.send(sent);
  };
  const current: VirtualProcess = {
    name,
    alive,
    frozen: () => frozen,
    kill,
    freeze: () => {
      frozen = true;
      disturb('SIGSTOP');
    },
    thaw: () => {
      frozen = false;
      disturb('SIGCONT');
    },
    onEnd: (listener) => void ended.push(listener),
    wallOffsetMs: 0,
  };
  const state = { slowBy: 1, stalled: false };
  const disk: VirtualMachine['disk'] = {
    open: () => {
      throw new Error('a real disk is opened by its process');
    },
    losePower: () => undefined,
    wipe: () => void (emptied = true),
    corrupt: () => undefined,
    holding: () => [],
    trouble: {
      get slowBy() {
        return state.slowBy;
      },
      set slowBy(times: number) {
        state.slowBy = times;
        trouble({ disk: { slowMs: times > 1 ? times : 0 } });
      },
      get stalled() {
        return state.stalled;
      },
      set stalled(on: boolean) {
        state.stalled = on;
        trouble({ disk: { stalled: on } });
      },
    },
    size: () => 0,
    files: () => 0,
  };
  return {
    name,
    role,
    hangUp: () => {
      writeSettings();
      if (started) signal('SIGHUP');
    },
    settings,
    disk,
    process: () => current,
    lit: () => running,
    running: () => running,
    pid: () => (alive() ? child!.pid : undefined),
    trouble,
    kill,
    losePower: kill,
    start: () => {
      running = true;
      kill();
      void exited.then(launch);
    },
    terminate: async () => {
      if (!alive()) return;
      expected = true;
      const [stopping, mostMs] = [child!, settings.bounds.graceMs + graceSlackMs];
      events.signalled(name, 'stop');
      stopping.kill('SIGTERM');
      const late = setTimeout(() => {
        if (stopping.exitCode !== null || stopping.signalCode !== null) return;
        if (!frozen) events.overstayed(name);
        events.signalled(name, 'disturb');
        stopping.kill('SIGKILL');
      }, mostMs);
      await exited;
      clearTimeout(late);
    },
    leave: () => {
      running = false;
      kill();
    },
    end: async () => {
      running = false;
      kill();
      ended = [];
      await exited;
    },
  };
};
