import type { Record as Kept } from '../gen/foxdeck_pb.js';

/** What a store looks up among its records, kept as they are found, written and removed. */
export type ResultStoreIndex = {
  readonly noted: (key: string, record: Kept) => void;
  readonly gone: (key: string) => void;
  /** Keys that start with a prefix, without a walk through all of history where the prefix names a lot. */
  readonly keys: (prefix: string, settled: boolean) => ReadonlyArray<string>;
  readonly ofLot: (id: string) => ReadonlyArray<string>;
  /** Lots that were accepted and, as far as this store knows, not ended. */
  readonly open: () => ReadonlyArray<string>;
};

const shardOf = (key: string): string => key.split('/')[1] ?? key;

/** Makes a store's index. */
export const makeResultStoreIndex = (): ResultStoreIndex => {
  const accepted = new Set<string>();
  const settled = new Set<string>();
  const shards = new Map<string, Set<string>>();
  const open = new Set<string>();
  const ended = new Set<string>();
  let sorted: ReadonlyArray<string> | undefined;
  return {
    noted: (key, record) => {
      if (!record.accepted) return;
      const shard = shardOf(key);
      if (!accepted.has(key)) sorted = undefined;
      accepted.add(key);
      if (record.chosen) settled.add(key);
      shards.set(shard, (shards.get(shard) ?? new Set()).add(key));
      if (key.startsWith('end/') && record.chosen) {
        ended.add(shard);
        open.delete(shard);
      }
      if (key.startsWith('lot/') && !ended.has(shard)) open.add(shard);
    },
    gone: (key) => {
      const shard = shardOf(key);
      sorted = undefined;
      accepted.delete(key);
      settled.delete(key);
      shards.get(shard)?.delete(key);
      if (key.startsWith('lot/')) open.delete(shard);
    },
    keys: (prefix, onlySettled) => {
      const [, shard, ...rest] = prefix.split('/');
      const from = onlySettled ? settled : accepted;
      if (shard && rest.length > 0) {
        return [...(shards.get(shard) ?? [])].filter((key) => key.startsWith(prefix) && from.has(key)).sort();
      }
      sorted ??= [...accepted].sort();
      return sorted.filter((key) => key.startsWith(prefix) && from.has(key));
    },
    ofLot: (id) => [...(shards.get(id) ?? [])],
    open: () => [...open].sort(),
  };
};
