import type { Sampler } from '../fleet/fleetTypes.js';

/** What a sampler announces of itself, by its id and the number of its announcement. */
export const announcedSampler = (
  id: string,
  beat: number,
  more: Partial<Omit<Sampler, 'quiet' | 'born'>> = {},
): Omit<Sampler, 'quiet' | 'born'> => ({
  id,
  service: 'texts',
  address: `${id}:1`,
  zone: 'a',
  slots: 4,
  state: 'ready',
  beat,
  models: { m: 1 },
  ...more,
});
