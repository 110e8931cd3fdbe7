import { Agent } from 'node:http';
import { createConnection, type Socket } from 'node:net';
import { hostPort } from '../shared/hostPort.js';
import type { Connection } from '../shared/transport.js';

/** What a connection was before a call got it. */
export type Taken =
  /** No call had it. */
  | 'new'
  /**
   * The same id went over it: a late copy of that answer could not be told from the answer to this call. It is closed.
   */
  | 'used'
  /** It was kept, and idle for so long. */
  | { readonly idleMs: number };

/** The kept connections of a process to its samplers, by address. */
export type SamplerConnections = {
  /**
   * The agent that opens or reuses a connection for a call with an attempt id. An idle connection over which that id
   * went before is closed where it would be next; with `once`, so are all that their sampler may have forgotten.
   */
  readonly agentFor: (address: string, attempt: string, once: boolean) => Agent;
  /** Notes that a call with an attempt id got a connection. */
  readonly take: (socket: Socket, attempt: string) => Taken;
  /**
   * Whether the process at an address lives, of which one connection has just ended: another that was open then is
   * still open a little later, or a new one comes up, which the next call gets that needs one soon.
   */
  readonly alive: (address: string, opening: () => void) => Promise<boolean>;
  /** Notes that a sampler had forgotten a connection that was idle for so many milliseconds. */
  readonly forgotten: (address: string, idleMs: number) => void;
  /** True when a kept connection stands idle; with `once`, one that is surely not forgotten. */
  readonly idle: (address: string, once: boolean) => boolean;
  /** Closes the connections to an address that is not used any more: idle ones now, others after their answer. */
  readonly release: (address: string) => void;
  /** Closes all connections. */
  readonly close: () => void;
};

/** Only with an idle time of its own does the agent heed the shorter one that a sampler names. */
const idleMostMs = 120_000;
/** A connection that was idle for less is taken to be remembered. */
const rememberedMs = 2000;
/** A process that ends closes all its connections; within this time all of them are known to be closed. */
const closeTogetherMs = 20;
/** How long a connection may take to come up. */
const connectMs = 700;
/** How long a connection that was opened ahead waits for its call. */
const spareMs = 300;
/** What calls bear that have no id. */
const noAttempt = '';
/** How many attempt ids are remembered of one connection. */
const attemptsMost = 128;
/** For so long a connection that was forgotten sooner counts against others to the same address. */
const warnedMs = 60_000;

/** Node's agent; where it does not keep connections, it closes each after its answer. */
type KeepAliveAgent = Agent & { keepAlive: boolean };

type Warning = { readonly at: number; readonly idleMs: number };

function dropped(this: Socket): void {
  this.destroy();
}

