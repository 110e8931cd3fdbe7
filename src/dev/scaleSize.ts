import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { hollowParty, type HollowParty } from './hollowParty.js';
import type { HollowAnswer, HollowSight, HollowTask } from './hollowWords.js';
import { loopbackFleet, type LoopbackFleet } from './loopbackFleet.js';
import { plainTraffic } from './plainTraffic.js';
import { processCost } from './processCost.js';

/** The costs of one repeat at one size, by name. */
export type ScaleCosts = Readonly<Record<string, number>>;
/** All that one size gave. */
export type ScaleSize = {
  readonly n: number;
  readonly samplers: number;
  readonly repeats: ReadonlyArray<ScaleCosts>;
  readonly once: ScaleCosts;
};

const counts = { front: 2, store: 3, core: 3 } as const;
const samplersPerNode = 2.54;
const zones = 8;
const beatMs = 1200;
const furtherBindings = 40;
const nodesAProcess = 125;
const idleMs = 4000;
const rollMs = 9000;
const repeats = 3;
/** Far over what an idle node needs, and far under what a change of the members brings. */
const calmKbPerS = 4;
const calmMostMs = 12_000;
/** What is not known everywhere by then is written down as not known. */
const knownMostMs = 7000;
const declaresMost = 8;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const sum = (numbers: ReadonlyArray<number>): number => numbers.reduce((all, each) => all + each, 0);
const mean = (numbers: ReadonlyArray<number>): number => sum(numbers) / Math.max(1, numbers.length);

type Site = {
  readonly fleet: LoopbackFleet;
  readonly nodes: ReadonlyArray<HollowParty>;
  readonly samplers: HollowParty;
  alive: number;
};

const look = async ({ fleet, nodes, samplers }: Site) => ({
  at: performance.now(),
  costs: new Map(
    [...fleet.processes.map(({ pid }) => pid), ...[...nodes, samplers].map(({ pid }) => pid)].map((pid) => [
      pid,
      processCost.of(pid),
    ]),
  ),
  nodes: await Promise.all(nodes.map((party) => party.order({ kind: 'counts' }))),
  beats: await samplers.order({ kind: 'counts' }),
});
type Sight = Awaited<ReturnType<typeof look>>;

const between = (site: Site, before: Sight, after: Sight, prefix = ''): Record<string, number> => {
  const seconds = (after.at - before.at) / 1000;
  const pids = (role: 'core' | 'front'): ReadonlyArray<number> => site.fleet.of(role).map(({ pid }) => pid);
  const share = (pid: number): number => (after.costs.get(pid)!.cpuMs - before.costs.get(pid)!.cpuMs) / (10 * seconds);
  const rate = (pid: number): number =>
    (['wrote', 'read'] as const).reduce((all, f) => all + after.costs.get(pid)![f] - before.costs.get(pid)![f], 0) /
    (1000 * seconds);
  const mb = (pid: number): number => after.costs.get(pid)!.residentMb;
  const told = (field: keyof HollowAnswer): number =>
    sum(after.nodes.map((each, place) => each[field] - before.nodes[place]![field])) / (site.alive * seconds);
  const named = Object.entries({
    coreCpuPercent: mean(pids('core').map(share)),
    coreCpuMostPercent: Math.max(...pids('core').map(share)),
    coreKbPerS: mean(pids('core').map(rate)),
    coreResidentMb: mean(pids('core').map(mb)),
    frontCpuPercent: mean(pids('front').map(share)),
    frontKbPerS: mean(pids('front').map(rate)),
    frontResidentMb: mean(pids('front').map(mb)),
    nodeCpuPercent: sum(site.nodes.map(({ pid }) => share(pid))) / site.alive,
    nodeKbPerS: told('bytes') / 1000,
    nodeCallsPerS: told('calls'),
    nodeChangesPerS: told('changes'),
    beatsPerS: (after.beats.calls - before.beats.calls) / seconds,
  });
  return Object.fromEntries(
    named.map(([name, value]) => [prefix ? prefix + name[0]!.toUpperCase() + name.slice(1) : name, value]),
  );
};

const knownAt = async (site: Site, what: HollowSight): Promise<number> => {
  const heard = await Promise.all(site.nodes.map((party) => party.order({ kind: 'await', what, mostMs: knownMostMs })));
  const lacking = sum(heard.map((each) => each.lacking));
  return lacking > 0 ? NaN : Math.max(...heard.map((each) => each.lastAt));
};

/** Waits until what a joint start set going has died down; answers how long that took. */
const calmed = async (site: Site): Promise<number> => {
  const began = performance.now();
  let before = await look(site);
  for (;;) {
    await sleep(1000);
    const after = await look(site);
    if (between(site, before, after)['nodeKbPerS']! < calmKbPerS) return performance.now() - began;
    if (performance.now() - began > calmMostMs) return NaN;
    before = after;
  }
};

/** Declares a traffic, again while cores can't decide it in time, as operators do; answers how often it was sent. */
const declare = async (site: Pick<Site, 'fleet'>, version: number): Promise<number> => {
  const document = JSON.stringify(plainTraffic(version, furtherBindings));
  const headers = { 'if-match': String(version - 1) };
  for (let sends = 1; ; sends += 1) {
    const core = site.fleet.of('core')[(version + sends) % counts.core]!;
    const heard = await loopbackFleet.call(core.control, 'PUT', '/foxdeck/traffic', headers, document);
    if (heard.status === 200) return sends;
    if (heard.status < 500 || sends >= declaresMost)
      throw new Error(`traffic ${version} was answered with ${heard.status}: ${heard.body}`);
  }
};

