/**
 * What the leader of a batch knows of its copies: how many entries each holds, and under which epoch of the store view
 * the copy said so. A copy drops its entries once a settled view places the batch elsewhere, and may be named again by
 * a later view, so only what it said under the present epoch counts towards a majority.
 */
export type CopyProgress = {
  /** How many entries a copy holds for sure; -1 where it has not said so under the present epoch. */
  readonly held: (copy: string) => number;
  /** How many entries a copy said it held, under whatever epoch; -1 where that is not known. */
  readonly lastHeld: (copy: string) => number;
  /** True where a copy said what it holds under an earlier epoch only. */
  readonly outdated: (copy: string) => boolean;
  /** Notes what a copy said it holds, asked under this epoch; the leader's own copy is always up to date. */
  readonly note: (copy: string, entries: number, epoch: number) => void;
  readonly forget: (copy: string) => void;
  /** The keys of copies that said something, with what they said last. */
  readonly all: () => Iterable<readonly [string, number]>;
};

type Said = { readonly entries: number; readonly epoch: number };

/** Makes what one leader knows of the copies of one batch. */
export const makeCopyProgress = (options: { readonly own: string; readonly epoch: () => number }): CopyProgress => {
  const said = new Map<string, Said>();
  const lastHeld = (copy: string): number => said.get(copy)?.entries ?? -1;
  const outdated = (copy: string): boolean =>
    copy !== options.own && lastHeld(copy) >= 0 && said.get(copy)!.epoch !== options.epoch();
  return {
    held: (copy) => (outdated(copy) ? -1 : lastHeld(copy)),
    lastHeld,
    outdated,
    note: (copy, entries, epoch) => void said.set(copy, { entries, epoch }),
    forget: (copy) => void said.delete(copy),
    all: function* () {
      for (const [copy, { entries }] of said) yield [copy, entries] as const;
    },
  };
};
