import type { Server } from 'node:http';
import type { Duplex } from 'node:stream';

/** The end of a TCP connection, as far as the fleet's programs use it. */
export type Connection = Duplex & {
  readonly connecting: boolean;
  readonly setNoDelay: (on: boolean) => unknown;
  readonly setTimeout: (ms: number) => unknown;
};

/** What listens at an address. */
export type Listener = { readonly close: () => unknown };

/** How a process opens and takes connections; addresses are `host:port`. */
export type Transport = {
  readonly connect: (address: string) => Connection;
  /** Answers how listening ends; fails with a Fault where the address is taken. */
  readonly listen: (address: string, accept: (connection: Connection) => void) => Promise<Listener>;
  readonly listenHttp: (server: Server, address: string) => Promise<void>;
};