/** Makes the connections of a process, so many at most to one address. */
export const makeSamplerConnections = (options: {
  readonly mostToOne: number;
  readonly now: () => number;
  readonly connect: ((address: string) => Connection) | undefined;
}): SamplerConnections => {
  const { mostToOne, now, connect } = options;
  const idleSince = new WeakMap<Socket, number>();
  /** The ids that went over a connection, the oldest first. */
  const attemptsOver = new WeakMap<Socket, Set<string>>();
  /** The shortest idle time after which an address had forgotten a connection, of late. */
  const warnings = new Map<string, Warning>();
  const agents = new Map<string, KeepAliveAgent>();

  /** A connection that was opened ahead, by address. */
  const spares = new Map<string, Socket>();

  const open = (address: string): Socket =>
    connect ? (connect(address) as Socket) : createConnection({ ...hostPort(address), noDelay: true });
  const dropSpare = (address: string, socket: Socket): void => {
    if (spares.get(address) === socket) spares.delete(address);
    socket.destroy();
  };
  const keepSpare = (address: string, socket: Socket): void => {
    spares.get(address)?.destroy();
    spares.set(address, socket);
    socket.once('close', () => dropSpare(address, socket));
    setTimeout(() => {
      if (spares.get(address) === socket) dropSpare(address, socket);
    }, spareMs).unref();
  };
  const takeSpare = (address: string): Socket | undefined => {
    const socket = spares.get(address);
    spares.delete(address);
    // Bytes that came before any call belong to no answer.
    const fit = socket && !socket.destroyed && !socket.readableEnded && socket.readableLength === 0;
    if (!fit) socket?.destroy();
    return fit ? socket : undefined;
  };
  const isOpen = (socket: Socket): boolean => !socket.destroyed && !socket.connecting && !socket.readableEnded;
  const openTo = (address: string): ReadonlyArray<Socket> => {
    const agent = agents.get(address);
    const pools = agent ? [agent.sockets, agent.freeSockets] : [];
    return pools.flatMap((pool) => Object.values(pool).flatMap((sockets) => sockets ?? [])).filter(isOpen);
  };
  const anyStaysOpen = async (sockets: ReadonlyArray<Socket>): Promise<boolean> => {
    if (sockets.length === 0) return false;
    await new Promise((resolve) => setTimeout(resolve, closeTogetherMs));
    return sockets.some(isOpen);
  };
  const connected = (socket: Socket): Promise<boolean> =>
    new Promise((resolve) => {
      const timer = setTimeout(() => socket.destroy(), connectMs);
      const told = (isConnected: boolean) => (): void => {
        clearTimeout(timer);
        resolve(isConnected);
      };
      socket.once('connect', told(true));
      socket.once('error', told(false));
      socket.once('close', told(false));
    });
  /** A process that ends may take connections until its last socket is closed: a new one has to stay open too. */
  const reopen = async (address: string): Promise<boolean> => {
    const socket = open(address);
    const lives = (await connected(socket)) && (await anyStaysOpen([socket]));
    if (lives) keepSpare(address, socket);
    else socket.destroy();
    return lives;
  };

  const makeAgent = (address: string): KeepAliveAgent => {
    const agent = new Agent({
      keepAlive: true,
      maxSockets: mostToOne,
      maxFreeSockets: mostToOne,
      scheduling: 'lifo',
      timeout: idleMostMs,
    }) as KeepAliveAgent;
    agent.createConnection = () => takeSpare(address) ?? open(address);
    // Bytes on an idle connection belong to no request: it goes.
    agent.on('free', (socket: Socket) => {
      socket.on('data', dropped);
      idleSince.set(socket, now());
    });
    return agent;
  };
  const idleOf = (address: string): ReadonlyArray<Socket> =>
    Object.values(agents.get(address)?.freeSockets ?? {}).flatMap((sockets) => sockets ?? []);
  const currentWarning = (address: string): Warning | undefined => {
    const warning = warnings.get(address);
    return warning && now() - warning.at < warnedMs ? warning : undefined;
  };
  const remembered = (address: string, socket: Socket): boolean => {
    const warning = currentWarning(address);
    const mostMs = warning ? Math.min(rememberedMs, warning.idleMs / 2) : rememberedMs;
    return now() - (idleSince.get(socket) ?? -Infinity) <= mostMs;
  };

  const went = (socket: Socket, attempt: string): boolean => attemptsOver.get(socket)?.has(attempt) === true;
  const note = (socket: Socket, attempt: string): void => {
    const attempts = attemptsOver.get(socket) ?? new Set();
    // A late answer comes in the slot of the next one. Behind a call with an id none to a call without one is due.
    if (attempt !== noAttempt) attempts.delete(noAttempt);
    attemptsOver.set(socket, attempts.add(attempt));
    if (attempts.size > attemptsMost) attempts.delete(attempts.values().next().value!);
  };
  /** Closes the connections that the agent would reuse next, the last used first, as long as the id went over them. */
  const closeUsedBy = (address: string, attempt: string): void => {
    for (const socket of [...idleOf(address)].reverse()) {
      if (socket.destroyed) continue;
      if (!went(socket, attempt)) return;
      socket.destroy();
    }
  };

  return {
    agentFor: (address, attempt, once) => {
      if (once) for (const socket of idleOf(address)) if (!remembered(address, socket)) socket.destroy();
      closeUsedBy(address, attempt);
      const agent = agents.get(address) ?? makeAgent(address);
      agents.set(address, agent);
      return agent;
    },
    take: (socket, attempt) => {
      socket.off('data', dropped);
      if (went(socket, attempt)) {
        socket.destroy();
        return 'used';
      }
      note(socket, attempt);
      const since = idleSince.get(socket);
      return since === undefined ? 'new' : { idleMs: now() - since };
    },
    alive: async (address, opening) => {
      if (await anyStaysOpen(openTo(address))) return true;
      opening();
      return reopen(address);
    },
    forgotten: (address, idleMs) => {
      const shortestMs = Math.min(currentWarning(address)?.idleMs ?? Infinity, idleMs);
      warnings.set(address, { at: now(), idleMs: shortestMs });
    },
    idle: (address, once) => idleOf(address).some((socket) => !once || remembered(address, socket)),
    release: (address) => {
      warnings.delete(address);
      const agent = agents.get(address);
      if (!agent) return;
      const idle = idleOf(address);
      const spare = spares.get(address);
      if (spare) dropSpare(address, spare);
      agents.delete(address);
      // A sampler that said its farewell serves on; only the agent's own `destroy` would cut what is under way there.
      agent.keepAlive = false;
      for (const socket of idle) socket.destroy();
    },
    close: () => {
      for (const [address, socket] of spares) dropSpare(address, socket);
      for (const agent of agents.values()) agent.destroy();
    },
  };
};
