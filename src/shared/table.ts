/** A process's table: an immutable snapshot, swapped whole by reducers. */
export type Table<S> = {
  readonly get: () => S;
  readonly swap: (reduce: (state: S) => S) => S;
};

/** Makes a table that starts with the given snapshot. */
export const table = <S>(initial: S): Table<S> => {
  let current = initial;
  return {
    get: () => current,
    swap: (reduce) => {
      current = reduce(current);
      return current;
    },
  };
};
