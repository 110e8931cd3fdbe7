import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import fc from 'fast-check';
import type { Channels } from '../edge/channels.js';
import type { Member, Sampler } from '../fleet/fleetTypes.js';
import type { FleetView } from '../fleet/watcher.js';
import { makeOrderLease } from '../fleet/front/orderLease.js';
import { makeWeightLoads } from '../fleet/front/weightLoads.js';
import type { CallEvents, SamplerClient } from '../fleet/samplerClient.js';
import type { Answer, Ask } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import { plainDialect } from './plainDialect.js';
import { turns } from './turns.js';

const leaseMs = 3700;
const useMs = 600;
const core = (name: string): Member => ({
  name,
  role: 'core',
  zone: 'a',
  peer: `${name}:1`,
  disk: `${name}-disk`,
  state: 'ready',
  incarnation: 1,
  sequence: 1,
  coreFresh: false,
});
const names = ['core-1', 'core-2', 'core-3'];
const view: FleetView = {
  members: new Map(names.map((name) => [name, core(name)])),
  samplers: new Map(),
  followed: {
    sequence: 1,
    models: {},
    stores: { epoch: 1, current: [], previous: [] },
    voters: names.map((name) => ({ name, disk: `${name}-disk` })),
    electorate: 1,
    traffic: undefined,
  },
};

beforeEach(() => {
  jest.useFakeTimers({ now: 100_000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
});
afterEach(() => {
  jest.useRealTimers();
});
const now = (): number => Date.now();

/** A voter, as plain as can be: one holder of a duty at a time, for a lease, under tokens that rise. */
const makeVoters = () => {
  const held = new Map<string, { holder: string; token: number; until: number }>();
  return (peer: string, ask: Ask): Answer => {
    if (ask.kind.case !== 'fencedLease') throw new Error('not a lease');
    const { lease, holder, token } = ask.kind.value;
    const key = `${peer} ${lease}`;
    const known = held.get(key);
    const free = !known || known.until <= now() || known.holder === holder;
    const same = known !== undefined && known.token === token && known.holder !== holder;
    const granted = free && token > 0 && token >= (known?.token ?? 0) && !same;
    if (granted) held.set(key, { holder, token, until: now() + leaseMs });
    const value = { granted, holder: free ? '' : known.holder, token: known?.token ?? 0, remaining: 0 };
    return answers.answer({ case: 'fencedLease', value });
  };
};

describe('the lease to order a sampler', () => {
  const someFate = fc.record({
    there: fc.constantFrom(true, true, true, true, false),
    back: fc.constantFrom(true, true, true, true, false),
    before: fc.nat(3),
    after: fc.nat(3),
  });
  const step = fc.record({ holder: fc.nat(2), ms: fc.constantFrom(0, 0, 1, 50, 400, 1500, 3700) });
  test('is held by one at a time with a whole lease between, under fences that rise', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 1, maxLength: 25 }),
        fc.array(someFate, { minLength: 1, maxLength: 40 }),
        async (steps, fates) => {
          const vote = makeVoters();
          let asked = 0;
          const channels = {
            ask: async (peer: string, ask: Ask) => {
              const fate = fates[asked % fates.length]!;
              asked += 1;
              await turns.pass(fate.before);
              const answer = fate.there ? vote(peer, ask) : undefined;
              await turns.pass(fate.after);
              if (!answer || !fate.back) throw new Error('no answer');
              return answer;
            },
          } as unknown as Channels;
          const leases = [0, 1, 2].map((place) =>
            makeOrderLease({ holder: `front-${place}#1`, channels, view: () => view, now }),
          );
          const won: Array<{ holder: number; from: number; until: number; fence: number }> = [];
          const busy = new Set<number>();
          for (const { holder, ms } of steps) {
            if (!busy.has(holder)) {
              busy.add(holder);
              const start = now();
              void leases[holder]!.acquire('s1').then((lease) => {
                busy.delete(holder);
                if (!lease) return;
                expect(lease.until).toBeLessThanOrEqual(now() + useMs);
                expect(lease.until).toBeGreaterThanOrEqual(start + useMs);
                won.push({ holder, from: now(), ...lease });
              });
            }
            await turns.pass(1);
            jest.advanceTimersByTime(ms);
          }
          await turns.until(() => busy.size === 0);
          for (const [place, later] of won.entries())
            for (const earlier of won.slice(0, place)) {
              expect(later.fence).toBeGreaterThanOrEqual(earlier.fence);
              // Orders leave from the win until `until`, if that is still to come.
              if (later.holder === earlier.holder || later.from >= later.until || earlier.from >= earlier.until)
                continue;
              expect(later.fence).toBeGreaterThan(earlier.fence);
              expect(later.from - earlier.until).toBeGreaterThanOrEqual(leaseMs - useMs);
            }
        },
      ),
      { numRuns: 150, seed: 20261202 },
    );
  });
  test('is had from a majority alone, and not while another holds it', async () => {
    let vote = makeVoters();
    let there = names.map((name) => `${name}:1`);
    const channels = {
      ask: (peer: string, ask: Ask) =>
        there.includes(peer) ? Promise.resolve(vote(peer, ask)) : Promise.reject(new Error('cut off')),
    } as unknown as Channels;
    const make = (holder: string) => makeOrderLease({ holder, channels, view: () => known, now });
    let known = view;
    const [one, two] = [make('one'), make('two')];
    there = ['core-1:1'];
    expect(await one.acquire('s1')).toBeUndefined();
    there = ['core-1:1', 'core-2:1'];
    const first = await one.acquire('s1');
    expect(first).toEqual({ fence: 1000, until: now() + useMs });
    expect(await two.acquire('s1')).toBeUndefined();
    expect(await two.acquire('s2')).toBeDefined();
    expect((await one.acquire('s1'))!.fence).toBe(first!.fence);
    jest.advanceTimersByTime(leaseMs);
    const second = await two.acquire('s1');
    expect(second!.fence).toBeGreaterThan(first!.fence);
    expect(await one.acquire('s1')).toBeUndefined();
    jest.advanceTimersByTime(leaseMs);
    expect((await one.acquire('s1'))!.fence).toBeGreaterThan(second!.fence);
    // Voters that forgot what they granted hand out no lower fence, since the register went on.
    vote = makeVoters();
    known = { ...view, followed: { ...view.followed!, sequence: 2 } };
    expect((await two.acquire('s1'))!.fence).toBeGreaterThan(second!.fence + 1);
  });
});

