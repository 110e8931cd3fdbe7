import type { FleetView } from '../watcher.js';
import { samplerCost } from '../../policy/samplerCost.js';
import type { Sampler } from '../fleetTypes.js';

/** Which sampler takes a request, by what is announced and by what this front has seen of each. */
export type SamplerDirectory = {
  /** The best sampler of a service that was not tried yet; `once` where the request can't be sent again. */
  readonly choose: (service: string, tried: ReadonlySet<string>, once?: boolean) => Sampler | undefined;
  readonly find: (id: string) => Sampler | undefined;
  /** True once a sampler is known to be leaving or gone. */
  readonly left: (id: string) => boolean;
  readonly of: (service: string) => ReadonlyArray<Sampler>;
  readonly began: (id: string) => void;
  /** Notes how a call went: what it took in milliseconds, or that it failed, and for how long to stay away. */
  readonly ended: (id: string, tookMs: number | undefined, awayMs: number) => void;
  readonly usable: (id: string) => boolean;
};

type Seen = { out: number; ewmaMs: number; awayUntil: number; okAt: number; faults: number; faultAt: number };

const freshMs = 30;
/** A sampler whose announcements stopped counts as quiet unless it answered this recently. */
const answeredMs = 1500;
const faultSlowdown = 0.1;
/** The share of faults halves in this time, so that a sampler that is well again is found out. */
const faultHalfMs = 3000;
const slowdown = 0.25;

/** Makes a front's directory. */
export const makeSamplerDirectory = (options: {
  readonly view: () => FleetView;
  readonly zone: string;
  readonly now: () => number;
  readonly chance: () => number;
  /** Whether a call to an address needs no new connection. */
  readonly idle: (address: string, once: boolean) => boolean;
}): SamplerDirectory => {
  const { now } = options;
  const seen = new Map<string, Seen>();
  let byService = new Map<string, Sampler[]>();
  let builtOn: FleetView | undefined;

  const of = (service: string): ReadonlyArray<Sampler> => {
    const view = options.view();
    if (view !== builtOn) {
      builtOn = view;
      byService = new Map();
      const newest = new Map<string, Sampler>();
      for (const sampler of view.samplers.values()) {
        if (sampler.state === 'gone') continue;
        const known = newest.get(sampler.address);
        const newer = known && (known.quiet !== sampler.quiet ? known.quiet : sampler.born > known.born);
        if (!known || newer) newest.set(sampler.address, sampler);
      }
      for (const sampler of newest.values())
        byService.set(sampler.service, [...(byService.get(sampler.service) ?? []), sampler]);
      for (const id of seen.keys()) if (!view.samplers.has(id)) seen.delete(id);
    }
    return byService.get(service) ?? [];
  };
  const seenOf = (id: string): Seen => {
    const known = seen.get(id);
    if (known) return known;
    const fresh: Seen = { out: 0, ewmaMs: usualMs(id), awayUntil: 0, okAt: 0, faults: 0, faultAt: 0 };
    seen.set(id, fresh);
    return fresh;
  };
  /** What a sampler takes of which nothing is known yet: what the quickest of its service takes. */
  const usualMs = (id: string): number => {
    const service = options.view().samplers.get(id)?.service ?? '';
    const known = of(service).flatMap((sampler) => {
      const peer = seen.get(sampler.id);
      return peer && peer.okAt > 0 ? [peer.ewmaMs] : [];
    });
    return known.length > 0 ? Math.min(...known) : freshMs;
  };
  const faultsOf = ({ faults, faultAt }: Seen): number => faults * 0.5 ** ((now() - faultAt) / faultHalfMs);
  const cost = (sampler: Sampler, once: boolean): number => {
    const known = seenOf(sampler.id);
    return samplerCost({
      open: known.out,
      slots: sampler.slots,
      latencyMs: known.ewmaMs,
      sameZone: sampler.zone === options.zone,
      quiet: sampler.quiet && now() - known.okAt > answeredMs,
      connected: options.idle(sampler.address, once),
      ejected: now() < known.awayUntil,
      faultShare: faultsOf(known),
    });
  };
  return {
    of,
    find: (id) => options.view().samplers.get(id),
    left: (id) => options.view().samplers.get(id)?.state !== 'ready',
    choose: (service, tried, once = false) => {
      let best: { sampler: Sampler; cost: number } | undefined;
      for (const sampler of of(service)) {
        if (sampler.state !== 'ready' || tried.has(sampler.id)) continue;
        const weighed = cost(sampler, once) * (1 + 0.05 * options.chance());
        if (!best || weighed < best.cost) best = { sampler, cost: weighed };
      }
      return best?.sampler;
    },
    began: (id) => {
      seenOf(id).out += 1;
    },
    ended: (id, tookMs, awayMs) => {
      const known = seenOf(id);
      known.out = Math.max(0, known.out - 1);
      if (tookMs !== undefined) {
        known.ewmaMs += slowdown * (tookMs - known.ewmaMs);
        known.okAt = now();
        known.faults *= 1 - faultSlowdown;
        known.awayUntil = 0;
      } else if (awayMs > 0) {
        known.awayUntil = now() + awayMs;
        const faults = faultsOf(known);
        known.faults = faults + faultSlowdown * (1 - faults);
        known.faultAt = now();
      }
    },
    usable: (id) => now() >= seenOf(id).awayUntil,
  };
};
