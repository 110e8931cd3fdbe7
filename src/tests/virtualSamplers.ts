import type { IncomingMessage } from 'node:http';
import type { SamplerCall } from '../fleet/dialect.js';
import type { Sampler } from '../fleet/fleetTypes.js';
import type { CallEvents, SamplerClient } from '../fleet/samplerClient.js';

/** A call as it arrived at an address. */
export type VirtualCall = { readonly address: string; readonly call: SamplerCall; readonly at: number };
/** What becomes of a call, and after what time. */
export type VirtualAnswer =
  | { readonly kind: 'reset'; readonly afterMs: number }
  | {
      readonly kind: 'answer';
      readonly afterMs: number;
      readonly status: number;
      readonly headers?: Readonly<Record<string, string>>;
      readonly body?: string;
    };
/** Calls under way at an address, and the most there ever were. */
export type Load = { open: number; most: number; calls: number };

/** Numbers below 1 that a seed fixes. */
const generator = (seed: number): (() => number) => {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x9e3779b9) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return ((mixed ^ (mixed >>> 16)) >>> 0) / 2 ** 32;
  };
};

/** A client whose samplers are a function, on whatever timers are in force. */
const client = (answer: (call: VirtualCall) => VirtualAnswer, now: () => number) => {
  const calls: VirtualCall[] = [];
  const loads = new Map<string, Load>();
  const idle = new Set<string>();
  const made: SamplerClient = {
    call: (address, call, timeLeftMs, events: CallEvents) => {
      const seen: VirtualCall = { address, call, at: now() };
      calls.push(seen);
      const load = loads.get(address) ?? { open: 0, most: 0, calls: 0 };
      loads.set(address, load);
      load.calls += 1;
      load.open += 1;
      load.most = Math.max(load.most, load.open);
      let over = false;
      const finish = (): boolean => {
        if (over) return false;
        over = true;
        load.open -= 1;
        clearTimeout(timer);
        clearTimeout(late);
        return true;
      };
      const told = answer(seen);
      const timer = setTimeout(() => {
        if (told.kind === 'reset') return void (finish() && events.failed('reset', true, false));
        const attempt = call.headers['attempt'] ?? '';
        const headers = { attempt, stamp: 's.1', ...told.headers };
        let read: (body: string) => Buffer | string = (body) => Buffer.from(body);
        const setEncoding = (): void => void (read = (body) => body);
        events.head(told.status, { headers, rawHeaders: [], setEncoding } as unknown as IncomingMessage);
        if (told.body !== undefined && !over) events.data(read(told.body));
        if (!finish()) return;
        idle.add(address);
        events.ended();
      }, told.afterMs);
      const late = setTimeout(() => {
        if (finish()) events.failed('no answer in time', true, false);
      }, timeLeftMs);
      return { abort: () => void finish() };
    },
    idle: (address) => idle.has(address),
    withdraw: () => undefined,
    forget: (address) => void idle.delete(address),
    close: () => undefined,
    counts: () => ({ calls: calls.length, connections: 0 }),
  };
  return { client: made, calls, loads };
};

const announced = (id: string, more: Partial<Sampler> = {}): Sampler => ({
  id,
  service: 'texts',
  address: `${id}:1`,
  zone: 'a',
  slots: 8,
  state: 'ready',
  beat: 1,
  quiet: false,
  models: { m: 1 },
  born: 1,
  ...more,
});

/** Samplers of virtual time, for counts that are the same each time. */
export const virtualSamplers = { client, announced, generator };
