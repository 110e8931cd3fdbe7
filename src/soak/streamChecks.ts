import { strictBounds } from '../dev/strictBounds.js';
import { fleetCheckers, type FleetViolation } from '../sim/fleet/fleetCheckers.js';
import type { Observation } from '../sim/fleet/observations.js';
import { virtualSampler } from '../sim/fleet/virtualSampler.js';

type Streamed = Extract<Observation, { readonly kind: 'streamed' }>;
type Signalled = Extract<Observation, { readonly kind: 'signalled' }>;
type Seen = ReadonlyArray<Observation>;

const refusals = new Set([408, 421, 429, 503]);
/** A front that stops passes on nothing that comes later than this. */
const lateMs = 3000;
/** So long after the end of its grace a front's stop is judged. */
const afterGraceMs = 1000;
/** So many answers may be cut at any time: a reset that nobody noted. */
const cutMost = 3;
/** A disturbance counts for so long before a request. */
const disturbedMs = 3000;

/** What a stream's client reads when it is whole: each event of the text with its id. */
const wholeOf = (attempt: string): string =>
  virtualSampler
    .textOf(attempt)
    .split('\n')
    .map((event, place) => `id: ${place + 1}\ndata: ${event}\n\n`)
    .join('');

/** Whether something else than its stop may have cut a front's answer. */
const excused = (seen: Seen, stream: Streamed, samplers: ReadonlyArray<string>): boolean => {
  const during = (at: number): boolean => at > stream.sentAt - disturbedMs && at <= stream.at;
  const disturbed = fleetCheckers
    .of(seen, 'signalled')
    .some(({ how, front, at }) => how === 'disturb' && front === stream.front && during(at));
  const ended = fleetCheckers
    .of(seen, 'samplerEnded')
    .some(({ sampler, at }) => samplers.includes(sampler) && during(at));
  return disturbed || ended;
};

/** The stop under which a front took a stream, where it was told to stop of late. */
const stopOf = (seen: Seen, stream: Streamed): Signalled | undefined => {
  const stop = fleetCheckers
    .of(seen, 'signalled')
    .filter(({ how, front, at }) => how === 'stop' && front === stream.front && at < stream.sentAt)
    .at(-1);
  return stop && stream.at < stop.at + strictBounds.graceMs + afterGraceMs ? stop : undefined;
};
/** Streams that a front passed on long after it was told to stop, and then cut. */
const cutLate = (stream: Streamed, stop: Signalled | undefined): ReadonlyArray<FleetViolation> => {
  if (!stop || stream.sentAt < stop.at + lateMs) return [];
  const late = (stream.sentAt - stop.at).toFixed(0);
  const what = `${stream.attempt}, sent ${late} ms after ${stop.machine} was told to stop`;
  return [{ rule: 'a front that stops cuts nothing that came late', what }];
};

const answerOf = (stream: Streamed, runs: number): ReadonlyArray<FleetViolation> => {
  const { attempt, status } = stream;
  const found: FleetViolation[] = [];
  if (runs > 1) found.push({ rule: 'what runs once at most runs once', what: `${attempt} ran ${runs} times` });
  if (runs > 0 && refusals.has(status))
    found.push({ rule: 'what was refused did not run', what: `${attempt} got ${status} and ran` });
  if (status === 200 && !stream.stamped) found.push({ rule: 'a success bears its stamp', what: attempt });
  if (status === 200 && stream.text !== wholeOf(attempt))
    found.push({ rule: 'a stream is whole and its own', what: `${attempt}: ${stream.text.slice(0, 120)}` });
  return found;
};

/** Judges the streams that clients asked for. */
export const streamChecks = {
  wholeOf,
  violations: (seen: Seen): ReadonlyArray<FleetViolation> => {
    const ran = new Map<string, string[]>();
    for (const { attempt, sampler } of fleetCheckers.of(seen, 'ran'))
      ran.set(attempt, [...(ran.get(attempt) ?? []), sampler]);
    const streams = fleetCheckers.of(seen, 'streamed');
    const found = streams.flatMap((stream) => answerOf(stream, ran.get(stream.attempt)?.length ?? 0));
    const cut = streams.filter((stream) => {
      const samplers = ran.get(stream.attempt) ?? [];
      return stream.status === 0 && samplers.length > 0 && !excused(seen, stream, samplers);
    });
    const late = cut.flatMap((stream) => cutLate(stream, stopOf(seen, stream)));
    const atAnyTime = cut.filter((stream) => stopOf(seen, stream) === undefined).map(({ attempt }) => attempt);
    const tooMany = atAnyTime.length > cutMost;
    const cuts = { rule: 'a front cuts no answer of a sound sampler', what: atAnyTime.join(' ') };
    return [...found, ...late, ...(tooMany ? [cuts] : [])];
  },
};
