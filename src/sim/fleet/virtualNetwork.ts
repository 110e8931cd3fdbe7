import { Duplex } from 'node:stream';
import type { Server } from 'node:http';
import type { Connection, Transport } from '../../shared/transport.js';
import type { VirtualProcess, VirtualTimer, VirtualWorld } from './virtualWorld.js';

/** A machine as the network knows it. */
export type Host = {
  readonly name: string;
  /** False while it has no power: nothing it does not say. */
  readonly lit: () => boolean;
};

/** TCP between the machines of a world. */
export type VirtualNetwork = {
  readonly transport: (host: Host, process: VirtualProcess) => Transport;
  /** Stops what one machine sends to another until `heal`; senders notice nothing. */
  readonly cut: (from: string, to: string) => void;
  readonly join: (from: string, to: string) => void;
  readonly heal: () => void;
  /** Resets some of the open connections of a machine, at both ends. */
  readonly resetConnections: (host: string, share: number) => number;
  /** Slows all messages that leave or reach a machine. */
  readonly slow: (host: string, extraMs: number) => void;
  readonly counts: { bytes: number; connections: number };
};

type Item = { readonly kind: 'data'; readonly bytes: Buffer } | { readonly kind: 'end' } | { readonly kind: 'reset' };
type End = {
  readonly socket: VirtualSocket;
  readonly host: Host;
  readonly process: VirtualProcess;
  readonly outbound: Item[];
  peer: End | undefined;
  pumping: boolean;
  lastAt: number;
};
type Listening = {
  readonly host: Host;
  readonly process: VirtualProcess;
  readonly accept: (socket: VirtualSocket) => void;
};

const retryMs = 100;
const connectRetryMs = 1000;
const latencyMs = { low: 0.3, high: 1.4 };

const resetError = (): Error => Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' });
const refusedError = (): Error => Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' });

/** One end of a connection; its bytes go to the network. */
class VirtualSocket extends Duplex {
  connecting = true;
  timeout = 0;
  /** The name of the host at the other end, once it is connected. */
  peerHost = '';
  private idleTimer: VirtualTimer | undefined;
  private usedAt = 0;
  private over = false;
  private waiting: Array<() => void> = [];

  constructor(
    private readonly world: VirtualWorld,
    private readonly owner: VirtualProcess,
    private readonly send: (item: Item) => void,
    private readonly whenClosed: () => void,
  ) {
    super({ allowHalfOpen: false, emitClose: true });
  }
  override _read(): void {}
  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    const go = (): void => {
      this.usedAt = this.world.now();
      this.send({ kind: 'data', bytes: Buffer.from(chunk) });
      done();
    };
    if (this.connecting) this.waiting.push(go);
    else go();
  }
  override _final(done: () => void): void {
    const go = (): void => {
      this.send({ kind: 'end' });
      done();
    };
    if (this.connecting) this.waiting.push(go);
    else go();
  }
  override _destroy(cause: Error | null, done: (cause: Error | null) => void): void {
    if (this.idleTimer) this.idleTimer.cancelled = true;
    this.waiting = [];
    this.send(cause ? { kind: 'reset' } : { kind: 'end' });
    this.whenClosed();
    done(cause);
  }
  connected(): void {
    if (this.destroyed) return;
    this.connecting = false;
    this.emit('connect');
    for (const go of this.waiting.splice(0)) go();
  }
  received(bytes: Buffer): void {
    this.usedAt = this.world.now();
    if (!this.over) this.push(bytes);
  }
  ended(): void {
    if (this.over) return;
    this.over = true;
    this.push(null);
  }
  /** Emits `timeout` after so long without a byte either way. */
  setTimeout(ms: number): this {
    this.timeout = ms;
    this.usedAt = this.world.now();
    if (this.idleTimer) this.idleTimer.cancelled = true;
    const watch = (): void => {
      const left = this.usedAt + ms - this.world.now();
      if (this.destroyed) return;
      if (left <= 0) this.emit('timeout');
      else this.idleTimer = this.world.schedule(this.owner, left, watch);
    };
    if (ms > 0) this.idleTimer = this.world.schedule(this.owner, ms, watch);
    return this;
  }
  setNoDelay(): this {
    return this;
  }
  setKeepAlive(): this {
    return this;
  }
  ref(): this {
    return this;
  }
  unref(): this {
    return this;
  }
  destroySoon(): void {
    this.end(() => this.destroy());
  }
}

