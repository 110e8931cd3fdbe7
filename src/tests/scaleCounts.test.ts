import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import { startHollowNode, type HollowNode } from '../dev/hollowNodes.js';
import { plainTraffic } from '../dev/plainTraffic.js';
import type { Channels } from '../edge/channels.js';
import { makeWatchServer, type WatchServer } from '../fleet/core/watchServer.js';
import { watchers, type WatchRequest } from '../fleet/watcher.js';
import type { Followed, Member, Sampler } from '../fleet/fleetTypes.js';
import { turns } from './turns.js';

type Core = { readonly desk: WatchServer; followed: Followed | undefined };
/** Messages and bytes that nodes and cores exchanged; an ask and its answer are two messages. */
type Counted = { messages: number; bytes: number };
type Site = {
  readonly cores: ReadonlyArray<Core>;
  readonly nodes: HollowNode[];
  readonly counted: Counted;
  readonly announce: (place: number, more?: Partial<Sampler>) => void;
  readonly samplers: number;
  readonly stop: () => void;
};

const stepMs = 25;
/** Samplers load so close together that at 15 nodes, too, several do within a third of a second. */
const rollMs = 2000;
const tickMs = 250;
const beatMs = 1200;
const samplersPerNode = 2.54;
/** Of a figure that must not grow: how much of it may come from names that grow longer, and from rounding. */
const slack = 1.15;
const sites: Site[] = [];
const now = (): number => Date.now();

const siteOf = (size: number): Site => {
  const cores = new Map<string, Core>();
  const counted = { messages: 0, bytes: 0 };
  const names = ['core-1', 'core-2', 'core-3'];
  /** Channels over JSON as real ones are; only what nodes exchange with cores is counted. */
  const channelsOf = (counts: boolean): Channels => {
    const call = async (address: string, _name: string, body: unknown): Promise<unknown> => {
      const asked = JSON.stringify(body);
      const answer = JSON.stringify(await cores.get(address)!.desk.follow(JSON.parse(asked) as WatchRequest));
      if (counts) counted.messages += 2;
      if (counts) counted.bytes += asked.length + answer.length;
      return JSON.parse(answer) as unknown;
    };
    return { call, bytes: () => ({ sent: 0, received: 0 }), close: () => undefined } as unknown as Channels;
  };
  const followers = names.map((name) => {
    /** A core says in its word of itself which sequence of the register it knows. */
    const self = (): Member => ({
      name,
      role: 'core',
      zone: 'zone-1',
      peer: name,
      disk: name,
      state: 'ready',
      incarnation: 1,
      sequence: core.followed?.sequence ?? 0,
      coreFresh: false,
    });
    const core: Core = {
      followed: undefined,
      desk: makeWatchServer({ self, incarnation: 1, beatMs, now, wall: now, followed: () => core.followed }),
    };
    cores.set(name, core);
    const seeds = names.filter((each) => each !== name);
    return { desk: core.desk, make: () => watchers.make({ channels: channelsOf(false), seeds, self, now }) };
  });
  const running = followers.map(({ desk, make }) => {
    const watcher = make();
    watcher.onChange((before, after) => {
      for (const each of after.samplers.values()) if (before.samplers.get(each.id) !== each) desk.hear(each);
    });
    return watcher;
  });
  const nodes = Array.from({ length: size - names.length }, (_, place) =>
    startHollowNode({ name: `node-${place}`, zone: 'zone-1', cores: names, channels: channelsOf(true), now }),
  );
  const told = new Map<number, Omit<Sampler, 'quiet' | 'born'>>();
  const site: Site = {
    cores: [...cores.values()],
    nodes,
    counted,
    samplers: Math.round(size * samplersPerNode),
    announce: (place, more) => {
      const blank = {
        id: `sampler-${place}`,
        service: 'texts',
        address: `10.0.0.${place}:1`,
        zone: 'zone-1',
        slots: 4,
      };
      const before = told.get(place) ?? { ...blank, state: 'ready', beat: 0, models: { writer: 1 } };
      told.set(place, { ...before, ...more, beat: before.beat + 1 });
      site.cores[place % site.cores.length]!.desk.announce(told.get(place)!);
    },
    stop: () => {
      for (const node of nodes) node.stop();
      for (const watcher of running) watcher.stop();
    },
  };
  sites.push(site);
  return site;
};

