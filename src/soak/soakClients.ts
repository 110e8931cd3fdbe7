import type { Observation } from '../sim/fleet/observations.js';
import { fleetKeys } from '../sim/fleet/fleetKeys.js';
import { httpCalls } from '../sim/fleet/httpCalls.js';
import { realEdge } from '../fleet/realEdge.js';
import type { RealWorld } from './realWorld.js';
import type { SoakFleet } from './soakFleet.js';

/** Clients of a soak beside those of the simulator: they look at batches again and again, and leave halfway. */
export type SoakClients = {
  /** Reads taken batches from early and late positions at every front, and asks the ends of ended ones again. */
  readonly reader: () => void;
  /** Sends requests and leaves after a moment. */
  readonly quitter: (name: string) => void;
  /** Asks for one stream after another on a kept connection, until the process behind it is gone. */
  readonly streamer: (name: string) => void;
};

type Taken = {
  readonly at: number;
  readonly tenant: string;
  readonly items: ReadonlyArray<string>;
  read: number;
  ended: boolean;
};

const readMs = 3000;
const waitMs = 400;
const endAgainShare = 0.1;
const bodyShare = 0.2;
const streamMs = 6000;

/** Makes the clients; batches are followed for as long as they are kept. */
export const makeSoakClients = (options: {
  readonly world: RealWorld;
  readonly fleet: () => SoakFleet;
  readonly seen: ReadonlyArray<Observation>;
  readonly saw: (observation: Observation) => void;
  readonly over: () => boolean;
  readonly keptMs: number;
}): SoakClients => {
  const { world, seen, saw } = options;
  const taken = new Map<string, Taken>();
  let place = 0;
  /** Takes up what others saw of batches since the last look. */
  const lookAgain = (): void => {
    for (; place < seen.length; place += 1) {
      const each = seen[place]!;
      if (each.kind === 'batchTaken') {
        const { at, tenant, items } = each;
        taken.set(each.batch, { at, tenant, items, read: 0, ended: false });
      }
      if (each.kind === 'batchEnded' && taken.has(each.batch)) taken.get(each.batch)!.ended = true;
      if (each.kind === 'results' && taken.has(each.batch)) {
        const known = taken.get(each.batch)!;
        known.read = Math.max(known.read, each.after + each.results.length);
      }
    }
    for (const [batch, { at }] of taken) if (world.now() - at > options.keptMs) taken.delete(batch);
  };
  const fronts = (): ReadonlyArray<string> => options.fleet().runningFronts();
  return {
    reader: () => {
      const calls = httpCalls(realEdge('reader').transport);
      const keyOf = ({ tenant }: Taken) => ({ 'foxdeck-key': fleetKeys.lasting(tenant).text });
      const read = async (front: string, batch: string, known: Taken, after: number): Promise<void> => {
        const sentAt = world.now();
        const path = `/foxdeck/lots/${batch}?after=${after}`;
        const headers = { ...keyOf(known), 'foxdeck-wait': String(waitMs) };
        const { status, body } = await calls.call(front, 'GET', path, headers, '', readMs);
        if (status === 404) saw({ kind: 'batchMissing', at: world.now(), batch });
        if (status !== 200) return;
        const { results } = JSON.parse(body) as Extract<Observation, { kind: 'results' }>;
        saw({ kind: 'results', sentAt, at: world.now(), batch, after, results });
      };
      const body = async (front: string, batch: string, known: Taken): Promise<void> => {
        const path = `/foxdeck/items/${batch}?id=${world.pick(known.items)}`;
        const { status } = await calls.call(front, 'GET', path, keyOf(known), '', readMs);
        if (status === 404 && !known.ended) saw({ kind: 'batchMissing', at: world.now(), batch });
      };
      const endAgain = async (front: string, batch: string, known: Taken): Promise<void> => {
        const { status } = await calls.call(front, 'DELETE', `/foxdeck/lots/${batch}`, keyOf(known), '', readMs);
        if (status === 404) saw({ kind: 'batchMissing', at: world.now(), batch });
      };
      const run = async (): Promise<void> => {
        while (!options.over()) {
          await world.sleep(world.between(10, 60));
          lookAgain();
          if (taken.size === 0) continue;
          const [batch, known] = world.pick([...taken]);
          const front = world.pick(fronts());
          const after = world.chance() < 0.5 ? 0 : Math.floor(world.chance() * (known.read + 1));
          await read(front, batch, known, after);
          if (world.chance() < bodyShare) await body(front, batch, known);
          if (known.ended && world.chance() < endAgainShare) await endAgain(front, batch, known);
        }
      };
      void run();
    },
    quitter: (name) => {
      const calls = httpCalls(realEdge(name).transport);
      const run = async (): Promise<void> => {
        for (let number = 0; !options.over(); number += 1) {
          await world.sleep(world.between(20, 150));
          const attempt = `${name}-${number}`;
          const once = world.chance() < 0.5;
          const key = { 'foxdeck-key': fleetKeys.lasting('south').text };
          const headers = { ...key, host: once ? 'write.fleet' : 'read.fleet', 'foxdeck-attempt': attempt };
          const sentAt = world.now();
          const [method, sent] = once ? ['POST', attempt] : ['GET', ''];
          const leftMs = world.between(1, 40);
          const { status, body } = await calls.call(world.pick(fronts()), method!, '/thing', headers, sent!, leftMs);
          const echoed = status === 200 ? (JSON.parse(body) as { attempt: string }).attempt : '';
          // What it leaves behind is no silence of the fleet's, and no request that was to be served.
          saw({ kind: 'quit', sentAt, at: world.now(), attempt, once, status, echoed });
        }
      };
      void run();
    },
    streamer: (name) => {
      const calls = httpCalls(realEdge(name).transport);
      const ask = async (front: string, attempt: string): Promise<number> => {
        const key = fleetKeys.lasting('south').text;
        const headers = { 'foxdeck-key': key, host: 'stream.fleet', 'foxdeck-attempt': attempt };
        const sentAt = world.now();
        const { status, body, headers: told } = await calls.call(front, 'POST', '/thing', headers, attempt, streamMs);
        const stamped = told?.['foxdeck-stamp'] !== undefined;
        saw({ kind: 'streamed', sentAt, at: world.now(), attempt, front, status, stamped, text: body });
        return status;
      };
      const run = async (): Promise<void> => {
        let front: string | undefined;
        for (let number = 0; !options.over(); number += 1) {
          await world.sleep(world.between(10, 120));
          front ??= world.pick(fronts());
          if ((await ask(front, `${name}-${number}`)) === 0) front = undefined;
        }
      };
      void run();
    },
  };
};
