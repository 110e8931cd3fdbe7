import type { Channels } from '../../edge/channels.js';
import type { FleetView } from '../watcher.js';
import type { ItemReport } from '../store/storeDesk.js';
import type { StoreCalls } from './storeCalls.js';

/** Reports of items on their way to the leaders of their lots: sent in batches, and again until they are taken. */
export type ResultOutbox = {
  readonly send: (report: ItemReport) => void;
  /** Reports that no leader took yet. */
  readonly pending: () => ReadonlyArray<ItemReport>;
  readonly flush: (mostMs: number) => Promise<void>;
};

const batchMs = 12;
const againMs = 150;
const batchMost = 60;

/** Makes a front's outbox. */
export const makeResultOutbox = (options: {
  readonly name: string;
  readonly channels: Channels;
  readonly stores: StoreCalls;
  readonly view: () => FleetView;
  readonly now: () => number;
  /** A lot is gone: nothing of it is wanted. */
  readonly dropped: (lot: string) => void;
}): ResultOutbox => {
  const { channels, stores, view, now } = options;
  const waiting = new Map<string, ItemReport>();
  const sending = new Set<string>();
  let timer: NodeJS.Timeout | undefined;
  const keyOf = (report: ItemReport): string => `${report.lot} ${report.id}`;

  const seek = async (lot: string): Promise<void> => {
    try {
      const ask = { after: 1_000_000_000, waitMs: 0 };
      const heard = (await stores.call(lot, 'lot.read', ask, 1500, 600)) as { readonly unknown?: boolean };
      if (!heard.unknown) return;
      for (const [key, report] of waiting) if (report.lot === lot) waiting.delete(key);
      options.dropped(lot);
    } catch {
      // Its leader is sought again at the next round.
    }
  };
  const deliver = async (store: string, reports: ReadonlyArray<ItemReport>): Promise<void> => {
    const keys = reports.map(keyOf);
    for (const key of keys) sending.add(key);
    const sought = new Set<string>();
    try {
      const peer = view().members.get(store)?.peer;
      if (!peer) throw new Error('not present');
      const body = { front: options.name, words: reports };
      const heard = (await channels.call(peer, 'board.words', body, 2500)) as ReadonlyArray<'ok' | 'moved'>;
      heard.forEach((answer, place) => {
        const report = reports[place]!;
        if (answer === 'ok') {
          if (waiting.get(keys[place]!) === report) waiting.delete(keys[place]!);
        } else {
          if (stores.leader(report.lot) === store) stores.forget(report.lot);
          sought.add(report.lot);
        }
      });
    } catch {
      for (const report of reports) {
        if (stores.leader(report.lot) === store) stores.forget(report.lot);
        sought.add(report.lot);
      }
    }
    for (const key of keys) sending.delete(key);
    if (sought.size > 0) {
      await Promise.all([...sought].filter((lot) => stores.leader(lot) === undefined).map(seek));
      schedule(againMs);
    } else if (waiting.size > sending.size) schedule(batchMs);
  };
  const round = (): void => {
    const byStore = new Map<string, ItemReport[]>();
    const lost = new Set<string>();
    for (const [key, report] of waiting) {
      if (sending.has(key)) continue;
      const store = stores.leader(report.lot);
      if (store === undefined) {
        lost.add(report.lot);
        continue;
      }
      const batch = byStore.get(store) ?? [];
      if (batch.length < batchMost) byStore.set(store, [...batch, report]);
    }
    for (const [store, reports] of byStore) void deliver(store, reports);
    if (lost.size > 0) void Promise.all([...lost].map(seek)).then(() => schedule(againMs));
  };
  const schedule = (ms: number): void => {
    timer ??= setTimeout(() => {
      timer = undefined;
      round();
    }, ms);
  };
  return {
    send: (report) => {
      waiting.set(keyOf(report), report);
      schedule(batchMs);
    },
    pending: () => [...waiting.values()],
    flush: async (mostMs) => {
      const until = now() + mostMs;
      while (waiting.size > 0 && now() < until) {
        schedule(1);
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
    },
  };
};
