import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { hostPort } from '../shared/hostPort.js';
import type { Connection } from '../shared/transport.js';
import type { CallMetrics } from '../edge/callMetrics.js';
import type { SamplerCall } from './dialect.js';

/** What becomes of one call, told as it happens; exactly one of `ended` and `failed` comes last. */
export type CallEvents = {
  readonly head: (status: number, message: IncomingMessage) => void;
  readonly data: (chunk: Buffer | string) => void;
  readonly ended: () => void;
  /**
   * `sent` is false only while no byte can have reached the sampler; `stale` is true where a kept connection failed
   * before any answer began, which says little about the sampler.
   */
  readonly failed: (reason: string, sent: boolean, stale: boolean) => void;
};

/** A call under way. */
export type OpenCall = {
  /** Breaks it off and gives its connection up; nothing is told any more. */
  readonly abort: () => void;
};

/** Calls to samplers over connections that are kept. */
export type SamplerClient = {
  /** With `once`, no kept connection that may be forgotten already is used. */
  readonly call: (
    address: string,
    call: SamplerCall,
    timeLeftMs: number,
    events: CallEvents,
    once?: boolean,
  ) => OpenCall;
  /** True when a kept connection to an address stands idle; with `once`, one that is surely not forgotten. */
  readonly idle: (address: string, once?: boolean) => boolean;
  /** Fails the calls to an address that still wait for a connection: no byte of them was sent. */
  readonly withdraw: (address: string) => void;
  /** Closes the connections to an address that is not used any more: idle ones now, others after their answer. */
  readonly forget: (address: string) => void;
  /** Closes all connections. */
  readonly close: () => void;
  readonly counts: () => { readonly calls: number; readonly connections: number };
};

const connectMs = 700;
/** Only with an idle time of its own does the agent heed the shorter one that a sampler names. */
const idleMostMs = 120_000;
/** A connection that was idle for less is taken to be remembered. */
const rememberedMs = 2000;
/** For so long a connection that was forgotten sooner counts against others to the same address. */
const warnedMs = 60_000;

function dropped(this: Socket): void {
  this.destroy();
}
/** Bytes of a header line beside its name and value, and of the line before the headers of an answer. */
const lineBytes = 4;
const statusLineBytes = 19;
const headSize = (method: string, path: string, headers: SamplerCall['headers']): number =>
  Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length + lineBytes, 0) +
  method.length +
  path.length +
  statusLineBytes;
const lateReason = 'no answer in time';
/** Final statuses (RFC 9110, 15); whatever else the parser lets pass is no answer, and can't be passed on. */
const finalStatus = { least: 200, most: 599 };
const isFinal = (status: number | undefined): status is number =>
  status !== undefined && status >= finalStatus.least && status <= finalStatus.most;

/** Node's agent; where it does not keep connections, it closes each after its answer. */
type KeepAliveAgent = Agent & { keepAlive: boolean };

type Warning = { readonly at: number; readonly idleMs: number };

