import type { Voter } from '../../core/paxos.js';
import { placement } from '../../policy/placement.js';
import { replicationTargets } from '../../policy/replicationTargets.js';
import { responseTimes, type ResponseTimes } from '../../policy/responseTimes.js';
import { entrySize } from './entrySize.js';
import type { Led, LeaderOptions, LotCopies } from './lotCopies.js';

/** Which copies a store's led lots are written to now, by how soon copies acknowledge. */
export type ReplicationTracker = {
  /** The keys of the copies that a lot's entries go to now. */
  readonly of: (led: Led) => ReadonlySet<string>;
  /** Notes an acknowledgement: of how many bytes, and what it took in milliseconds. */
  readonly acknowledged: (bytes: number, tookMs: number) => void;
  /** Notes a copy that failed to acknowledge. */
  readonly noteLate: (voter: Voter) => void;
  /** Lets another copy take the place of a lot's target that is late. */
  readonly replaceLate: (led: Led) => void;
  /** After how many milliseconds a target is late. */
  readonly lateAfterMs: () => number;
};

/** Bounds of how long an entry may wait for a target; after the longest time it goes to every copy. */
const lateLeastMs = 20;
const lateMostMs = 150;
/** A copy takes in and syncs this much at least; larger entries may take as much longer, up to one part of them. */
const leastBytesPerMs = 8 * 1024;
const waitingMostBytes = 512 * 1024;
/** Acknowledgements of less than this tell how soon a copy answers. */
const timedMostBytes = 64 * 1024;
/** How long a copy that was late or silent is no target where another can be. */
const unresponsiveMs = 2000;
/** A lot that is open for so long goes to every copy. */
const longOpenMs = 10_000;

/** Makes the tracker of one store's leading. */
export const makeReplicationTracker = (options: LeaderOptions, copies: LotCopies): ReplicationTracker => {
  const { now } = options;
  const unresponsiveUntil = new Map<string, number>();
  let seen: ResponseTimes | undefined;

  const lateAfterMs = (): number => responseTimes.lateAfterMs(seen, lateLeastMs, lateMostMs);
  const noteLate = (voter: Voter): void => void unresponsiveUntil.set(placement.key(voter), now() + unresponsiveMs);
  const responsive = (voter: Voter): boolean =>
    copies.address(voter) !== undefined && (unresponsiveUntil.get(placement.key(voter)) ?? 0) <= now();
  /** Targets stay until the sets change or one does not respond: each change costs what the new one lacks. */
  const chosen = (led: Led): ReadonlySet<string> => {
    const sets = copies.sets(led.lot);
    const known = led.targets;
    const lost = (voter: Voter): boolean =>
      known!.keys.has(placement.key(voter)) && placement.key(voter) !== copies.own && !responsive(voter);
    if (known?.sets === sets && !copies.of(led.lot).some(lost)) return known.keys;
    const keys = replicationTargets({
      sets,
      self: options.self,
      responsive,
      held: (each) => led.progress.lastHeld(placement.key(each)),
    });
    led.targets = { sets, keys };
    return keys;
  };
  const waitingBytes = (led: Led): number => {
    let bytes = 0;
    for (let i = led.chosen; i < led.values.length && bytes < waitingMostBytes; i += 1)
      bytes += entrySize(led.values[i]!);
    return bytes;
  };
  const waitedLonger = (led: Led, mostMs: number): boolean => {
    const waitedMs = now() - led.waitingSince;
    return waitedMs > mostMs && waitedMs > mostMs + waitingBytes(led) / leastBytesPerMs;
  };
  return {
    lateAfterMs,
    noteLate,
    acknowledged: (bytes, tookMs) => {
      if (bytes < timedMostBytes) seen = responseTimes.after(seen, tookMs);
    },
    of: (led) => {
      const unsettled = led.settledAt < options.view().epoch || now() - led.begunAt > longOpenMs;
      const targetsAreEnough = led.state.ended || led.endFound || !unsettled;
      if (targetsAreEnough && !waitedLonger(led, lateMostMs)) return chosen(led);
      return new Set(copies.of(led.lot).map((voter) => placement.key(voter)));
    },
    // Where several are late, or the leader's own disk, it is rather the leader that is slow: they are given the
    // longest time, and then entries go to every copy.
    replaceLate: (led) => {
      if (!waitedLonger(led, lateAfterMs())) return;
      const late = copies
        .of(led.lot)
        .filter(
          (voter) =>
            led.targets?.keys.has(placement.key(voter)) && led.progress.held(placement.key(voter)) <= led.chosen,
        );
      const [only] = late;
      if (late.length !== 1 || placement.key(only!) === copies.own || !responsive(only!)) return;
      noteLate(only!);
      options.event('copy_late', { lot: led.lot, copy: only!.name, ms: Math.round(now() - led.waitingSince) });
    },
  };
};
