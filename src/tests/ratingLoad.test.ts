import { afterEach, beforeEach, expect, jest, test } from '@jest/globals';
import type { Dialect } from '../fleet/dialect.js';
import type { Grant, HostBinding } from '../fleet/fleetTypes.js';
import type { FleetView } from '../fleet/watcher.js';
import { attempts, type Attempted } from '../fleet/front/attempts.js';
import { makeHedgeControl } from '../fleet/front/hedgeControl.js';
import { makeRatings } from '../fleet/front/ratings.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { randomSource } from '../sim/randomSource.js';
import { busySamplers } from './busySamplers.js';
import { plainDialect } from './plainDialect.js';
import { virtualSamplers } from './virtualSamplers.js';

beforeEach(() => void jest.useFakeTimers());
afterEach(() => void jest.useRealTimers());

const service = 'texts';
const fronts = 9;
const samplers = 4;
const slots = 6;
const queueMost = 24;
const ratingsOfFront = 60;
/** Slow samplers: a rating takes this long, a caller's request that. */
const ratingWorkMs = 640;
const requestWorkMs = 200;
const requestLeftMs = 800;
const requestEveryMs = 250;
const settledMs = 4000;
const watchedMs = 12_000;
/** The least share of callers' requests that is to be served once the machines are back. */
const servedLeast = 0.25;

const binding: HostBinding = {
  name: 'rate',
  host: 'rate.fleet',
  prefix: '/',
  kind: 'idempotent',
  timeLeftMs: 2000,
  aimMs: 400,
  priority: 2,
  attempts: 4,
  shares: [{ service, weight: 1 }],
  resumable: false,
  single: false,
  lotDueMs: 12_000,
  lotWaitMs: 20_000,
};
const ratingDialect = {
  ...plainDialect,
  ratingCall: (item) => ({
    attempt: item.rating!.id,
    method: 'POST',
    path: '/rate',
    headers: { attempt: item.rating!.id, 'work-ms': String(ratingWorkMs) },
    body: Buffer.from(''),
  }),
} as Dialect;

/** Fronts that share slow samplers and come back all at once, each with texts to rate and now and then a request. */
const loadedFronts = () => {
  const pool = busySamplers(slots, queueMost);
  const chance = randomSource(1);
  const now = (): number => Date.now();
  const ids = Array.from({ length: samplers }, (_, place) => `i-${place}`);
  const traffic = { bindings: [binding], services: [] };
  const view = {
    members: new Map(),
    samplers: new Map(ids.map((id) => [id, virtualSamplers.announced(id, { address: `${id}:1` })])),
    followed: { traffic },
  } as unknown as FleetView;
  const makeFront = (front: number) => {
    const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now, chance, idle: () => true });
    const tools = { client: pool.client, directory, dialect: ratingDialect, hedges: makeHedgeControl(), now, chance };
    const ratings = makeRatings({ ...tools, view: () => view, wanted: () => true, leased: () => true });
    return {
      rate: (number: number, done: () => void): void => {
        const id = `rating-${front}-${number}`;
        const item = { id: `item-${front}-${number}`, rating: { id, host: 'rate.fleet', path: '/rate', body: '' } };
        ratings.rate({ lot: 'lot', item } as unknown as Grant, { versions: [1], text: 'text' }, done);
      },
      ask: (attempt: string, done: (outcome: Attempted) => void): void => {
        const headers = { attempt, 'work-ms': String(requestWorkMs) };
        const call = () => ({ attempt, method: 'POST', path: '/', headers, body: Buffer.from('') });
        const rules = { attempt, service, repeatable: true, most: 2, aimMs: 150, timeLeftMs: requestLeftMs };
        attempts(tools, { ...rules, call, allowed: () => true, retryFaults: true }, done);
      },
    };
  };
  return { pool, fronts: Array.from({ length: fronts }, (_, place) => makeFront(place)) };
};

test('texts that all are to be rated at once leave slow samplers room for the requests of callers', () => {
  const { fronts: running } = loadedFronts();
  let rated = 0;
  for (const front of running)
    for (let number = 0; number < ratingsOfFront; number += 1) front.rate(number, () => (rated += 1));
  jest.advanceTimersByTime(settledMs);
  let [sent, served] = [0, 0];
  for (let at = 0; at < watchedMs; at += requestEveryMs) {
    sent += 1;
    running[sent % fronts]!.ask(`request-${sent}`, (outcome) => {
      if (outcome.kind === 'answered' && outcome.status === 200) served += 1;
    });
    jest.advanceTimersByTime(requestEveryMs);
  }
  expect(served).toBeGreaterThanOrEqual(servedLeast * sent);
});

test('samplers without room are not flooded with ratings that come again', () => {
  const { pool, fronts: running } = loadedFronts();
  let rated = 0;
  for (const front of running)
    for (let number = 0; number < ratingsOfFront; number += 1) front.rate(number, () => (rated += 1));
  jest.advanceTimersByTime(60_000);
  expect(rated).toBe(fronts * ratingsOfFront);
  expect(pool.turnedAway()).toBeLessThanOrEqual(fronts * ratingsOfFront);
});
