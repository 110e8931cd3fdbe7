import { rendezvous } from '../../shared/rendezvous.js';
import type { Channels } from '../../edge/channels.js';
import type { LoadWish } from '../core/loadPermits.js';
import type { Dialect } from '../dialect.js';
import type { Sampler } from '../fleetTypes.js';
import type { FleetView } from '../watcher.js';
import type { SamplerClient } from '../samplerClient.js';
import type { OrderLease } from './orderLease.js';
import { samplerAnswer } from './samplerAnswer.js';

/** Loads of weights at the samplers that a front owns, as far as waiting work wants them. */
export type WeightLoads = {
  /** Wishes for a version; does nothing while one is on its way there. */
  readonly wish: (sampler: Sampler, wish: Omit<LoadWish, 'sampler' | 'slots'>) => void;
  /** The version that is being loaded. */
  readonly coming: (sampler: string, model: string) => number | undefined;
  /** Whether the load under way at a sampler has taken nearly as long as loads took of late. */
  readonly due: (sampler: string) => boolean;
  /** Notes that a sampler was seen to have a version. */
  readonly reached: (sampler: string, model: string, version: number) => void;
  readonly forget: (sampler: string) => void;
};

type Under = {
  readonly model: string;
  readonly version: number;
  ordered: boolean;
  since: number;
  dueAt: number;
};

const orderMs = 1000;
/** Orders carry no id, and so do their answers. */
const orderAttempt = '';
const permitMs = 500;
const deniedMs = 150;
const busyMs = 80;
const awayMs = 900;
const lostMs = 2500;
const dueShare = 0.85;
const learnShare = 0.3;

/** Makes a front's loads: a permit, so that few load at once, then the lease to order, then the order. */
export const makeWeightLoads = (options: {
  readonly name: string;
  readonly channels: Channels;
  readonly client: SamplerClient;
  readonly dialect: Dialect;
  readonly lease: OrderLease;
  readonly view: () => FleetView;
  readonly now: () => number;
  readonly changed: () => void;
  /** An order found another life of the sampler at its address: this one is over. */
  readonly outlived: (sampler: string) => void;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): WeightLoads => {
  const { channels, view, now } = options;
  const under = new Map<string, Under>();
  const notBefore = new Map<string, number>();
  /** How long loads took of late, from the order until the version was seen. */
  let tookMs = 0;

  const permitCore = (): string | undefined => {
    const cores = [...view().members.values()].filter((member) => member.role === 'core' && member.state === 'ready');
    const first = rendezvous(
      'loads',
      cores.map((core) => core.name),
    )[0];
    return cores.find((core) => core.name === first)?.peer;
  };
  const permitted = async (wish: LoadWish): Promise<boolean> => {
    const core = permitCore();
    if (!core) return true;
    try {
      return ((await channels.call(core, 'weights.permit', wish, permitMs)) as { granted: boolean }).granted;
    } catch {
      // Without the core that counts loads they are only slower, never wrong.
      return true;
    }
  };
  const release = (sampler: string, { model, version }: Under, failed: boolean): void => {
    const core = permitCore();
    const load = { sampler, model, version, failed };
    if (core) void channels.call(core, 'weights.done', load, permitMs).catch(() => undefined);
  };
  const over = (id: string, entry: Under, againMs: number): void => {
    if (under.get(id) !== entry) return;
    under.delete(id);
    notBefore.set(id, now() + againMs);
    options.changed();
  };
  const order = (sampler: Sampler, entry: Under, fence: number): void => {
    const { model, version } = entry;
    const call = options.dialect.orderCall({ sampler, model, version, holder: options.name, fence });
    let status = 0;
    const done = (reason: string, sent: boolean): void => {
      options.event('weights_ordered', { sampler: sampler.id, model, version, status, reason });
      if (status === 202 || status === 200 || (status === 0 && sent)) {
        // A silence may hide an order that was taken: the next item tells.
        entry.ordered = true;
        entry.since = now();
        entry.dueAt = status === 202 ? entry.since + Math.min(tookMs * dueShare, lostMs / 2) : 0;
        options.changed();
        return;
      }
      // The permit is free again at once: few load at a time, and one that can't must not keep the others waiting.
      release(sampler.id, entry, true);
      if (status === 421) options.outlived(sampler.id);
      over(sampler.id, entry, status === 0 || status === 421 ? awayMs : busyMs);
    };
    const open = options.client.call(sampler.address, call, orderMs, {
      head: (seen, { headers }) => {
        if (samplerAnswer.kindOfUnstamped(orderAttempt, options.dialect.samplerHead(headers)) !== 'foreign') {
          status = seen;
          return;
        }
        open.abort();
        done(samplerAnswer.reasons.foreign, true);
      },
      data: () => undefined,
      ended: () => done('', true),
      failed: (reason, sent) => {
        // An answer that was cut is none: the order may have been taken.
        status = 0;
        done(reason, sent);
      },
    });
  };
  const begin = async (sampler: Sampler, entry: Under, wish: LoadWish): Promise<void> => {
    if (!(await permitted(wish))) return over(sampler.id, entry, deniedMs);
    const lease = await options.lease.acquire(sampler.id);
    if (under.get(sampler.id) !== entry) return;
    if (!lease || now() >= lease.until) {
      release(sampler.id, entry, true);
      return over(sampler.id, entry, deniedMs);
    }
    order(sampler, entry, lease.fence);
  };
  return {
    wish: (sampler, wish) => {
      const known = under.get(sampler.id);
      if (known && now() - known.since < lostMs) return;
      if (now() < (notBefore.get(sampler.id) ?? 0)) return;
      const entry: Under = { model: wish.model, version: wish.version, ordered: false, since: now(), dueAt: 0 };
      under.set(sampler.id, entry);
      void begin(sampler, entry, { ...wish, sampler: sampler.id, slots: sampler.slots }).catch(() =>
        over(sampler.id, entry, deniedMs),
      );
    },
    coming: (sampler, model) => {
      const known = under.get(sampler);
      return known?.ordered && known.model === model && now() - known.since < lostMs ? known.version : undefined;
    },
    due: (sampler) => {
      const known = under.get(sampler);
      return known === undefined || now() >= known.dueAt;
    },
    reached: (sampler, model, version) => {
      const known = under.get(sampler);
      if (!known || known.model !== model || version < known.version) return;
      if (known.dueAt > 0) tookMs += (tookMs === 0 ? 1 : learnShare) * (now() - known.since - tookMs);
      under.delete(sampler);
      release(sampler, known, false);
      options.changed();
    },
    forget: (sampler) => {
      under.delete(sampler);
      notBefore.delete(sampler);
    },
  };
};
