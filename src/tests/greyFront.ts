import { jest } from '@jest/globals';
import type { FleetView } from '../fleet/watcher.js';
import { attempts, type Attempted } from '../fleet/front/attempts.js';
import { makeHedgeControl } from '../fleet/front/hedgeControl.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { plainDialect } from './plainDialect.js';
import { virtualSamplers, type VirtualAnswer } from './virtualSamplers.js';

const faults = {
  reset: { kind: 'reset', afterMs: 5 },
  500: { kind: 'answer', status: 500, afterMs: 5 },
  503: { kind: 'answer', status: 503, afterMs: 5 },
} as const satisfies Record<string, VirtualAnswer>;
const ids = ['s0', 's1', 's2', 's3'];
const grey = 's0';
const workMs = 100;

/** A front that sends a repeatable request every so often, before one sampler that fails a share of what it gets. */
export const greyFront = (seed: number, way: `${keyof typeof faults}`) => {
  const fault: VirtualAnswer = faults[way];
  const chance = virtualSamplers.generator(seed);
  const now = (): number => Date.now();
  const state = { share: 0 };
  const { client, loads } = virtualSamplers.client(({ address }) => {
    if (address === `${grey}:1` && chance() < state.share) return fault;
    return { kind: 'answer', status: 200, afterMs: workMs * (0.8 + 0.4 * chance()), body: 'whole' };
  }, now);
  const samplers = new Map(ids.map((id) => [id, virtualSamplers.announced(id)]));
  const view: FleetView = { members: new Map(), samplers, followed: undefined };
  const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now, chance, idle: client.idle });
  const hedges = makeHedgeControl();
  const outcomes: Array<Attempted | undefined> = [];
  const send = (): void => {
    const place = outcomes.push(undefined) - 1;
    const attempt = `q${place}`;
    attempts(
      { client, directory, dialect: plainDialect, hedges, now, chance },
      {
        attempt,
        service: 'texts',
        repeatable: true,
        most: 3,
        aimMs: 1000,
        timeLeftMs: 3000,
        call: () => ({ attempt, method: 'POST', path: '/', headers: { attempt }, body: Buffer.from('') }),
        allowed: () => true,
        retryFaults: true,
      },
      (outcome) => (outcomes[place] = outcome),
    );
  };
  /** Sends for so long; answers which share of the calls the grey sampler got. */
  const run = (ms: number, everyMs: number, share: number): number => {
    state.share = share;
    const before = new Map(ids.map((id) => [id, loads.get(`${id}:1`)?.calls ?? 0]));
    for (let at = 0; at < ms; at += everyMs) {
      send();
      jest.advanceTimersByTime(everyMs);
    }
    const got = ids.map((id) => [id, (loads.get(`${id}:1`)?.calls ?? 0) - before.get(id)!] as const);
    const all = got.reduce((sum, [, count]) => sum + count, 0);
    return got.find(([id]) => id === grey)![1] / all;
  };
  const done = (): ReadonlyArray<Attempted | undefined> => {
    jest.advanceTimersByTime(5000);
    return outcomes;
  };
  return { run, done };
};
