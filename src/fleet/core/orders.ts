import type { Dialect } from '../dialect.js';
import type { Load, Sampler } from '../fleetTypes.js';
import type { SamplerClient } from '../samplerClient.js';
import { rendezvous } from '../../shared/rendezvous.js';

type Under = {
  readonly sampler: string;
  readonly model: string;
  readonly version: number;
  since: number;
  taken: boolean;
};

/** Brings samplers to the versions that trainers named, by orders of one holder under one fence. */
export type Orders = { readonly tick: () => void; readonly loads: () => ReadonlyArray<Load> };

const orderMs = 1000;
const loadMs = 900;
const againMs = 120;
const lostMs = 4000;
const atOnce = 2;

/** Makes the orderer; `fence` is undefined while the duty is not held or its first wait is not over. */
export const makeOrders = (options: {
  readonly holder: string;
  readonly fence: () => number | undefined;
  readonly samplers: () => ReadonlyArray<Sampler>;
  readonly models: () => Readonly<Record<string, number>>;
  readonly client: SamplerClient;
  readonly dialect: Dialect;
  readonly now: () => number;
  readonly changed: (loads: ReadonlyArray<Load>) => void;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): Orders => {
  const { now } = options;
  const under = new Map<string, Under>();
  /** Versions that samplers took an order for; their announcements lag behind. */
  const reached = new Map<string, { readonly version: number; readonly at: number }>();
  const notBefore = new Map<string, number>();
  let published = '';

  const loads = (): ReadonlyArray<Load> => [
    ...[...under.values()].map(({ sampler, model, version }) => ({ sampler, model, version, done: false })),
    ...[...reached].map(([key, { version }]) => {
      const [sampler, model] = key.split(' ') as [string, string];
      return { sampler, model, version, done: true };
    }),
  ];
  const publish = (): void => {
    const all = loads();
    const text = JSON.stringify(all);
    if (text === published) return;
    published = text;
    options.changed(all);
  };

  const order = (sampler: Sampler, model: string, version: number, fence: number): void => {
    const key = `${sampler.id} ${model}`;
    const entry: Under = { sampler: sampler.id, model, version, since: now(), taken: false };
    under.set(key, entry);
    const call = options.dialect.orderCall({ sampler, model, version, holder: options.holder, fence });
    let status = 0;
    const over = (reason: string): void => {
      if (under.get(key) !== entry) return;
      if (status === 202) {
        entry.taken = true;
        entry.since = now();
      } else {
        under.delete(key);
        if (status === 200) reached.set(key, { version, at: now() });
        // A silence may hide an order that was taken, so it is asked again, and the same order is answered with 200.
        notBefore.set(key, now() + (status === 0 ? 500 : againMs));
      }
      options.event('weights_ordered', { sampler: sampler.id, model, version, status, reason });
      publish();
    };
    options.client.call(sampler.address, call, orderMs, {
      head: (seen) => (status = seen),
      data: () => undefined,
      ended: () => over(''),
      failed: (reason) => over(reason),
    });
  };

  return {
    loads,
    tick: () => {
      const fence = options.fence();
      const at = now();
      const all = options.samplers();
      const byId = new Map(all.map((sampler) => [sampler.id, sampler]));
      for (const [key, entry] of under) {
        const sampler = byId.get(entry.sampler);
        const there = (sampler?.models[entry.model] ?? 0) >= entry.version;
        if (!sampler || sampler.state === 'gone') under.delete(key);
        else if (entry.taken && (there || at - entry.since > loadMs)) {
          under.delete(key);
          reached.set(key, { version: entry.version, at });
        }
      }
      for (const [key, { version, at: since }] of reached) {
        const [id, model] = key.split(' ') as [string, string];
        const sampler = byId.get(id);
        if (!sampler || sampler.state === 'gone' || (sampler.models[model] ?? 0) >= version) reached.delete(key);
        else if (at - since > lostMs) reached.delete(key);
      }
      publish();
      if (fence === undefined) return;
      for (const [model, version] of Object.entries(options.models())) {
        const serving = all.filter((sampler) => model in sampler.models && sampler.state === 'ready' && !sampler.quiet);
        const ranked = rendezvous(
          model,
          serving.map((sampler) => sampler.id),
        );
        for (const id of ranked) {
          const sampler = byId.get(id)!;
          const key = `${id} ${model}`;
          if (under.size >= atOnce) return;
          if (sampler.models[model]! >= version || (reached.get(key)?.version ?? 0) >= version) continue;
          if ([...under.values()].some((entry) => entry.sampler === id) || at < (notBefore.get(key) ?? 0)) continue;
          order(sampler, model, version, fence);
        }
      }
    },
  };
};
