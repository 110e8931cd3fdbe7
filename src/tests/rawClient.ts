import { connect, type Socket } from 'node:net';
import { turns } from './turns.js';

/** A client that writes bytes on one connection and reads what comes. */
export type RawClient = {
  readonly write: (text: string) => void;
  /** What was received so far. */
  readonly received: () => string;
  /** Resolves once the text was received. */
  readonly until: (text: string) => Promise<void>;
  /** True once the connection is ended or broken by the other side. */
  readonly ended: () => boolean;
  readonly close: () => void;
};

/** Opens a connection; fails where nobody listens. */
export const rawClient = async (address: string): Promise<RawClient> => {
  const [host, port] = address.split(':');
  const socket: Socket = connect({ host: host!, port: Number(port), noDelay: true });
  let [received, ended] = ['', false];
  await new Promise<void>((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => (received += chunk.toString('latin1')));
  socket.on('end', () => (ended = true));
  socket.on('close', () => (ended = true));
  return {
    write: (text) => void socket.write(text),
    received: () => received,
    until: (text) => turns.until(() => received.includes(text) || ended),
    ended: () => ended,
    close: () => void socket.destroy(),
  };
};
