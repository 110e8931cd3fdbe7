import { strictBounds } from '../../dev/strictBounds.js';
import { fleetKeys } from './fleetKeys.js';
import { keyChecker } from './keyChecker.js';
import type { Observation } from './observations.js';
import { virtualSampler } from './virtualSampler.js';

/** A promise that was broken, as somebody outside the fleet saw it. */
export type FleetViolation = { readonly rule: string; readonly what: string };

type Of<K extends Observation['kind']> = Extract<Observation, { readonly kind: K }>;
type Seen = ReadonlyArray<Observation>;

const of = <K extends Observation['kind']>(seen: Seen, kind: K): ReadonlyArray<Of<K>> =>
  seen.filter((each): each is Of<K> => each.kind === kind);

/** How long after the acknowledged end of a batch its items may still begin. */
const cancelMs = 3000;
/** Holders of one sampler's lease take turns no sooner than this. */
const turnMs = 3000;
/** How long after the acknowledgement of its departure requests may still reach a sampler. */
const drainMs = 2000;

const configurations = (seen: Seen): ReadonlyArray<FleetViolation> => {
  const found: FleetViolation[] = [];
  const declared = of(seen, 'declared');
  const reads = [...of(seen, 'read')].sort((one, other) => one.sentAt - other.sentAt);
  const accepted = declared.filter((each) => each.status === 200);
  const key = (each: { version: number; mark: string }): string => `${each.version}/${each.mark}`;
  const acceptedKeys = new Set(accepted.map(key));

  const steps = [
    ...accepted.map(({ at, version }) => ({ at, version })),
    ...reads.map(({ at, version }) => ({ at, version })),
  ].sort((one, other) => one.at - other.at);
  let [place, newest] = [0, 0];
  for (const read of reads) {
    while (place < steps.length && steps[place]!.at < read.sentAt) newest = Math.max(newest, steps[place++]!.version);
    if (read.version < newest)
      found.push({
        rule: 'a read tells the newest version that was acknowledged or read before it was sent',
        what: `${read.core} told ${read.version} to a read sent at ${read.sentAt.toFixed(0)}, ${newest} was known`,
      });
  }
  const versions = new Map<number, string>();
  for (const each of [...accepted, ...reads]) {
    const known = versions.get(each.version);
    if (known !== undefined && known !== each.mark)
      found.push({ rule: 'one change a version', what: `version ${each.version} is ${known} and ${each.mark}` });
    versions.set(each.version, each.mark);
  }
  const bases = new Map<number, string>();
  for (const each of accepted) {
    const known = bases.get(each.basedOn);
    if (known !== undefined && known !== key(each))
      found.push({ rule: 'one change on each version', what: `${known} and ${key(each)} on ${each.basedOn}` });
    bases.set(each.basedOn, key(each));
  }
  for (const each of declared) {
    const refused = each.status === 400 || each.status === 412;
    if (!refused) continue;
    const before = accepted.some((other) => key(other) === key(each) && other.at < each.sentAt);
    if (before)
      found.push({
        rule: 'an acknowledged change that is sent again is not refused',
        what: `${key(each)} got ${each.status} at ${each.at.toFixed(0)}: ${each.reason.slice(0, 100)}`,
      });
    if (!acceptedKeys.has(key(each)) && reads.some((read) => key(read) === key(each) && read.sentAt > each.at))
      found.push({ rule: 'a refused change is not in force', what: `${key(each)} got ${each.status} and was read` });
  }
  return found;
};

const orders = (seen: Seen): ReadonlyArray<FleetViolation> => {
  const found: FleetViolation[] = [];
  const last = new Map<string, Of<'order'>>();
  const holderOf = new Map<string, string>();
  for (const order of of(seen, 'order')) {
    if (!order.calm) continue;
    const fence = `${order.sampler} ${order.fence}`;
    const holder = holderOf.get(fence);
    if (holder !== undefined && holder !== order.holder)
      found.push({ rule: 'one holder a fence', what: `${fence}: ${holder} and ${order.holder}` });
    holderOf.set(fence, order.holder);
    const before = last.get(order.sampler);
    if (before && order.fence < before.fence)
      found.push({ rule: 'fences rise', what: `${order.sampler}: ${order.fence} after ${before.fence}` });
    if (before && before.holder !== order.holder && order.at - before.at < turnMs)
      found.push({
        rule: 'holders take no turns within a lease',
        what: `${order.sampler}: ${order.holder} ${(order.at - before.at).toFixed(0)} ms after ${before.holder}`,
      });
    last.set(order.sampler, order);
  }
  return found;
};

const departures = (seen: Seen): ReadonlyArray<FleetViolation> => {
  const left = new Map(of(seen, 'departed').map((each) => [each.sampler, each]));
  return of(seen, 'ran').flatMap(({ attempt, at, sampler, inTouch }) => {
    const departed = left.get(sampler);
    if (!departed || !inTouch || at <= departed.at + drainMs) return [];
    const late = (at - departed.at).toFixed(0);
    const what = `${attempt} at ${sampler}, ${late} ms after ${departed.core} acknowledged its departure`;
    return [{ rule: 'nothing reaches a sampler that left', what }];
  });
};

