import { createServer, type AddressInfo, type Socket } from 'node:net';

/** A request as the stand-in read it. */
export type StandInAsk = {
  readonly attempt: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly path: string;
  readonly body: string;
  /** The place of its connection in the order of arrival. */
  readonly connection: number;
  readonly socket: Socket;
};

/** A sampler made of bytes: it notes each whole request, and the script writes what it likes. */
export type StandInSampler = {
  readonly address: string;
  readonly asks: ReadonlyArray<StandInAsk>;
  readonly connections: () => number;
  readonly close: () => Promise<void>;
};

/** Starts a stand-in sampler on a port that the system picks. */
export const standInSampler = async (script: (ask: StandInAsk, nth: number) => void): Promise<StandInSampler> => {
  const asks: StandInAsk[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer({ noDelay: true }, (socket) => {
    const connection = connections;
    connections += 1;
    sockets.add(socket);
    let held = '';
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      held += chunk.toString('latin1');
      for (;;) {
        const end = held.indexOf('\r\n\r\n');
        if (end < 0) return;
        const [first, ...lines] = held.slice(0, end).split('\r\n');
        const headers = Object.fromEntries(
          lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 2)]),
        );
        const size = Number(headers['content-length'] ?? 0);
        if (held.length < end + 4 + size) return;
        const body = held.slice(end + 4, end + 4 + size);
        held = held.slice(end + 4 + size);
        const [, path = ''] = first!.split(' ');
        const ask = { attempt: headers['attempt'] ?? '', headers, path, body, connection, socket };
        asks.push(ask);
        script(ask, asks.length - 1);
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    asks,
    connections: () => connections,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
};
