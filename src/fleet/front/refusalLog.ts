import type { Sampler } from '../fleetTypes.js';

/** Logs why requests were not served, and what the front knew of samplers then: one event a reason and second. */
export type RefusalLog = {
  readonly note: (status: number, reason: string) => void;
  readonly close: () => void;
};

const reportMs = 1000;
const reasonsMost = 5;

/** How many samplers of each state are known, as text for the log. */
const countsOf = (samplers: Iterable<Sampler>): string => {
  const counts = new Map<string, number>();
  for (const { state, quiet } of samplers) {
    const label = quiet && state !== 'gone' ? `${state}-quiet` : state;
    counts.set(label, (counts.get(label) ?? 0) + 1);
  }
  return [...counts].map(([label, count]) => `${label}:${count}`).join(',');
};

/** Makes the log of one front. */
export const makeRefusalLog = (options: {
  readonly samplers: () => Iterable<Sampler>;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): RefusalLog => {
  let noted = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  const report = (): void => {
    timer = undefined;
    const samplers = countsOf(options.samplers());
    for (const [what, count] of [...noted].slice(0, reasonsMost))
      options.event('requests_not_served', { what, count, samplers });
    noted = new Map();
  };
  return {
    note: (status, reason) => {
      const what = `${status} ${reason}`;
      noted.set(what, (noted.get(what) ?? 0) + 1);
      timer ??= setTimeout(report, reportMs);
    },
    close: () => clearTimeout(timer),
  };
};