/** Lets time pass: each sampler says its beat, each core ticks, and what is on its way arrives. */
const pass = async (site: Site, ms: number, each: (at: number) => void = () => undefined): Promise<Counted> => {
  const before = { ...site.counted };
  for (let at = 0; at < ms; at += stepMs) {
    jest.advanceTimersByTime(stepMs);
    for (let place = 0; place < site.samplers; place += 1)
      if ((now() + place * 7 * stepMs) % beatMs < stepMs) site.announce(place);
    if (at % tickMs === 0) for (const { desk } of site.cores) desk.tick();
    each(at);
    await turns.pass(8);
  }
  return { messages: site.counted.messages - before.messages, bytes: site.counted.bytes - before.bytes };
};
const settled = async (size: number): Promise<Site> => {
  const site = siteOf(size);
  await pass(site, 4000);
  for (const node of site.nodes) {
    expect(node.watcher.view().members.size).toBe(size);
    expect(node.watcher.view().samplers.size).toBe(site.samplers);
  }
  return site;
};
/** What something costs at 15 and at 60 nodes: for each node, and in the cores for each node of the fleet. */
const costs = async (work: (site: Site) => Promise<Counted>): Promise<ReadonlyArray<Counted>> => {
  const all: Counted[] = [];
  for (const size of [15, 60]) {
    const site = await settled(size);
    const nodes = site.nodes.length;
    const { messages, bytes } = await work(site);
    all.push({ messages: messages / nodes, bytes: bytes / nodes });
  }
  return all;
};
/**
 * Each message has a node at one end and a core at the other. So a cost for each node that does not grow is constant in
 * a node and linear in the cores, and one that grows is worse than linear in the cores as well.
 */
const constant = ([few, many]: ReadonlyArray<Counted>): void => {
  expect(few!.messages).toBeGreaterThan(0);
  const grew = { messages: many!.messages / few!.messages, bytes: many!.bytes / few!.bytes };
  expect(grew.messages).toBeLessThanOrEqual(slack);
  expect(grew.bytes).toBeLessThanOrEqual(slack);
};

beforeEach(() => {
  jest.useFakeTimers({ now: 10_000, doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask', 'performance'] });
});
afterEach(() => {
  for (const site of sites.splice(0)) site.stop();
  jest.useRealTimers();
});

describe('at 60 nodes as at 15, each node pays the same', () => {
  test('while nothing changes', async () => {
    constant(await costs((site) => pass(site, 6000)));
  });
  test('for a change of the traffic', async () => {
    const change = async (site: Site): Promise<Counted> => {
      const stores = { epoch: 1, current: [], previous: [] };
      const traffic = { ...plainTraffic(1, 20), document: '' };
      for (const core of site.cores) {
        core.followed = { sequence: 1, models: {}, stores, voters: [], electorate: 1, traffic };
        core.desk.wake();
      }
      const cost = await pass(site, 1000);
      for (const node of site.nodes) expect(node.watcher.view().followed?.traffic?.version).toBe(1);
      return cost;
    };
    constant(await costs(change));
  });
  test('for a sampler that drains', async () => {
    const drain = async (site: Site): Promise<Counted> => {
      site.announce(0, { state: 'draining' });
      const cost = await pass(site, 1000);
      for (const node of site.nodes) expect(node.watcher.view().samplers.get('sampler-0')!.state).toBe('draining');
      return cost;
    };
    constant(await costs(drain));
  });
  test('for a node that is lost', async () => {
    const lose = async (site: Site): Promise<Counted> => {
      const lost = site.nodes.pop()!;
      lost.stop();
      const cost = await pass(site, 4000);
      for (const node of site.nodes) expect(node.watcher.view().members.has(lost.name)).toBe(false);
      return cost;
    };
    constant(await costs(lose));
  });
  test('in messages while every sampler loads new weights within 2 s', async () => {
    const roll = async (site: Site): Promise<Counted> => {
      const cost = await pass(site, rollMs, (at) => {
        const from = Math.floor((site.samplers * at) / rollMs);
        const to = Math.floor((site.samplers * (at + stepMs)) / rollMs);
        for (let place = from; place < to; place += 1) site.announce(place, { models: { writer: 2 } });
      });
      await pass(site, 1000);
      for (const node of site.nodes)
        for (const sampler of node.watcher.view().samplers.values()) expect(sampler.models['writer']).toBe(2);
      return cost;
    };
    const [few, many] = await costs(roll);
    // What is told of the samplers grows with their number; how often each node is told must not.
    expect(many!.messages / few!.messages).toBeLessThanOrEqual(slack);
  });
});
