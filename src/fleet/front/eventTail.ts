/** Where in its events a stream stands: before all of them, inside one, or behind a whole one. */
export type EventPlace = 'start' | 'inside' | 'behind';

/** Follows a stream of events (text/event-stream), in which an empty line ends each event. */
export type EventTail = {
  /** Notes bytes as they come. */
  readonly feed: (chunk: Buffer | string) => void;
  readonly place: () => EventPlace;
};

/** The longest end of an event: two line ends of two bytes each. */
const endOfEventBytes = 4;

/** Makes what follows one stream; it keeps a few bytes only. */
export const makeEventTail = (): EventTail => {
  let tail = '';
  return {
    feed: (chunk) => {
      const last = chunk.slice(-endOfEventBytes);
      tail = (tail + (typeof last === 'string' ? last : last.toString('latin1'))).slice(-endOfEventBytes);
    },
    place: () => {
      if (tail === '') return 'start';
      return tail.replace(/\r\n?/g, '\n').endsWith('\n\n') ? 'behind' : 'inside';
    },
  };
};