describe('a front’s loads', () => {
  const sampler: Sampler = {
    id: 's1',
    service: 'texts',
    address: 's1:1',
    zone: 'a',
    slots: 4,
    state: 'ready',
    beat: 1,
    quiet: false,
    models: { m: 1 },
    born: 1,
  };
  const wish = { model: 'm', version: 2, items: 1, leftMs: 5000, runMs: 100, samplers: 6, models: 3 };
  const make = (permit: () => unknown = () => ({ granted: true })) => {
    const state = { lease: { fence: 7, until: Infinity } as { fence: number; until: number } | undefined, leases: 0 };
    const sent: Array<{
      readonly order: unknown;
      readonly events: CallEvents;
      readonly aborted: () => boolean;
    }> = [];
    const told: string[] = [];
    const [outlived, done]: [string[], unknown[]] = [[], []];
    const client: SamplerClient = {
      call: (_address, { body }, _timeLeftMs, events) => {
        let aborted = false;
        sent.push({ order: JSON.parse(Buffer.from(body).toString()), events, aborted: () => aborted });
        return { abort: () => void (aborted = true) };
      },
      idle: () => true,
      withdraw: () => undefined,
      forget: () => undefined,
      close: () => undefined,
      counts: () => ({ calls: sent.length, connections: 0 }),
    };
    const call = (_address: string, name: string, body: unknown): Promise<unknown> => {
      told.push(name);
      if (name === 'weights.done') done.push(body);
      return name === 'weights.permit' ? Promise.resolve().then(permit) : Promise.resolve({});
    };
    const loads = makeWeightLoads({
      name: 'front-1',
      channels: { call } as unknown as Channels,
      client,
      dialect: plainDialect,
      lease: {
        acquire: () => {
          state.leases += 1;
          return Promise.resolve(state.lease);
        },
      },
      view: () => view,
      now,
      changed: () => undefined,
      outlived: (sampler) => void outlived.push(sampler),
      event: () => undefined,
    });
    const answer = (status: number | undefined, headers: IncomingHttpHeaders = {}): void => {
      const { events, aborted } = sent.at(-1)!;
      if (status === undefined) return events.failed('no answer in time', true, false);
      events.head(status, { headers } as IncomingMessage);
      if (!aborted()) events.ended();
    };
    const ask = async (more: Partial<typeof wish> = {}): Promise<number> => {
      loads.wish(sampler, { ...wish, ...more });
      await turns.pass(2);
      return sent.length;
    };
    return { state, sent, told, outlived, done, loads, answer, ask };
  };

  test('order under the fence of the lease, once while it is under way', async () => {
    const { sent, ask, loads } = make();
    for (let round = 0; round < 5; round += 1) expect(await ask()).toBe(1);
    expect(sent[0]!.order).toEqual({ sampler: 's1', model: 'm', version: 2, holder: 'front-1', fence: 7 });
    expect(loads.coming('s1', 'm')).toBeUndefined();
  });
  test('send nothing without a lease, nor after its use is over', async () => {
    const { state, ask } = make();
    state.lease = undefined;
    expect(await ask()).toBe(0);
    jest.advanceTimersByTime(1000);
    state.lease = { fence: 7, until: now() };
    expect(await ask()).toBe(0);
    jest.advanceTimersByTime(1000);
    state.lease = { fence: 7, until: now() + 1 };
    expect(await ask()).toBe(1);
    expect(state.leases).toBe(3);
  });
  test('send nothing without a permit, but need none where the core that gives them is away', async () => {
    const denied = make(() => ({ granted: false }));
    expect(await denied.ask()).toBe(0);
    expect(denied.state.leases).toBe(0);
    const away = make(() => {
      throw new Error('no answer');
    });
    expect(await away.ask()).toBe(1);
  });
  test('are asked for again after a silence, a lost load and a refusal', async () => {
    const { ask, answer, loads } = make();
    await ask();
    answer(undefined);
    expect(loads.coming('s1', 'm')).toBe(2);
    jest.advanceTimersByTime(2400);
    expect(await ask()).toBe(1);
    jest.advanceTimersByTime(200);
    expect(loads.coming('s1', 'm')).toBeUndefined();
    expect(await ask()).toBe(2);
    answer(202);
    jest.advanceTimersByTime(2600);
    expect(await ask()).toBe(3);
    answer(409);
    expect(await ask()).toBe(3);
    jest.advanceTimersByTime(100);
    expect(await ask()).toBe(4);
  });
  test.each([202, 409, 421, 503])('take the %i of another request for silence, not for an answer', async (status) => {
    const { ask, answer, sent, loads, done, outlived } = make();
    await ask();
    answer(status, { attempt: 'another' });
    expect(sent[0]!.aborted()).toBe(true);
    // It may have been taken: the next item tells.
    expect(loads.coming('s1', 'm')).toBe(2);
    expect([done, outlived]).toEqual([[], []]);
  });
  test('give their permit back where another life answers, and that life is told to be over', async () => {
    const { ask, answer, outlived, done } = make();
    await ask();
    answer(421);
    expect(outlived).toEqual(['s1']);
    expect(done).toEqual([{ sampler: 's1', model: 'm', version: 2, failed: true }]);
    jest.advanceTimersByTime(890);
    expect(await ask()).toBe(1);
    jest.advanceTimersByTime(20);
    expect(await ask()).toBe(2);
  });
  test('give their permit back where nothing could be sent or no lease was had, but not after a silence', async () => {
    const { ask, sent, done, state, outlived } = make();
    await ask();
    sent[0]!.events.failed('no connection in time', false, false);
    expect(done).toHaveLength(1);
    state.lease = undefined;
    jest.advanceTimersByTime(1000);
    await ask();
    expect(done).toHaveLength(2);
    state.lease = { fence: 8, until: Infinity };
    jest.advanceTimersByTime(1000);
    expect(await ask()).toBe(2);
    sent[1]!.events.failed('no answer in time', true, false);
    expect(done).toHaveLength(2);
    expect(outlived).toEqual([]);
  });
  test('are due when they took nearly as long as loads of late; one that holds already is due at once', async () => {
    const { ask, answer, loads } = make();
    const load = async (version: number, status: number, tookMs: number): Promise<void> => {
      await ask({ version });
      answer(status);
      jest.advanceTimersByTime(tookMs);
      loads.reached('s1', 'm', version);
    };
    expect(loads.due('s1')).toBe(true);
    await load(2, 202, 1000);
    await ask({ version: 3 });
    answer(202);
    jest.advanceTimersByTime(840);
    expect(loads.due('s1')).toBe(false);
    jest.advanceTimersByTime(20);
    expect(loads.due('s1')).toBe(true);
    loads.reached('s1', 'm', 3);
    await ask({ version: 4 });
    answer(200);
    expect(loads.due('s1')).toBe(true);
    loads.reached('s1', 'm', 4);
    // However long loads took, one that may be lost is tried before it is ordered again.
    for (let version = 5; version < 9; version += 1) await load(version, 202, 2400);
    await ask({ version: 9 });
    answer(202);
    jest.advanceTimersByTime(1260);
    expect(loads.due('s1')).toBe(true);
  });
  test('are over once the sampler was seen to have the version, and the core is told', async () => {
    const { ask, answer, loads, told } = make();
    await ask();
    answer(202);
    expect(loads.coming('s1', 'm')).toBe(2);
    loads.reached('s1', 'm', 1);
    loads.reached('s1', 'other', 2);
    expect(loads.coming('s1', 'm')).toBe(2);
    loads.reached('s1', 'm', 2);
    expect(loads.coming('s1', 'm')).toBeUndefined();
    expect(told).toEqual(['weights.permit', 'weights.done']);
    expect(await ask({ version: 3 })).toBe(2);
  });
});
