import type { Channels } from '../../edge/channels.js';
import type { FleetView } from '../watcher.js';
import type { ItemWord } from '../store/storeDesk.js';
import type { StoreCalls } from './storeCalls.js';

/** What a front has to say of items, said in batches to the lots' leaders until they took it. */
export type Words = {
  readonly say: (word: ItemWord) => void;
  readonly unsaid: () => ReadonlyArray<ItemWord>;
  readonly flush: (mostMs: number) => Promise<void>;
};

const batchMs = 12;
const againMs = 150;
const batchMost = 60;

/** Makes a front's outbox. */
export const makeWords = (options: {
  readonly name: string;
  readonly channels: Channels;
  readonly stores: StoreCalls;
  readonly view: () => FleetView;
  readonly now: () => number;
  /** A lot is gone: nothing of it is wanted. */
  readonly dropped: (lot: string) => void;
}): Words => {
  const { channels, stores, view, now } = options;
  const waiting = new Map<string, ItemWord>();
  const sending = new Set<string>();
  let timer: NodeJS.Timeout | undefined;
  const keyOf = (word: ItemWord): string => `${word.lot} ${word.id}`;

  const seek = async (lot: string): Promise<void> => {
    try {
      const ask = { after: 1_000_000_000, waitMs: 0 };
      const heard = (await stores.call(lot, 'lot.read', ask, 1500, 600)) as { readonly unknown?: boolean };
      if (!heard.unknown) return;
      for (const [key, word] of waiting) if (word.lot === lot) waiting.delete(key);
      options.dropped(lot);
    } catch {
      // Its leader is sought again at the next round.
    }
  };
  const send = async (store: string, words: ReadonlyArray<ItemWord>): Promise<void> => {
    const keys = words.map(keyOf);
    for (const key of keys) sending.add(key);
    const sought = new Set<string>();
    try {
      const peer = view().members.get(store)?.peer;
      if (!peer) throw new Error('not present');
      const body = { front: options.name, words };
      const heard = (await channels.call(peer, 'board.words', body, 2500)) as ReadonlyArray<'ok' | 'moved'>;
      heard.forEach((answer, place) => {
        const word = words[place]!;
        if (answer === 'ok') {
          if (waiting.get(keys[place]!) === word) waiting.delete(keys[place]!);
        } else {
          if (stores.leader(word.lot) === store) stores.forget(word.lot);
          sought.add(word.lot);
        }
      });
    } catch {
      for (const word of words) {
        if (stores.leader(word.lot) === store) stores.forget(word.lot);
        sought.add(word.lot);
      }
    }
    for (const key of keys) sending.delete(key);
    if (sought.size > 0) {
      await Promise.all([...sought].filter((lot) => stores.leader(lot) === undefined).map(seek));
      schedule(againMs);
    } else if (waiting.size > sending.size) schedule(batchMs);
  };
  const round = (): void => {
    const byStore = new Map<string, ItemWord[]>();
    const lost = new Set<string>();
    for (const [key, word] of waiting) {
      if (sending.has(key)) continue;
      const store = stores.leader(word.lot);
      if (store === undefined) {
        lost.add(word.lot);
        continue;
      }
      const batch = byStore.get(store) ?? [];
      if (batch.length < batchMost) byStore.set(store, [...batch, word]);
    }
    for (const [store, words] of byStore) void send(store, words);
    if (lost.size > 0) void Promise.all([...lost].map(seek)).then(() => schedule(againMs));
  };
  const schedule = (ms: number): void => {
    timer ??= setTimeout(() => {
      timer = undefined;
      round();
    }, ms);
  };
  return {
    say: (word) => {
      waiting.set(keyOf(word), word);
      schedule(batchMs);
    },
    unsaid: () => [...waiting.values()],
    flush: async (mostMs) => {
      const until = now() + mostMs;
      while (waiting.size > 0 && now() < until) {
        schedule(1);
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
    },
  };
};