const requests = (seen: Seen): ReadonlyArray<FleetViolation> => {
  const found: FleetViolation[] = [];
  const runs = new Map<string, number>();
  for (const { attempt } of of(seen, 'ran')) runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
  for (const asked of [...of(seen, 'asked'), ...of(seen, 'quit')]) {
    const ran = runs.get(asked.attempt) ?? 0;
    if (asked.once && ran > 1)
      found.push({ rule: 'what runs once at most runs once', what: `${asked.attempt} ran ${ran} times` });
    if (asked.once && ran > 0 && (asked.status === 503 || asked.status === 429))
      found.push({ rule: 'what was refused did not run', what: `${asked.attempt} got ${asked.status} and ran` });
    if (asked.status === 200 && asked.echoed !== asked.attempt)
      found.push({ rule: 'an answer belongs to its request', what: `${asked.attempt} got that of ${asked.echoed}` });
    if (asked.status === 404 || asked.status === 400)
      found.push({ rule: 'proper requests are not denied', what: `${asked.attempt} got ${asked.status}` });
  }
  return found;
};

/** Batches that nobody ended and of which not every item was listed yet. */
const openBatches = (
  seen: Seen,
): ReadonlyArray<{ readonly batch: string; readonly count: number; readonly of: number }> => {
  const ended = new Set(of(seen, 'batchEnded').map((each) => each.batch));
  const listed = new Map<string, number>();
  for (const { batch, after, results } of of(seen, 'results'))
    listed.set(batch, Math.max(listed.get(batch) ?? 0, after + results.length));
  return of(seen, 'batchTaken')
    .filter(({ batch }) => !ended.has(batch))
    .map(({ batch, items }) => ({ batch, count: listed.get(batch) ?? 0, of: items.length }))
    .filter((each) => each.count < each.of);
};

const batches = (seen: Seen, whole: boolean): ReadonlyArray<FleetViolation> => {
  const found: FleetViolation[] = [];
  const listed = new Map<string, string[]>();
  const ended = new Map(of(seen, 'batchEnded').map((each) => [each.batch, each.at]));
  const batchOf = new Map<string, string>();
  for (const taken of of(seen, 'batchTaken')) for (const item of taken.items) batchOf.set(item, taken.batch);
  for (const { batch, after, results } of of(seen, 'results')) {
    const known = listed.get(batch) ?? [];
    results.forEach((result, place) => {
      const at = after + place;
      if (known[at] !== undefined && known[at] !== result.id)
        found.push({ rule: 'positions never change', what: `${batch}[${at}] is ${known[at]} and ${result.id}` });
      known[at] = result.id;
      if (result.state === 'completed' && result.text !== virtualSampler.textOf(result.id))
        found.push({ rule: 'a text is whole and its own', what: `${result.id}: ${result.text.slice(0, 120)}` });
    });
    listed.set(batch, known);
  }
  for (const [batch, ids] of listed)
    if (new Set(ids).size !== ids.length) found.push({ rule: 'an item is listed once', what: batch });
  const takenAt = new Map(of(seen, 'batchTaken').map((each) => [each.batch, each.at]));
  for (const { batch, at } of of(seen, 'batchMissing'))
    if ((takenAt.get(batch) ?? Infinity) < at - 1000)
      found.push({ rule: 'a batch that was taken is there', what: `${batch} at ${at.toFixed(0)}` });
  for (const { attempt, at, sampler } of of(seen, 'ran')) {
    const over = ended.get(batchOf.get(attempt) ?? '');
    if (over !== undefined && at > over + cancelMs)
      found.push({
        rule: 'items of an ended batch do not begin',
        what: `${attempt} at ${sampler}, ${(at - over).toFixed(0)} ms after the end`,
      });
  }
  if (whole)
    for (const { batch, count, of: most } of openBatches(seen))
      found.push({ rule: 'batches come to their end', what: `${batch}: ${count} of ${most}` });
  return found;
};

/** Checks of what was seen from outside; `whole` where the day ended with time enough for all work. */
export const fleetCheckers = {
  all: (seen: Seen, whole: boolean): ReadonlyArray<FleetViolation> => [
    ...configurations(seen),
    ...orders(seen),
    ...departures(seen),
    ...requests(seen),
    ...batches(seen, whole),
    ...keyChecker(
      {
        declared: of(seen, 'declared'),
        asked: of(seen, 'asked'),
        ran: of(seen, 'ran'),
        taken: of(seen, 'batchTaken'),
      },
      strictBounds.revokeMs,
    ),
  ],
  of,
  /** Callers' requests that every configuration allows. */
  proper: (seen: Seen): ReadonlyArray<Of<'asked'>> => of(seen, 'asked').filter(({ key }) => fleetKeys.lasts(key)),
  openBatches,
};
