import type { Sampler } from '../fleet/fleetTypes.js';
import type { FleetView } from '../fleet/watcher.js';
import { makeSamplerDirectory } from '../fleet/front/samplerDirectory.js';
import { virtualSamplers } from './virtualSamplers.js';

const slots = 4;

/**
 * A front that has so many calls under way at three samplers of four slots each, when a fourth returns: the most calls
 * that it had at the fourth at once, and all of them.
 */
export const returningSampler = (seed: number, load: number, workMs: number): { most: number; calls: number } => {
  const chance = virtualSamplers.generator(seed);
  let time = 0;
  const old = ['s0', 's1', 's2'].map((id) => virtualSamplers.announced(id, { slots }));
  const samplersOf = (list: ReadonlyArray<Sampler>): FleetView => ({
    members: new Map(),
    samplers: new Map(list.map((sampler) => [sampler.id, sampler])),
    followed: undefined,
  });
  let view = samplersOf(old);
  const peaks = new Map<string, number>();
  /** Connections that were made are kept. */
  const idle = (address: string): boolean => (peaks.get(address) ?? 0) > out(address.slice(0, -2));
  const directory = makeSamplerDirectory({ view: () => view, zone: 'a', now: () => time, chance, idle });
  const open: Array<{ readonly id: string; readonly began: number; readonly until: number }> = [];
  const out = (id: string): number => open.filter((each) => each.id === id).length;
  let [most, calls] = [0, 0];
  const pass = (ms: number): void => {
    for (const end = time + ms; time < end; time += 10) {
      for (const each of open.filter(({ until }) => until <= time)) {
        open.splice(open.indexOf(each), 1);
        directory.ended(each.id, time - each.began, 0);
      }
      while (open.length < load) {
        const { id } = directory.choose('texts', new Set())!;
        directory.began(id);
        if (id === 'new') calls += 1;
        open.push({ id, began: time, until: time + workMs * (0.5 + chance()) });
      }
      for (const id of ['s0', 's1', 's2', 'new']) peaks.set(`${id}:1`, Math.max(out(id), peaks.get(`${id}:1`) ?? 0));
      most = Math.max(most, out('new'));
    }
  };
  pass(10_000);
  view = samplersOf([...old, virtualSamplers.announced('new', { slots })]);
  pass(5000);
  return { most, calls };
};
