import type { Socket } from 'node:net';
import type { Transport } from '../shared/transport.js';

/** How a sampler in trouble spoils an answer. */
export type SpoiltHow =
  /** A late copy of an earlier promise that a request did not run comes before it. */
  | 'surplus'
  /** A second copy of a promise comes in the slot of the next answer on its own connection. */
  | 'copy'
  /** A bit of its status is wrong: `200` arrives as `000`. */
  | 'status'
  /** A bit in the name of its stamp is wrong. */
  | 'stamp';

/** A transport whose HTTP servers spoil some of their answers while they are told to. */
export type AnswerSpoiler = {
  readonly transport: Transport;
  /** Spoils every so many-th answer for a while. */
  readonly spoil: (how: SpoiltHow, oneIn: number, ms: number) => void;
};

const headStart = 'HTTP/1.1 ';
const promises = /^HTTP\/1\.1 (503|421) /;

/** Spoils what servers write by way of a transport. */
export const makeAnswerSpoiler = (transport: Transport, now: () => number): AnswerSpoiler => {
  let trouble: { readonly how: SpoiltHow; readonly oneIn: number; readonly until: number } | undefined;
  let answers = 0;
  let lastPromise = '';

  /** Copies that are still to come, by connection. */
  const copies = new WeakMap<Socket, string>();

  const spoilt = (socket: Socket, head: string, how: SpoiltHow): string => {
    if (how === 'copy') {
      if (promises.test(head)) copies.set(socket, head);
      return head;
    }
    if (how === 'surplus') return lastPromise + head;
    if (how === 'status') return head.replace(/^HTTP\/1\.1 \d/, `${headStart}0`);
    return head.replace(/^(foxdeck-stam)p:/im, '$1q:');
  };
  const written = (socket: Socket, head: string): string => {
    answers += 1;
    const copy = copies.get(socket) ?? '';
    copies.delete(socket);
    const spoils = trouble !== undefined && now() < trouble.until && answers % trouble.oneIn === 0;
    const bytes = spoils ? spoilt(socket, head, trouble!.how) : head;
    if (promises.test(head)) lastPromise = head;
    return copy + bytes;
  };
  const watch = (socket: Socket): void => {
    const write = socket.write.bind(socket) as (chunk: unknown, ...others: unknown[]) => boolean;
    socket.write = ((chunk: unknown, ...others: unknown[]) => {
      // A response's head is one text, with as much of its body as was there.
      const isHead = typeof chunk === 'string' && chunk.startsWith(headStart);
      return write(isHead ? written(socket, chunk) : chunk, ...others);
    }) as typeof socket.write;
  };
  return {
    transport: {
      ...transport,
      listenHttp: (server, address) => {
        server.on('connection', watch);
        return transport.listenHttp(server, address);
      },
    },
    spoil: (how, oneIn, ms) => void (trouble = { how, oneIn, until: now() + ms }),
  };
};
