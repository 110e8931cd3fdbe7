import { createServer } from 'node:net';

/** Ports below those that systems give to outgoing connections, which could take one while its owner is down. */
const firstPort = 10_000;
const portsMost = 22_000;
/** Processes that look for ports at the same time begin apart. */
const stride = 211;

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

let next = (process.pid * stride) % portsMost;

/** Ports of loopback that nobody listens on now; each is given once in a process. */
export const freePorts = async (count: number): Promise<ReadonlyArray<number>> => {
  const found: number[] = [];
  for (let tried = 0; found.length < count && tried < portsMost; tried += 1) {
    const port = firstPort + (next % portsMost);
    next += 1;
    if (await isFree(port)) found.push(port);
  }
  if (found.length < count) throw new Error(`${count} ports are wanted, ${found.length} are free`);
  return found;
};
