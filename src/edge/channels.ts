import { create, fromBinary } from '@bufbuild/protobuf';
import { sizeDelimitedEncode, sizeDelimitedPeek } from '@bufbuild/protobuf/wire';
import { FrameSchema, type Answer, type Ask, type Frame } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import { Fault } from '../shared/fault.js';
import { slab, type Slab } from '../shared/slab.js';
import type { Connection, Listener, Transport } from '../shared/transport.js';
import type { CallSize } from './callMetrics.js';
import { frames } from './frames.js';
import { packedFrames } from './packedFrames.js';
import { packing } from './packing.js';
import { realTransport } from './realTransport.js';

type Waiting = {
  readonly done: (answer: Answer, bytes: number) => void;
  readonly failed: (fault: Fault) => void;
};
type Channel = { readonly socket: Connection; readonly pending: Slab<Waiting>; heardAt: number; unsent: Buffer[] };

/** Answers an ask, now or later, once. */
export type AskServer = (ask: Ask, reply: (answer: Answer) => void) => void;

/** Channels between the fleet's processes, with plain continuations. */
export type Channels = {
  readonly serve: (address: string, server: AskServer) => Promise<Listener>;
  readonly ask: (address: string, ask: Ask, timeLeftMs: number) => Promise<Answer>;
  /** Calls by name, with JSON bodies; fails with a Fault. */
  readonly call: (address: string, name: string, body: unknown, timeLeftMs: number) => Promise<unknown>;
  readonly bytes: () => { readonly sent: number; readonly received: number };
  readonly close: () => void;
};

const { wire, mostBytes } = frames;
const connectMs = 1500;

const splitter = (onFrame: (frame: Frame, bytes: number) => void): ((chunk: Buffer) => void) => {
  let held: Buffer[] = [];
  let size = 0;
  let needed = 0;
  return (chunk) => {
    held.push(chunk);
    size += chunk.length;
    if (size < needed) return;
    let all = held.length === 1 ? held[0]! : Buffer.concat(held, size);
    for (;;) {
      const peeked = sizeDelimitedPeek(all);
      if (peeked.eof) {
        if (all.length > 10) throw new Error('a frame of no readable size');
        needed = 0;
        break;
      }
      if (peeked.size > mostBytes) throw new Error(`a frame of ${peeked.size} bytes is over the limit`);
      needed = peeked.offset + peeked.size;
      if (all.length < needed) break;
      const frame = packedFrames.unpack(fromBinary(FrameSchema, all.subarray(peeked.offset, needed)));
      if (frame.wire !== wire) throw new Error(`a frame of wire version ${frame.wire}, not ${wire}`);
      const bytes = needed;
      all = all.subarray(bytes);
      needed = 0;
      onFrame(frame, bytes);
    }
    held = all.length === 0 ? [] : [all];
    size = all.length;
  };
};

/**
 * Makes a process's channels: one TCP connection to each cohort member that is asked, one answer to each ask. Frames of
 * one turn leave in one write. A channel on which nothing was heard since an ask that ran out of time is given up.
 */
