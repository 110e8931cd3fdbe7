import type { Observation } from '../sim/fleet/observations.js';
import { fleetKeys } from '../sim/fleet/fleetKeys.js';
import { httpCalls } from '../sim/fleet/httpCalls.js';
import { realEdge } from '../fleet/realEdge.js';
import type { RealWorld } from './realWorld.js';
import type { SoakFleet } from './soakFleet.js';

type Declared = Extract<Observation, { kind: 'declared' }>;
type Seen = ReadonlyArray<Observation>;

const readMs = 3000;
/** How long after its acknowledgement a change has to be in force. */
const applyMs = 2000;
/** A change that was under way meanwhile is heard of within this time. */
const hearMs = 2500;
const pauseMs = 300;
const refused = (status: number): boolean => status === 400 || status === 412;

const declared = (seen: Seen): ReadonlyArray<Declared> =>
  seen.filter((each): each is Declared => each.kind === 'declared' && !refused(each.status));

/** The acknowledged change of the greatest version, as it was acknowledged first; versions rise with each change. */
const newestAcknowledged = (seen: Seen): Declared | undefined => {
  let newest: Declared | undefined;
  for (const each of declared(seen)) if (each.status === 200 && each.version > (newest?.version ?? 0)) newest = each;
  return newest;
};

/** Whether a later change than this one is in force, or may be. */
const mayBeReplaced = (seen: Seen, { version }: Declared): boolean =>
  declared(seen).some((each) => each.version > version);

/** Asks for the route of the newest change at fronts in touch once it has to be in force, until `over`. */
const start = (options: {
  readonly world: RealWorld;
  readonly fleet: SoakFleet;
  readonly seen: Seen;
  readonly over: () => boolean;
  readonly inTouch: () => boolean;
  /** Hears of an acknowledged change that is not in force in time. */
  readonly late: (what: string) => void;
}): void => {
  const { world, fleet, seen, inTouch } = options;
  const calls = httpCalls(realEdge('prober').transport);
  const probe = async (change: Declared): Promise<void> => {
    const sentAt = world.now();
    const key = { 'foxdeck-key': fleetKeys.lasting('north').text };
    const headers = { ...key, host: `mark-${change.mark}.fleet`, 'foxdeck-attempt': `probe-${change.mark}` };
    const front = world.pick(fleet.runningFronts());
    const { status } = await calls.call(front, 'GET', '/thing', headers, '', readMs);
    if (status !== 404 || !inTouch()) return;
    await world.sleep(hearMs);
    if (mayBeReplaced(seen, change)) return;
    options.late(`version ${change.version} at ${front}, ${(sentAt - change.at).toFixed(0)} ms after it`);
  };
  const run = async (): Promise<void> => {
    while (!options.over()) {
      await world.sleep(pauseMs);
      const newest = newestAcknowledged(seen);
      if (newest && world.now() - newest.at > applyMs && inTouch()) await probe(newest);
    }
  };
  void run();
};

/** Checks from outside that acknowledged changes come into force in time. */
export const changeProber = { start, newestAcknowledged, mayBeReplaced };
