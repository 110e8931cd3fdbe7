const turnsMost = 2e7;

/** Waiting by turns of the event loop, never by the clock. */
export const turns = {
  /** Resolves once the condition holds; fails after very many turns, so that a test that fails also ends. */
  until: async (condition: () => boolean): Promise<void> => {
    for (let turn = 0; !condition(); turn += 1) {
      if (turn > turnsMost) throw new Error('the condition never held');
      await new Promise((resolve) => setImmediate(resolve));
    }
  },
  /** Lets so many turns pass. */
  pass: async (count: number): Promise<void> => {
    for (let turn = 0; turn < count; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  },
};
