import { concurrencyLimit, type ConcurrencyLimit } from '../../policy/concurrencyLimit.js';

/** A call that has begun under the limit. */
export type LimitedCall = {
  /** Notes that a sampler had no room for it: it was turned away, or waited in a queue. */
  readonly overloaded: () => void;
  /** Ends it; the next one that waits begins. Only a call that a sampler answered tells that there was room. */
  readonly ended: (how: 'answered' | 'unanswered') => void;
};

/** Bounds how many background calls one front has open at each service, so that callers' requests find room there. */
export type ServiceLimiter = {
  /** Begins a call now or once there is room; answers how to give up waiting. */
  readonly enter: (service: string, begin: (call: LimitedCall) => void) => () => void;
};

type Waiting = { readonly begin: (call: LimitedCall) => void };
type Service = {
  limit: ConcurrencyLimit;
  open: number;
  readonly waiting: Set<Waiting>;
  /** True while calls that wait are begun; one that ends at once begins the next one there, and not within itself. */
  starting: boolean;
};

/** Makes a front's limiter; calls of one service begin in the order in which they came. */
export const makeServiceLimiter = (now: () => number): ServiceLimiter => {
  const services = new Map<string, Service>();
  const serviceOf = (name: string): Service => {
    const known = services.get(name);
    if (known) return known;
    const made: Service = { limit: concurrencyLimit.initial, open: 0, waiting: new Set(), starting: false };
    services.set(name, made);
    return made;
  };
  const start = (service: Service, { begin }: Waiting): void => {
    service.open += 1;
    let [ended, overloaded] = [false, false];
    begin({
      overloaded: () => {
        overloaded = true;
        service.limit = concurrencyLimit.afterOverload(service.limit, now());
      },
      ended: (how) => {
        if (ended) return;
        ended = true;
        service.open -= 1;
        if (!overloaded && how === 'answered') service.limit = concurrencyLimit.afterRoom(service.limit);
        startWaiting(service);
      },
    });
  };
  const startWaiting = (service: Service): void => {
    if (service.starting) return;
    service.starting = true;
    try {
      for (const next of service.waiting) {
        if (!concurrencyLimit.allows(service.limit, service.open)) break;
        service.waiting.delete(next);
        start(service, next);
      }
    } finally {
      service.starting = false;
    }
  };
  return {
    enter: (name, begin) => {
      const service = serviceOf(name);
      const call: Waiting = { begin };
      service.waiting.add(call);
      startWaiting(service);
      return () => void service.waiting.delete(call);
    },
  };
};