/** Makes a world's network: bytes in order, no loss but by cuts, resets and ends of processes. */
export const makeVirtualNetwork = (world: VirtualWorld): VirtualNetwork => {
  const listening = new Map<string, Listening>();
  const cuts = new Set<string>();
  const slowed = new Map<string, number>();
  const open = new Set<End>();
  const owned = new WeakMap<VirtualProcess, Set<End>>();
  const counts = { bytes: 0, connections: 0 };

  const passes = (from: Host, to: Host): boolean => !cuts.has(`${from.name}>${to.name}`);
  const delay = (from: Host, to: Host): number =>
    world.between(latencyMs.low, latencyMs.high) + (slowed.get(from.name) ?? 0) + (slowed.get(to.name) ?? 0);

  const apply = (end: End, item: Item): void => {
    const { socket } = end;
    if (socket.destroyed) {
      if (item.kind === 'data') queue(end, { kind: 'reset' });
      return;
    }
    if (item.kind === 'data') socket.received(item.bytes);
    else if (item.kind === 'end') socket.ended();
    else socket.destroy(resetError());
  };
  const deliver = (from: End, to: End, item: Item): void => {
    if (!to.host.lit()) return;
    if (item.kind === 'data') counts.bytes += item.bytes.length;
    if (to.process.alive()) return void world.schedule(to.process, 0, () => apply(to, item));
    // The process is gone and its machine says so.
    if (item.kind !== 'reset') {
      to.outbound.push({ kind: 'reset' });
      pump(to);
    }
  };
  const pump = (from: End): void => {
    const to = from.peer;
    if (from.pumping || !to || from.outbound.length === 0) return;
    from.pumping = true;
    const run = (): void => {
      if (!from.host.lit()) return void (from.outbound.length = 0);
      if (!passes(from.host, to.host)) return void world.schedule(world.outside, retryMs, run);
      from.pumping = false;
      for (const item of from.outbound.splice(0)) deliver(from, to, item);
    };
    const at = Math.max(from.lastAt, world.now() + delay(from.host, to.host));
    from.lastAt = at;
    world.schedule(world.outside, at - world.now(), run);
  };
  const queue = (end: End, item: Item): void => {
    end.outbound.push(item);
    pump(end);
  };
  const ended = (process: VirtualProcess): void => {
    for (const end of owned.get(process) ?? []) {
      open.delete(end);
      end.outbound.push({ kind: 'reset' });
      pump(end);
    }
    owned.delete(process);
    for (const [address, each] of listening) if (each.process === process) listening.delete(address);
  };
  const makeEnd = (host: Host, process: VirtualProcess): End => {
    const closed = (): void => {
      open.delete(end);
      owned.get(process)?.delete(end);
    };
    const socket = new VirtualSocket(world, process, (item) => queue(end, item), closed);
    const end: End = { socket, host, process, outbound: [], peer: undefined, pumping: false, lastAt: 0 };
    open.add(end);
    const known = owned.get(process);
    if (known) known.add(end);
    else {
      owned.set(process, new Set([end]));
      process.onEnd(() => ended(process));
    }
    return end;
  };
  const connect = (host: Host, process: VirtualProcess, address: string): VirtualSocket => {
    const end = makeEnd(host, process);
    counts.connections += 1;
    const fail = (): void => void world.schedule(process, delay(host, host), () => end.socket.destroy(refusedError()));
    const attempt = (): void => {
      if (end.socket.destroyed || !process.alive()) return;
      const target = listening.get(address);
      const machine = hosts.get(address.slice(0, address.lastIndexOf(':')));
      const reached = machine !== undefined && machine.lit() && passes(host, machine) && passes(machine, host);
      if (!reached) return void world.schedule(world.outside, connectRetryMs, attempt);
      if (!target) return fail();
      const other = makeEnd(target.host, target.process);
      other.peer = end;
      end.peer = other;
      other.socket.peerHost = host.name;
      end.socket.peerHost = machine.name;
      world.schedule(target.process, 0, () => {
        other.socket.connected();
        target.accept(other.socket);
      });
      world.schedule(process, delay(machine, host), () => end.socket.connected());
    };
    world.schedule(world.outside, delay(host, host), attempt);
    return end.socket;
  };
  const hosts = new Map<string, Host>();

  const listen = (host: Host, process: VirtualProcess, address: string, accept: Listening['accept']): void => {
    const known = listening.get(address);
    if (known?.process.alive()) throw new Error(`${address} is taken`);
    if (!owned.has(process)) {
      owned.set(process, new Set());
      process.onEnd(() => ended(process));
    }
    listening.set(address, { host, process, accept });
  };
  return {
    counts,
    transport: (host, process) => {
      hosts.set(host.name, host);
      return {
        connect: (address) => connect(host, process, address) as unknown as Connection,
        listen: (address, accept) => {
          listen(host, process, address, (socket) => accept(socket as unknown as Connection));
          return Promise.resolve({ close: () => listening.delete(address) });
        },
        listenHttp: (server: Server, address) => {
          listen(host, process, address, (socket) => server.emit('connection', socket));
          return Promise.resolve();
        },
      };
    },
    cut: (from, to) => void cuts.add(`${from}>${to}`),
    join: (from, to) => void cuts.delete(`${from}>${to}`),
    heal: () => {
      cuts.clear();
      slowed.clear();
    },
    slow: (host, extraMs) => void slowed.set(host, extraMs),
    resetConnections: (host, share) => {
      const chosen = [...open].filter(
        (end) => end.peer && (end.host.name === host || end.peer.host.name === host) && world.chance() < share,
      );
      for (const end of chosen) world.schedule(end.process, 0, () => end.socket.destroy(resetError()));
      return chosen.length;
    },
  };
};
