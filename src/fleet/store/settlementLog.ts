import type { Voter } from '../../core/paxos.js';

/** Logs which copies a leader took for whole when it called batches settled: one event for each set of copies. */
export type SettlementLog = {
  readonly note: (lot: string, epoch: number, whole: ReadonlyArray<Voter>) => void;
  /** Writes what was noted since the last report. */
  readonly report: () => void;
};

const listedMost = 40;

/** Makes the log of one store's leading. */
export const makeSettlementLog = (options: {
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): SettlementLog => {
  let noted = new Map<string, { readonly epoch: number; readonly whole: string; readonly lots: string[] }>();
  return {
    note: (lot, epoch, whole) => {
      const names = whole.map((copy) => copy.name).join(',');
      const key = `${epoch} ${names}`;
      const group = noted.get(key) ?? { epoch, whole: names, lots: [] };
      group.lots.push(lot);
      noted.set(key, group);
    },
    report: () => {
      if (noted.size === 0) return;
      for (const { epoch, whole, lots } of noted.values())
        options.event('batches_settled', {
          epoch,
          whole,
          count: lots.length,
          lots: lots.slice(0, listedMost).join(','),
        });
      noted = new Map();
    },
  };
};
