import type { Context } from 'effect';
import type { Fields, Log } from './log.js';

const printed = (value: string | number | boolean): string => {
  const text = typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(3) : String(value);
  return /[\s"=]/.test(text) || text === '' ? JSON.stringify(text) : text;
};

/** A log that keeps the last events in memory and hands each line on. */
export const memoryLog = (options: {
  node: string;
  wall: () => number;
  most: number;
  print: (line: string) => void;
}): Context.Tag.Service<typeof Log> => {
  const kept: Array<{ at: number; line: string }> = [];
  const counters = new Map<string, number>();
  const count = (name: string, by = 1): void => void counters.set(name, (counters.get(name) ?? 0) + by);
  return {
    event: (name: string, fields: Fields) => {
      const at = options.wall();
      const rest = Object.entries(fields).flatMap(([key, value]) =>
        value === undefined ? [] : [`${key}=${printed(value)}`],
      );
      const line = [`at=${new Date(at).toISOString()}`, `node=${options.node}`, `event=${name}`, ...rest].join(' ');
      kept.push({ at, line });
      if (kept.length > options.most) kept.splice(0, kept.length - options.most);
      count(`event_${name}`);
      options.print(line);
    },
    recent: ({ from, until, about, most }) =>
      kept
        .filter((entry) => entry.at >= from && entry.at <= until && entry.line.includes(about))
        .slice(-most)
        .map((entry) => entry.line),
    fields: (line) =>
      Object.fromEntries(
        [...line.matchAll(/(\w+)=("(?:[^"\\\\]|\\\\.)*"|\S*)/g)].map(([, key, value]) => [
          key!,
          value!.startsWith('"') ? (JSON.parse(value!) as string) : value!,
        ]),
      ),
    count,
    counts: () => Object.fromEntries(counters),
  };
};
