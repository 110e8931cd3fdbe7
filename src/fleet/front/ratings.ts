import { texts } from '../../shared/texts.js';
import type { Dialect } from '../dialect.js';
import type { Grant, HostBinding, LotItem, LotResult } from '../fleetTypes.js';
import type { FleetView } from '../watcher.js';
import type { SamplerClient } from '../samplerClient.js';
import { traffic } from '../traffic.js';
import { attempts, type Attempted } from './attempts.js';
import type { HedgeControl } from './hedgeControl.js';
import type { SamplerDirectory } from './samplerDirectory.js';
import { makeServiceLimiter, type LimitedCall } from './serviceLimiter.js';

/** Rating calls: each whole text is rated before its result is said. */
export type Ratings = {
  /** Rates a text, again and again while its lot wants it; answers how to leave off. */
  readonly rate: (
    grant: Grant,
    made: Pick<LotResult, 'versions'> & { readonly text: string },
    done: (result: LotResult) => void,
  ) => () => void;
  readonly open: () => number;
};

type Rating = NonNullable<LotItem['rating']>;

const ratingMs = 4000;
const againMs = 80;

/** Whether a call waited in a sampler's queue, or its time ran out. */
const foundNoRoom = (outcome: Attempted): boolean =>
  outcome.kind === 'answered' ? (outcome.head.waiting ?? 0) > 0 : outcome.kind === 'unknown';

/** Makes a front's rating calls; how many are open at a service at once follows the room that they find there. */
export const makeRatings = (options: {
  readonly client: SamplerClient;
  readonly directory: SamplerDirectory;
  readonly dialect: Dialect;
  readonly hedges: HedgeControl;
  readonly view: () => FleetView;
  readonly now: () => number;
  readonly chance: () => number;
  readonly wanted: (grant: Grant) => boolean;
  /** True while sends for the lot may start. */
  readonly leased: (lot: string) => boolean;
}): Ratings => {
  const { dialect, view } = options;
  const limiter = makeServiceLimiter(options.now);
  const bindingOf = ({ host, path }: Rating): HostBinding | undefined =>
    traffic.match(view().followed?.traffic, host, path);
  let open = 0;
  return {
    open: () => open,
    rate: (grant, made, done) => {
      const asked = grant.item.rating;
      const whole: Omit<LotResult, 'rating'> = {
        id: grant.item.id,
        state: 'completed',
        text: texts.pack(made.text),
        versions: made.versions,
      };
      let [over, faults] = [false, 0];
      let leaveOff = (): void => undefined;
      const finish = (result: LotResult | undefined): void => {
        if (over) return;
        over = true;
        open -= 1;
        if (result) done(result);
      };
      const wait = (): void => {
        const timer = setTimeout(again, againMs);
        leaveOff = () => clearTimeout(timer);
      };
      const again = (): void => {
        if (over) return;
        if (!asked) return finish({ ...whole, rating: '' });
        if (!options.wanted(grant)) return finish(undefined);
        const binding = bindingOf(asked);
        if (!binding || !options.leased(grant.lot)) return wait();
        let begun = false;
        const leaveQueue = limiter.enter(traffic.serviceFor(binding, options.chance()), (limited) => {
          begun = true;
          call(asked, limited);
        });
        if (!begun) leaveOff = leaveQueue;
      };
      const call = (asked: Rating, limited: LimitedCall): void => {
        const binding = bindingOf(asked);
        if (!binding || !options.leased(grant.lot)) {
          limited.ended('unanswered');
          return wait();
        }
        const work = attempts(
          options,
          {
            attempt: asked.id,
            service: traffic.serviceFor(binding, options.chance()),
            repeatable: true,
            most: 2,
            aimMs: binding.aimMs,
            timeLeftMs: Math.min(ratingMs, binding.timeLeftMs),
            call: (sampler, left) => dialect.ratingCall(grant.item, sampler, left),
            allowed: () => !over && options.wanted(grant) && options.leased(grant.lot),
            retryFaults: false,
            turnedAway: limited.overloaded,
          },
          (outcome) => {
            if (!over && foundNoRoom(outcome)) limited.overloaded();
            limited.ended(outcome.kind === 'answered' ? 'answered' : 'unanswered');
            if (over) return;
            if (outcome.kind === 'answered' && outcome.status < 300 && outcome.head.stamp !== '')
              return finish({ ...whole, rating: outcome.head.stamp });
            if (outcome.kind === 'answered' && outcome.status === 500) faults += 1;
            if (faults >= binding.attempts)
              return finish({ ...whole, state: 'abandoned', text: '', versions: [], rating: '' });
            wait();
          },
        );
        leaveOff = () => work.cancel();
      };
      open += 1;
      again();
      return () => {
        finish(undefined);
        leaveOff();
      };
    },
  };
};
