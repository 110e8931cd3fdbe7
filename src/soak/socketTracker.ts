import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Transport } from '../shared/transport.js';

/** A transport whose connections and listeners can all be ended at once, as those of a process that dies. */
export type SocketTracker = { readonly transport: Transport; readonly close: () => void };

/** Tracks what is opened by way of a transport. */
export const makeSocketTracker = (transport: Transport): SocketTracker => {
  const sockets = new Set<Socket>();
  const servers = new Set<Server>();
  const note = (socket: Socket): void => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  };
  return {
    transport: {
      ...transport,
      connect: (address) => {
        const connection = transport.connect(address);
        note(connection as unknown as Socket);
        return connection;
      },
      listenHttp: (server, address) => {
        servers.add(server);
        server.on('connection', note);
        return transport.listenHttp(server, address);
      },
    },
    close: () => {
      for (const server of servers) server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
};
