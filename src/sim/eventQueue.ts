/** Something that happens at a time; of two at the same time the one with the smaller order comes first. */
export type QueuedEvent = { readonly at: number; readonly order: number; readonly run: () => void };

/** A priority queue of events, the earliest first. */
export type EventQueue<E extends QueuedEvent> = {
  readonly peek: () => E | undefined;
  readonly push: (event: E) => void;
  readonly pop: () => E | undefined;
};

/** Makes a queue: a binary heap. */
export const makeEventQueue = <E extends QueuedEvent>(): EventQueue<E> => {
  const cells: E[] = [];
  const before = (left: E, right: E): boolean =>
    left.at < right.at || (left.at === right.at && left.order < right.order);
  return {
    peek: () => cells[0],
    push: (event) => {
      let place = cells.push(event) - 1;
      while (place > 0) {
        const parent = (place - 1) >> 1;
        if (!before(event, cells[parent]!)) break;
        cells[place] = cells[parent]!;
        place = parent;
      }
      cells[place] = event;
    },
    pop: () => {
      const top = cells[0];
      const last = cells.pop();
      if (!top || !last || cells.length === 0) return top;
      let place = 0;
      for (;;) {
        let child = 2 * place + 1;
        if (child >= cells.length) break;
        if (child + 1 < cells.length && before(cells[child + 1]!, cells[child]!)) child += 1;
        if (!before(cells[child]!, last)) break;
        cells[place] = cells[child]!;
        place = child;
      }
      cells[place] = last;
      return top;
    },
  };
};
