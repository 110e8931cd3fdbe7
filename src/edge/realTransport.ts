import { createConnection, createServer } from 'node:net';
import { Fault } from '../shared/fault.js';
import { hostPort } from '../shared/hostPort.js';
import type { Transport } from '../shared/transport.js';

/** How long a connection may be idle before the first keep-alive probe. */
const probeAfterMs = 1000;
const socketOptions = { noDelay: true, keepAlive: true, keepAliveInitialDelay: probeAfterMs };

/** TCP of the operating system. */
export const realTransport: Transport = {
  connect: (address) => createConnection({ ...hostPort(address), ...socketOptions }),
  listen: (address, accept) =>
    new Promise((resolve, reject) => {
      const server = createServer(socketOptions, accept);
      server.once('error', (cause) => reject(new Fault({ step: 'listen', reason: `${address}: ${cause.message}` })));
      server.listen(hostPort(address), () => resolve(server));
    }),
  listenHttp: (server, address) =>
    new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(hostPort(address), () => resolve());
    }),
};
