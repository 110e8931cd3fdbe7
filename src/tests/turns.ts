/** Waiting by turns of the event loop, never by the clock. */
export const turns = {
  /** Resolves once the condition holds. */
  until: async (condition: () => boolean): Promise<void> => {
    while (!condition()) await new Promise((resolve) => setImmediate(resolve));
  },
  /** Lets so many turns pass. */
  pass: async (count: number): Promise<void> => {
    for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  },
};
