import { texts } from '../../shared/texts.js';
import type { Dialect } from '../dialect.js';
import type { Grant, LotResult } from '../fleetTypes.js';
import type { FleetView } from '../watcher.js';
import type { SamplerClient } from '../samplerClient.js';
import { traffic } from '../traffic.js';
import { attempts } from './attempts.js';
import type { HedgeControl } from './hedgeControl.js';
import type { SamplerDirectory } from './samplerDirectory.js';

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

const ratingMs = 4000;
const againMs = 80;

/** Makes a front's rating calls. */
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
        const binding = traffic.match(view().followed?.traffic, asked.host, asked.path);
        if (!binding || !options.leased(grant.lot)) return wait();
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
          },
          (outcome) => {
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
