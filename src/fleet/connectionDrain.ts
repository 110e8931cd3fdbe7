import type { Server, ServerResponse, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** How a server's connections end when its process is told to stop. */
export type ConnectionDrain = {
  /** From now on a connection is closed after the answer that is under way on it; new ones are still taken. */
  readonly leave: () => void;
  /** Takes no connection any more and closes all that have no request under way, those that never had one too. */
  readonly close: () => void;
  /** True once `close` was called: a request that is read whole after it has no time left here. */
  readonly closed: () => boolean;
  /** Requests that began to arrive and are not answered. */
  readonly inFlight: () => number;
  /** Resolves once no request is under way, or after so many milliseconds. */
  readonly idle: (mostMs: number) => Promise<void>;
};

const pollMs = 30;

/**
 * Follows the connections of a server. `closeIdleConnections` of Node leaves out those on which no request came yet,
 * and those that become idle after it.
 */
export const drainConnections = (server: Server, now: () => number): ConnectionDrain => {
  const requestsOf = new Map<Socket, number>();
  let [leaving, closed, inFlight] = [false, false, 0];

  const change = (socket: Socket, by: 1 | -1): void => {
    inFlight += by;
    const open = requestsOf.get(socket);
    if (open !== undefined) requestsOf.set(socket, open + by);
  };
  const answered = (socket: Socket): void => {
    change(socket, -1);
    if (leaving && requestsOf.get(socket) === 0) socket.destroySoon();
  };
  server.on('connection', (socket: Socket) => {
    if (closed) return void socket.destroy();
    requestsOf.set(socket, 0);
    socket.once('close', () => requestsOf.delete(socket));
  });
  server.prependListener('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    change(socket, 1);
    response.once('close', () => answered(socket));
  });

  return {
    leave: () => void (leaving = true),
    close: () => {
      leaving = true;
      closed = true;
      server.close();
      for (const [socket, requests] of requestsOf) if (requests === 0) socket.destroy();
    },
    closed: () => closed,
    inFlight: () => inFlight,
    idle: async (mostMs) => {
      const until = now() + mostMs;
      while (inFlight > 0 && now() < until) await new Promise((resolve) => setTimeout(resolve, pollMs));
    },
  };
};
