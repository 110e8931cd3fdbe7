import { Effect } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import type { Address } from '../shared/brands.js';
import { Fault } from '../shared/fault.js';
import type { HttpAsk } from '../shared/http.js';
import { table } from '../shared/table.js';

/** A sampler that was chosen for a request, and the seat that it was given there. */
export type Chosen = {
  readonly name: string;
  readonly address: Address;
  readonly version: number;
  readonly permit: string | undefined;
};

type Pace = {
  readonly answerMs: number;
  /** The least that its answers took of late: what it can do when nothing is wrong. */
  readonly bestMs: number;
  readonly slow: boolean;
  readonly shunUntil: number;
  readonly faults: number;
  readonly triedAt: number;
};

const fresh: Pace = { answerMs: 0, bestMs: 0, slow: false, shunUntil: 0, faults: 0, triedAt: 0 };
/** How often a slow sampler gets a request all the same, to see whether it is steady again. */
const trialMs = 2000;
const slowAt = 4;
const steadyAt = 2;
const floorMs = 20;
const shunMs = 1000;
const shunMostMs = 1000;

/** Chooses samplers: ready, near, least burdened; those that fail or turned slow come last, until they are steady. */
export const makeChooser = (context: NodeContext) => {
  const { news, time, log } = context;
  const burdens = table<ReadonlyMap<string, number>>(new Map());
  const paces = table<ReadonlyMap<string, Pace>>(new Map());
  const paceOf = (name: string): Pace => paces.get().get(name) ?? fresh;
  const burdenOf = (name: string): number => burdens.get().get(name) ?? 0;
  const burden = (name: string, by: number): void =>
    void burdens.swap((now) => {
      const next = new Map(now).set(name, (now.get(name) ?? 0) + by);
      if (next.get(name) === 0) next.delete(name);
      return next;
    });
  const medianOf = (service: string): number => {
    const known = news
      .samplers()
      .filter((sampler) => sampler.service === service && paceOf(sampler.name).bestMs > 0)
      .map((sampler) => paceOf(sampler.name).bestMs)
      .sort((left, right) => left - right);
    return Math.max(floorMs, known[Math.floor((known.length - 1) / 2)] ?? 0);
  };

  const plain = (service: string, tried: ReadonlyArray<string>): Chosen | undefined => {
    const most = context.register.known()?.configuration.services[service]?.concurrency ?? 64;
    const ready = news
      .samplers()
      .filter(
        (sampler) =>
          sampler.service === service &&
          sampler.state === 'ready' &&
          !tried.includes(sampler.name) &&
          burdenOf(sampler.name) < most,
      );
    const cost = (name: string, domain: string): number =>
      Number(paceOf(name).shunUntil > time.held()) * 1e6 +
      Number(paceOf(name).slow && time.held() - paceOf(name).triedAt < trialMs) * (1e4 + 1e4 * burdenOf(name)) +
      Number(domain !== context.settings.domain) * 1e3 +
      burdenOf(name) +
      time.chance() * 0.5;
    const [best] = ready
      .map((sampler) => ({ sampler, cost: cost(sampler.name, sampler.domain) }))
      .sort((left, right) => left.cost - right.cost);
    return (
      best && {
        name: best.sampler.name,
        address: best.sampler.address,
        version: best.sampler.version,
        permit: undefined,
      }
    );
  };

  return {
    /** Has a sampler chosen; that of a model service by its seater. */
    choose: (
      service: string,
      ask: HttpAsk,
      timeLeft: number,
      tried: ReadonlyArray<string>,
    ): Effect.Effect<Chosen, Fault> =>
      Effect.suspend(() => {
        if (context.register.known()?.configuration.services[service]?.kind === 'model') {
          const wanted = { burden: Math.ceil(ask.body.length / 4) + 64, domain: context.settings.domain };
          return Effect.map(
            context.seater(service, 'seat', { ...wanted, timeLeftMs: timeLeft }),
            (seat) => seat as Chosen,
          );
        }
        const found = plain(service, tried);
        return found
          ? Effect.succeed(found)
          : Effect.fail(new Fault({ step: 'choose', reason: `no sampler of ${service} is ready` }));
      }),
    begun: (name: string): void => {
      burden(name, 1);
      if (paceOf(name).slow) paces.swap((now) => new Map(now).set(name, { ...paceOf(name), triedAt: time.held() }));
    },
    ended: (name: string): void => burden(name, -1),
    /** A sampler began its answer; slow is far over the service's median, and steady again only well below that. */
    answered: (service: string, name: string, ms: number): void => {
      const before = paceOf(name);
      const answerMs =
        before.answerMs === 0 ? ms : before.slow ? 0.5 * (before.answerMs + ms) : 0.7 * before.answerMs + 0.3 * ms;
      const bestMs = before.bestMs === 0 ? ms : Math.min(1.002 * before.bestMs, answerMs);
      paces.swap((now) => new Map(now).set(name, { ...before, answerMs, bestMs, faults: 0 }));
      const share = answerMs / medianOf(service);
      const slow = before.slow ? share > steadyAt : share > slowAt;
      if (slow === before.slow) return;
      paces.swap((now) => new Map(now).set(name, { ...paceOf(name), slow, triedAt: time.held() }));
      log.event(slow ? 'sampler_slow' : 'sampler_steady', { sampler: name, answerMs, median: medianOf(service) });
    },
    /** A sampler failed: it comes last for a while, longer with each failure in a row. */
    failed: (name: string): void => {
      const before = paceOf(name);
      const shunUntil = time.held() + Math.min(shunMostMs, shunMs * 2 ** before.faults);
      paces.swap((now) => new Map(now).set(name, { ...before, shunUntil, faults: before.faults + 1 }));
    },
  };
};
