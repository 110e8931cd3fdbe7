/** A place in a slab; the generation tells a reused place from its former tenant. */
export type Slab<A> = {
  readonly insert: (value: A) => { readonly index: number; readonly generation: number };
  readonly take: (index: number, generation: number) => A | undefined;
  readonly drain: () => ReadonlyArray<A>;
  readonly size: () => number;
};

/** Keeps continuations of in-flight requests by index and generation. */
export const slab = <A>(): Slab<A> => {
  const cells: Array<{ generation: number; value: A | undefined; used: boolean }> = [];
  const free: number[] = [];
  let used = 0;
  const release = (index: number): A | undefined => {
    const cell = cells[index];
    if (!cell?.used) return undefined;
    const value = cell.value;
    cell.value = undefined;
    cell.used = false;
    cell.generation = (cell.generation + 1) >>> 0;
    free.push(index);
    used -= 1;
    return value;
  };
  return {
    insert: (value) => {
      const index = free.pop() ?? cells.push({ generation: 1, value: undefined, used: false }) - 1;
      const cell = cells[index]!;
      cell.value = value;
      cell.used = true;
      used += 1;
      return { index, generation: cell.generation };
    },
    take: (index, generation) => (cells[index]?.generation === generation ? release(index) : undefined),
    drain: () => cells.flatMap((cell, index) => (cell.used ? [release(index)!] : [])),
    size: () => used,
  };
};
