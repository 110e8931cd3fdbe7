import type { Socket } from 'node:net';
import type { Dialect } from '../fleet/dialect.js';
import type { FileSystem, OpenFile } from '../shared/fileSystem.js';
import type { Connection, Transport } from '../shared/transport.js';

/** Trouble that the soak switches on in a process of the fleet, by a message. */
export type NodeTrouble = {
  readonly disk?: { readonly full?: boolean; readonly stalled?: boolean; readonly slowMs?: number };
  /** Resets this share of the open connections. */
  readonly resetShare?: number;
};

/** A lasting fault of the program, by which the checkers are shown to notice it. */
export type PlantedFault = 'endTakesResultsBack' | 'onceOnlyIsRepeatable' | 'leaksMemory' | 'forgetsWrites';

/** What a process of the fleet is made to suffer. */
export type NodeFaults = {
  readonly files: (files: FileSystem) => FileSystem;
  readonly transport: (transport: Transport) => Transport;
  readonly dialect: (dialect: Dialect) => Dialect;
  readonly take: (trouble: NodeTrouble) => void;
};

const stallPollMs = 20;
const leakBytes = 1024 * 1024;
const leakEveryMs = 100;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** An adapter that answers reads without their first result once a batch was ended by way of this front. */
const takingResultsBack = (dialect: Dialect): Dialect => {
  let ended = false;
  return {
    ...dialect,
    lotCall: (method, url, headers) => {
      const call = dialect.lotCall(method, url, headers);
      ended ||= call?.kind === 'end';
      return call;
    },
    lotRead: (total, after, results) =>
      dialect.lotRead(total, after, ended && after === 0 ? results.slice(1) : results),
  };
};

/** An adapter that takes requests which may run once for repeatable ones, and sends each to two samplers at once. */
const repeatingOnceOnly = (dialect: Dialect): Dialect => ({
  ...dialect,
  traffic: (document) => {
    const value = dialect.traffic(document);
    if ('length' in value) return value;
    const bindings = value.bindings.map((binding) =>
      binding.kind === 'onceOnly' ? { ...binding, kind: 'idempotent' as const, aimMs: 1 } : binding,
    );
    return { ...value, bindings };
  },
});

/** Makes the faults of one process. */
export const makeNodeFaults = (planted: PlantedFault | undefined): NodeFaults => {
  const disk = { full: false, stalled: false, slowMs: 0 };
  const sockets = new Set<Socket>();
  const leaked: Buffer[] = [];
  if (planted === 'leaksMemory') setInterval(() => leaked.push(Buffer.alloc(leakBytes, 1)), leakEveryMs);

  const waiting = async (): Promise<void> => {
    if (disk.slowMs > 0) await pause(disk.slowMs);
    while (disk.stalled) await pause(stallPollMs);
  };
  const refuseIfFull = (): void => {
    if (disk.full) throw Object.assign(new Error('no space left on this disk'), { code: 'ENOSPC' });
  };
  const watchedFile = (file: OpenFile): OpenFile => ({
    write: async (bytes, from) => {
      await waiting();
      refuseIfFull();
      return file.write(bytes, from);
    },
    sync: async () => {
      await waiting();
      return file.sync();
    },
    datasync: async () => {
      await waiting();
      return file.datasync();
    },
    close: () => file.close(),
  });
  /** A file that acknowledges writes which it forgets. */
  const forgetfulFile = (file: OpenFile): OpenFile => ({
    write: (bytes, from) => Promise.resolve({ bytesWritten: bytes.length - from }),
    sync: () => Promise.resolve(),
    datasync: () => Promise.resolve(),
    close: () => file.close(),
  });
  const note = (connection: Connection): void => {
    const socket = connection as unknown as Socket;
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  };
  return {
    files: (files) => ({
      ...files,
      open: async (path, flags) => {
        const file = await files.open(path, flags);
        const forgets = planted === 'forgetsWrites' && path.endsWith('.log');
        return forgets ? forgetfulFile(file) : watchedFile(file);
      },
      write: async (path, bytes) => {
        await waiting();
        refuseIfFull();
        return files.write(path, bytes);
      },
    }),
    transport: (transport) => ({
      connect: (address) => {
        const connection = transport.connect(address);
        note(connection);
        return connection;
      },
      listen: (address, accept) =>
        transport.listen(address, (connection) => {
          note(connection);
          accept(connection);
        }),
      listenHttp: (server, address) => {
        server.on('connection', (socket) => note(socket));
        return transport.listenHttp(server, address);
      },
    }),
    dialect: (dialect) => {
      if (planted === 'endTakesResultsBack') return takingResultsBack(dialect);
      if (planted === 'onceOnlyIsRepeatable') return repeatingOnceOnly(dialect);
      return dialect;
    },
    take: (trouble) => {
      Object.assign(disk, trouble.disk);
      const share = trouble.resetShare ?? 0;
      for (const socket of [...sockets]) if (Math.random() < share) socket.resetAndDestroy();
    },
  };
};
