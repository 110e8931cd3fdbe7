import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Connection } from '../shared/transport.js';

/** The kept connections of a process to its samplers, by address. */
export type SamplerConnections = {
  /**
   * The agent that opens or reuses a connection for a call with an attempt id. An idle connection over which that id
   * went before is closed where it would be next; with `once`, so are all that their sampler may have forgotten.
   */
  readonly agentFor: (address: string, attempt: string, once: boolean) => Agent;
  /**
   * Notes that a call got a connection; answers for how many milliseconds it was idle. Undefined where the id went over
   * it before: a late copy of that answer could not be told from the answer to this call. It is closed.
   */
  readonly taken: (socket: Socket, attempt: string) => number | undefined;
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

  const makeAgent = (address: string): KeepAliveAgent => {
    const agent = new Agent({
      keepAlive: true,
      maxSockets: mostToOne,
      maxFreeSockets: mostToOne,
      scheduling: 'lifo',
      timeout: idleMostMs,
    }) as KeepAliveAgent;
    if (connect) agent.createConnection = () => connect(address) as Socket;
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
    taken: (socket, attempt) => {
      socket.off('data', dropped);
      if (went(socket, attempt)) {
        socket.destroy();
        return undefined;
      }
      note(socket, attempt);
      return now() - (idleSince.get(socket) ?? now());
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
      agents.delete(address);
      // A sampler that said its farewell serves on; only the agent's own `destroy` would cut what is under way there.
      agent.keepAlive = false;
      for (const socket of idle) socket.destroy();
    },
    close: () => {
      for (const agent of agents.values()) agent.destroy();
    },
  };
};
