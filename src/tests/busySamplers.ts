import type { IncomingMessage } from 'node:http';
import type { CallEvents, SamplerClient } from '../fleet/samplerClient.js';

/** Samplers of one plain service, on the timers of the test: some slots each, a short queue, and no room beyond it. */
export type BusySamplers = {
  readonly client: SamplerClient;
  readonly arrivals: () => number;
  readonly turnedAway: () => number;
};

type Job = { readonly events: CallEvents; readonly attempt: string; readonly workMs: number; over: boolean };
type Sampler = { running: number; readonly queue: Job[] };

const nothing = (): void => undefined;
const messageOf = (headers: Readonly<Record<string, string>>): IncomingMessage =>
  ({ headers, rawHeaders: [], setEncoding: nothing }) as unknown as IncomingMessage;

/** Makes samplers that are told with each call, in a header, how long it takes. */
export const busySamplers = (slots: number, queueMost: number): BusySamplers => {
  const samplers = new Map<string, Sampler>();
  let [arrivals, turnedAway] = [0, 0];
  const samplerAt = (address: string): Sampler => {
    const known = samplers.get(address) ?? { running: 0, queue: [] };
    samplers.set(address, known);
    return known;
  };
  const run = (sampler: Sampler): void => {
    while (sampler.running < slots && sampler.queue.length > 0) {
      const job = sampler.queue.shift()!;
      if (job.over) continue;
      sampler.running += 1;
      setTimeout(() => {
        sampler.running -= 1;
        if (!job.over) {
          job.events.head(200, messageOf({ attempt: job.attempt, stamp: 'stamp' }));
          job.events.ended();
        }
        run(sampler);
      }, job.workMs);
    }
  };
  return {
    client: {
      call: (address, { headers }, timeLeftMs, events) => {
        const sampler = samplerAt(address);
        arrivals += 1;
        const job: Job = { events, attempt: headers['attempt']!, workMs: Number(headers['work-ms']), over: false };
        if (sampler.queue.filter((each) => !each.over).length >= queueMost) {
          turnedAway += 1;
          setTimeout(() => {
            if (job.over) return;
            events.head(503, messageOf({ attempt: job.attempt, 'not-run': '1' }));
            events.ended();
          }, 1);
        } else {
          sampler.queue.push(job);
          run(sampler);
        }
        setTimeout(() => {
          if (job.over) return;
          job.over = true;
          events.failed('no answer in time', true, false);
        }, timeLeftMs);
        return { abort: () => void (job.over = true) };
      },
      idle: () => true,
      withdraw: () => undefined,
      forget: nothing,
      close: nothing,
      counts: () => ({ calls: arrivals, connections: 0 }),
    },
    arrivals: () => arrivals,
    turnedAway: () => turnedAway,
  };
};
