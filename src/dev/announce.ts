import { Agent, request } from 'node:http';
import type { Sampler } from '../fleet/fleetTypes.js';

/** A sampler as it stands when it announces itself. */
export type Announced = Omit<Sampler, 'quiet' | 'born' | 'beat'>;

/** The beats of samplers of one process, over kept connections; the bytes are those of whole requests. */
export type Announcer = {
  readonly begin: (sampler: () => Announced | undefined, offsetMs: number) => void;
  readonly once: (sampler: Announced) => void;
  readonly counts: () => { readonly beats: number; readonly failed: number };
  readonly stop: () => void;
};

const answerMs = 1000;

/** Makes the announcer of a process; each sampler keeps to one core and goes to the next when that one fails. */
export const makeAnnouncer = (cores: ReadonlyArray<string>, beatMs: number): Announcer => {
  const agent = new Agent({ keepAlive: true, maxSockets: 32, maxFreeSockets: 32 });
  const places = new Map<string, number>();
  const beatOf = new Map<string, number>();
  const timers = new Set<NodeJS.Timeout>();
  let [beats, failed, next] = [0, 0, 0];

  const once = (sampler: Announced): void => {
    const { id, ...rest } = sampler;
    const beat = (beatOf.get(id) ?? 0) + 1;
    beatOf.set(id, beat);
    const place = places.get(id) ?? next++;
    places.set(id, place);
    const [host, port] = cores[place % cores.length]!.split(':');
    const body = Buffer.from(JSON.stringify({ ...rest, beat }));
    const headers = { 'content-type': 'application/json', 'content-length': String(body.length) };
    const path = `/foxdeck/samplers/${encodeURIComponent(id)}`;
    const sent = request({ host, port, method: 'PUT', path, headers, agent }, (message) => message.resume());
    const lost = (): void => {
      failed += 1;
      places.set(id, place + 1);
    };
    sent.setTimeout(answerMs, () => sent.destroy(new Error('no answer in time')));
    sent.on('error', lost);
    sent.end(body);
    beats += 1;
  };
  return {
    once,
    begin: (sampler, offsetMs) => {
      const tell = (): void => {
        const told = sampler();
        if (told) once(told);
      };
      const first = setTimeout(() => {
        timers.delete(first);
        tell();
        timers.add(setInterval(tell, beatMs));
      }, offsetMs);
      timers.add(first);
    },
    counts: () => ({ beats, failed }),
    stop: () => {
      for (const timer of timers) clearInterval(timer);
      agent.destroy();
    },
  };
};
