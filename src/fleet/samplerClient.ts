import type { IncomingMessage } from 'node:http';
import type { CallMetrics } from '../edge/callMetrics.js';
import type { Connection } from '../shared/transport.js';
import type { SamplerCall } from './dialect.js';
import { makeSamplerConnections } from './samplerConnections.js';
import { samplerExchange, type SamplerExchange } from './samplerExchange.js';

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

/** Makes a process's client; a connection on which anything was odd is never used again. */
export const makeSamplerClient = (
  channelsMost: number,
  now: () => number = () => performance.now(),
  connect?: (address: string) => Connection,
  metrics?: Pick<CallMetrics, 'observe' | 'connected'>,
  /** Hears of errors that were thrown by those who are told of a call. */
  threw: (cause: unknown) => void = () => undefined,
): SamplerClient => {
  const connections = makeSamplerConnections({ mostToOne: channelsMost, now, connect });
  /** The calls that wait for a connection, by address. */
  const waiting = new Map<string, Set<SamplerExchange>>();
  let calls = 0;
  let opened = 0;
  const tools = { connections, metrics, threw, opened: () => void (opened += 1) };

  const enqueue = (address: string, exchange: SamplerExchange): void =>
    void waiting.set(address, (waiting.get(address) ?? new Set()).add(exchange));
  const dequeue = (address: string, exchange: SamplerExchange): void => {
    const queue = waiting.get(address);
    if (queue?.delete(exchange) && queue.size === 0) waiting.delete(address);
  };
  return {
    call: (address, call, timeLeftMs, events, once = false) => {
      calls += 1;
      // The connection and the end are told in a later turn, never while the exchange is being made.
      const waitsNoMore = (): void => dequeue(address, exchange);
      const exchange = samplerExchange(tools, address, call, { timeLeftMs, once }, events, waitsNoMore);
      enqueue(address, exchange);
      return exchange;
    },
    idle: (address, once = false) => connections.idle(address, once),
    withdraw: (address) => {
      for (const exchange of [...(waiting.get(address) ?? [])]) exchange.withdraw();
    },
    forget: connections.release,
    close: connections.close,
    counts: () => ({ calls, connections: opened }),
  };
};