const repeat = async (site: Site, nth: number): Promise<ScaleCosts> => {
  const before = await look(site);
  await sleep(idleMs);
  const idle = await look(site);
  const calm = between(site, before, idle);
  const declaredAt = Date.now();
  const trafficAt = knownAt(site, { sight: 'traffic', version: nth + 2 });
  trafficAt.catch(() => undefined);
  const sends = await declare(site, nth + 2);
  const answeredAt = Date.now();
  const trafficMs = (await trafficAt) - declaredAt;
  await sleep(1000);
  const changed = await look(site);
  const extra = (from: Sight, to: Sight): number =>
    (between(site, from, to)['nodeKbPerS']! - calm['nodeKbPerS']!) * ((to.at - from.at) / 1000);

  const lost = `hollow-${nth * 2}`;
  const [doubted, draining] = [`sampler-${nth * 3}`, `sampler-${nth * 3 + 1}`];
  const lostAt = Date.now();
  const awaited = Promise.all([
    knownAt(site, { sight: 'draining', name: draining }),
    knownAt(site, { sight: 'doubted', name: doubted }),
  ]);
  awaited.catch(() => undefined);
  await site.samplers.order({ kind: 'drain', name: draining });
  await site.samplers.order({ kind: 'lose', name: doubted });
  for (const party of site.nodes) await party.order({ kind: 'lose', name: lost });
  site.alive -= 1;
  const noNode = await knownAt(site, { sight: 'noNode', name: lost });
  const [drainingAt, doubtedAt] = await awaited;
  const settled = await look(site);
  return {
    ...calm,
    declareSends: sends,
    declaredMs: answeredAt - declaredAt,
    trafficKnownMs: trafficMs,
    trafficChangeKbPerNode: extra(idle, changed),
    drainingKnownMs: drainingAt - lostAt,
    lostSamplerKnownMs: doubtedAt - lostAt,
    lostNodeKnownMs: noNode - lostAt,
    lossKbPerNode: extra(changed, settled),
  };
};

const roll = async (site: Site): Promise<ScaleCosts> => {
  const before = await look(site);
  const beganAt = Date.now();
  await site.samplers.order({ kind: 'roll', version: 2, overMs: rollMs });
  await sleep(rollMs);
  const after = await look(site);
  const known = await knownAt(site, { sight: 'rolled', version: 2 });
  return { ...between(site, before, after, 'roll'), rollKnownLateMs: known - beganAt - rollMs };
};

const run = async (fleet: LoopbackFleet, n: number, samplers: number): Promise<ScaleSize> => {
  await Promise.all(fleet.processes.map(({ started }) => started));
  const hollow = n - fleet.processes.length;
  const task = { first: 0, zones, beatMs };
  const party = (part: Pick<HollowTask, 'kind' | 'first' | 'count' | 'cores'>): HollowParty =>
    hollowParty(fleet.beside('hollowMain.js', { ...task, ...part }));
  const cores = fleet.of('core');
  const ready = async (): Promise<boolean> => {
    await declare({ fleet }, 1);
    return true;
  };
  await loopbackFleet.until('a declared traffic', ready, 20_000);
  const began = Date.now();
  const processes = Math.ceil(hollow / nodesAProcess);
  const each = Math.ceil(hollow / processes);
  const site: Site = {
    fleet,
    alive: hollow,
    nodes: Array.from({ length: processes }, (_, place) => {
      const [first, most] = [place * each, hollow - place * each];
      return party({ kind: 'nodes', first, count: Math.min(each, most), cores: cores.map(({ peer }) => peer) });
    }),
    samplers: party({ kind: 'samplers', first: 0, count: samplers, cores: cores.map(({ control }) => control) }),
  };
  const wholeAt = await knownAt(site, { sight: 'whole', nodes: n, samplers });
  const calmMs = await calmed(site);
  const costs: ScaleCosts[] = [];
  for (let nth = 0; nth < repeats; nth += 1) costs.push(await repeat(site, nth));
  const rolled = await roll(site);
  const pids = [...fleet.processes, ...site.nodes, site.samplers].map(({ pid }) => pid);
  const residentMb = sum(pids.map((pid) => processCost.of(pid).residentMb));
  const { failed } = await site.samplers.order({ kind: 'counts' });
  const whole = { wholeKnownMs: wholeAt - began, calmMs, processes: pids.length, residentMb, beatsFailed: failed };
  return { n, samplers, repeats: costs, once: { ...whole, ...rolled } };
};

/** Measures a fleet of one size: real cores, fronts and stores, and hollow nodes and samplers beside them. */
export const measureScaleSize = async (n: number, program: string): Promise<ScaleSize> => {
  const folder = mkdtempSync(join(tmpdir(), 'foxdeck-scale-'));
  const cpuMs = (pid: number): number => processCost.of(pid).cpuMs;
  const fleet = await loopbackFleet.start({ counts, folder, program, cpuMs });
  try {
    return await run(fleet, n, Math.round(n * samplersPerNode));
  } finally {
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
};