/** Makes a process's client; a connection on which anything was odd is never used again. */
export const makeSamplerClient = (
  channelsMost: number,
  now: () => number = () => performance.now(),
  connect?: (address: string) => Connection,
  metrics?: Pick<CallMetrics, 'observe' | 'connected'>,
  /** Hears of errors that were thrown by those who are told of a call. */
  threw: (cause: unknown) => void = () => undefined,
): SamplerClient => {
  const idleSince = new WeakMap<Socket, number>();
  /** The shortest idle time after which an address had forgotten a connection, of late. */
  const warnings = new Map<string, Warning>();
  const agents = new Map<string, KeepAliveAgent>();
  /** How to fail the calls that wait for a connection, by address. */
  const waiting = new Map<string, Set<() => void>>();
  let calls = 0;
  let connections = 0;
  const agentOf = (address: string): KeepAliveAgent => {
    const known = agents.get(address);
    if (known) return known;
    const agent = new Agent({
      keepAlive: true,
      maxSockets: channelsMost,
      maxFreeSockets: channelsMost,
      scheduling: 'lifo',
      timeout: idleMostMs,
    }) as KeepAliveAgent;
    if (connect) agent.createConnection = () => connect(address) as Socket;
    // Bytes on an idle connection belong to no request: it goes.
    agent.on('free', (socket: Socket) => {
      socket.on('data', dropped);
      idleSince.set(socket, now());
    });
    agents.set(address, agent);
    return agent;
  };
  const idleOf = (address: string): ReadonlyArray<Socket> =>
    Object.values(agents.get(address)?.freeSockets ?? {}).flatMap((sockets) => sockets ?? []);
  const remembered = (address: string, socket: Socket): boolean => {
    const warning = warnings.get(address);
    const warned = warning !== undefined && now() - warning.at < warnedMs;
    const mostMs = warned ? Math.min(rememberedMs, warning.idleMs / 2) : rememberedMs;
    return now() - (idleSince.get(socket) ?? -Infinity) <= mostMs;
  };
  const warn = (address: string, idleMs: number): void => {
    const known = warnings.get(address);
    const before = known && now() - known.at < warnedMs ? known.idleMs : Infinity;
    warnings.set(address, { at: now(), idleMs: Math.min(before, idleMs) });
  };
  return {
    call: (address, { kind = 'sampler', method, path, headers, body }, timeLeftMs, events, once = false) => {
      calls += 1;
      if (once) for (const socket of idleOf(address)) if (!remembered(address, socket)) socket.destroy();
      let over = false;
      let connected = false;
      let [reused, begun] = [false, false];
      let idleMs = 0;
      let connecting: NodeJS.Timeout | undefined;
      let receivedBytes = 0;
      const withdrawn = (): void => fail('withdrawn while it waited for a connection');
      const waitsNoMore = (): void => {
        const calls = waiting.get(address);
        if (calls?.delete(withdrawn) && calls.size === 0) waiting.delete(address);
      };
      const finish = (): boolean => {
        if (over) return false;
        over = true;
        waitsNoMore();
        clearTimeout(timer);
        clearTimeout(connecting);
        const sentBytes = headSize(method, path, headers) + body.length;
        metrics?.observe({ address, call: kind, sentBytes, receivedBytes });
        return true;
      };
      /** Nothing catches an error that is thrown in a connection's event: here it ends the call, not the process. */
      const guarded = (work: () => void): void => {
        try {
          work();
        } catch (cause) {
          threw(cause);
          fail(`an error of this process: ${String(cause)}`);
        }
      };
      const asked = {
        ...hostPort(address),
        method,
        path,
        headers,
        agent: agentOf(address),
        setHost: false,
      };
      const timer = setTimeout(() => fail(lateReason), Math.max(1, timeLeftMs));
      let sent: ClientRequest;
      try {
        sent = request(asked);
      } catch (cause) {
        clearTimeout(timer);
        setImmediate(() => {
          try {
            if (finish()) events.failed((cause as Error).message, false, false);
          } catch (thrown) {
            threw(thrown);
          }
        });
        return { abort: () => void finish() };
      }
      const fail = (reason: string): void => {
        const stale = reused && !begun && reason !== lateReason;
        if (stale && !over) warn(address, idleMs);
        if (finish()) guarded(() => events.failed(reason, connected, stale));
        sent.destroy();
      };
      waiting.set(address, (waiting.get(address) ?? new Set()).add(withdrawn));
      sent.on('socket', (socket) => {
        waitsNoMore();
        socket.off('data', dropped);
        if (!socket.connecting) {
          connected = true;
          reused = true;
          idleMs = now() - (idleSince.get(socket) ?? now());
          return;
        }
        connections += 1;
        metrics?.connected(address, kind);
        socket.setNoDelay(true);
        connecting = setTimeout(() => {
          if (!connected) fail('no connection in time');
        }, connectMs);
        socket.once('connect', () => {
          connected = true;
          clearTimeout(connecting);
        });
      });
      sent.on('error', (cause) => fail(cause.message));
      // Nobody asked for another protocol; without this the call would hear nothing any more.
      sent.on('upgrade', (_message, socket) => {
        begun = true;
        socket.destroy();
        fail('a switch of protocols');
      });
      sent.on('response', (message) => {
        if (over) return void message.destroy();
        begun = true;
        const status = message.statusCode;
        if (!isFinal(status)) return fail(`status ${status}, which is none of an answer`);
        receivedBytes += message.rawHeaders.reduce((sum, each) => sum + each.length + lineBytes / 2, statusLineBytes);
        guarded(() => events.head(status, message));
        message.on('data', (chunk: Buffer | string) => {
          receivedBytes += chunk.length;
          if (!over) guarded(() => events.data(chunk));
        });
        message.on('end', () => {
          if (!message.complete) return fail('the answer was cut short');
          if (finish()) guarded(events.ended);
        });
        message.on('error', (cause) => fail(cause.message));
        message.on('close', () => fail('the answer was cut short'));
      });
      sent.end(body);
      return {
        abort: () => {
          finish();
          sent.destroy();
        },
      };
    },
    idle: (address, once = false) => idleOf(address).some((socket) => !once || remembered(address, socket)),
    withdraw: (address) => {
      for (const fail of [...(waiting.get(address) ?? [])]) fail();
    },
    forget: (address) => {
      warnings.delete(address);
      const agent = agents.get(address);
      if (!agent) return;
      agents.delete(address);
      // A sampler that said its farewell serves on; only the agent's own `destroy` would cut what is under way there.
      agent.keepAlive = false;
      for (const sockets of Object.values(agent.freeSockets)) for (const socket of sockets ?? []) socket.destroy();
    },
    close: () => {
      for (const agent of agents.values()) agent.destroy();
    },
    counts: () => ({ calls, connections }),
  };
};
