import { createServer, type AddressInfo } from 'node:net';

/** Ports of loopback that nobody listens on now. */
export const freePorts = async (count: number): Promise<ReadonlyArray<number>> => {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(servers.map((server) => new Promise<void>((done) => server.listen(0, '127.0.0.1', () => done()))));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
};