export const makeChannels = (
  transport: Transport = realTransport,
  observe: (size: CallSize) => void = () => undefined,
): Channels => {
  const channels = new Map<string, Channel>();
  const servers: Listener[] = [];
  const counted = { sent: 0, received: 0 };

  /** Writes a frame at the end of this turn; answers its bytes. */
  const write = (held: { readonly socket: Connection; unsent: Buffer[] }, frame: Frame): number => {
    const encoded = Buffer.from(sizeDelimitedEncode(FrameSchema, packedFrames.pack(frame)));
    held.unsent.push(encoded);
    if (held.unsent.length > 1) return encoded.length;
    setImmediate(() => {
      const whole = held.unsent.length === 1 ? held.unsent[0]! : Buffer.concat(held.unsent);
      held.unsent = [];
      counted.sent += whole.length;
      if (!held.socket.destroyed) held.socket.write(whole);
    });
    return encoded.length;
  };

  const open = (address: string): Channel => {
    const known = channels.get(address);
    if (known && !known.socket.destroyed) return known;
    const socket = transport.connect(address);
    const channel: Channel = { socket, pending: slab<Waiting>(), heardAt: performance.now(), unsent: [] };
    channels.set(address, channel);
    let reason = 'the channel closed';
    let connected = false;
    const connecting = setTimeout(() => socket.destroy(new Error('no connection in time')), connectMs);
    const feed = splitter((frame, bytes) => {
      if (frame.body.case !== 'answer') throw new Error('an ask came where answers are due');
      channel.pending.take(frame.index, frame.generation)?.done(frame.body.value, bytes);
    });
    socket.on('connect', () => {
      connected = true;
      clearTimeout(connecting);
    });
    socket.on('data', (chunk: Buffer) => {
      channel.heardAt = performance.now();
      counted.received += chunk.length;
      try {
        feed(chunk);
      } catch (cause) {
        socket.destroy(cause as Error);
      }
    });
    socket.on('error', (cause) => (reason = cause.message));
    socket.on('end', () => socket.destroy());
    socket.on('close', () => {
      clearTimeout(connecting);
      if (channels.get(address) === channel) channels.delete(address);
      for (const waiting of channel.pending.drain())
        waiting.failed(new Fault({ step: 'ask', cohortMember: address, reason, unknown: connected }));
    });
    return channel;
  };

  const ask = (address: string, asked: Ask, timeLeftMs: number): Promise<Answer> =>
    new Promise((resolve, reject) => {
      const channel = open(address);
      const start = performance.now();
      const call = asked.kind.case === 'call' ? asked.kind.value.name : (asked.kind.case ?? 'none');
      let sentBytes = 0;
      const place = channel.pending.insert({
        done: (answer, receivedBytes) => {
          clearTimeout(timer);
          observe({ address, call, sentBytes, receivedBytes });
          resolve(answer);
        },
        failed: (fault) => {
          clearTimeout(timer);
          observe({ address, call, sentBytes, receivedBytes: 0 });
          reject(fault);
        },
      });
      const timer = setTimeout(() => {
        channel.pending.take(place.index, place.generation);
        observe({ address, call, sentBytes, receivedBytes: 0 });
        const reason = `no answer to ${asked.kind.case} in ${Math.round(timeLeftMs)} ms`;
        reject(new Fault({ step: 'ask', cohortMember: address, reason, unknown: true }));
        if (channel.heardAt <= start && timeLeftMs >= 300) channel.socket.destroy();
      }, timeLeftMs);
      sentBytes = write(channel, create(FrameSchema, { wire, ...place, body: { case: 'ask', value: asked } }));
    });

  return {
    serve: async (address, server) => {
      const listening = await transport.listen(address, (socket) => {
        const held = { socket, unsent: [] as Buffer[] };
        const feed = splitter(({ body, index, generation }) => {
          if (body.case !== 'ask') throw new Error('an answer came where asks are due');
          server(
            body.value,
            (answer) =>
              void write(
                held,
                create(FrameSchema, { wire, index, generation, body: { case: 'answer', value: answer } }),
              ),
          );
        });
        socket.on('data', (chunk: Buffer) => {
          counted.received += chunk.length;
          try {
            feed(chunk);
          } catch (cause) {
            socket.destroy(cause as Error);
          }
        });
        socket.on('error', () => socket.destroy());
      });
      servers.push(listening);
      return listening;
    },
    ask,
    call: async (address, name, body, timeLeftMs) => {
      const asked = answers.ask({ case: 'call', value: { name, ...packing.pack(body) } });
      const { kind } = await ask(address, asked, timeLeftMs);
      if (kind.case === 'call') return packing.unpack(kind.value);
      if (kind.case !== 'bounce') throw new Fault({ step: name, cohortMember: address, reason: 'odd answer' });
      const { reason, unknown } = kind.value;
      throw new Fault({ step: name, cohortMember: address, reason, ...(unknown && { unknown }) });
    },
    bytes: () => ({ ...counted }),
    close: () => {
      for (const server of servers) server.close();
      for (const channel of channels.values()) channel.socket.destroy();
    },
  };
};
