import { fromBinary } from '@bufbuild/protobuf';
import { RegisterValueSchema, type Record as Kept } from '../gen/foxdeck_pb.js';

/** What a core looks up among its records, kept as they are found and written. */
export type VoterIndex = {
  readonly noted: (key: string, record: Kept) => void;
  readonly highestAccepted: () => number;
  readonly highestChosen: () => number;
  readonly isChosen: (sequence: number) => boolean;
  /** The first chosen sequence after one. */
  readonly after: (sequence: number) => number | undefined;
  readonly ofChange: (id: string) => number | undefined;
  /** Sequences below the highest that were not learnt. */
  readonly missing: () => ReadonlyArray<number>;
};

/** Makes a core's index. */
export const makeVoterIndex = (): VoterIndex => {
  const chosen = new Set<number>();
  const changes = new Map<string, number>();
  let highestAccepted = 0;
  let highestChosen = 0;
  return {
    noted: (key, record) => {
      const sequence = Number(key.slice('config/'.length));
      if (record.accepted) highestAccepted = Math.max(highestAccepted, sequence);
      if (!record.chosen || chosen.has(sequence)) return;
      chosen.add(sequence);
      highestChosen = Math.max(highestChosen, sequence);
      changes.set(fromBinary(RegisterValueSchema, record.value).changeId, sequence);
    },
    highestAccepted: () => highestAccepted,
    highestChosen: () => highestChosen,
    isChosen: (sequence) => chosen.has(sequence),
    after: (sequence) => {
      for (let next = Math.max(0, sequence) + 1; next <= highestChosen; next += 1) if (chosen.has(next)) return next;
      return undefined;
    },
    ofChange: (id) => changes.get(id),
    missing: () =>
      chosen.size === highestChosen
        ? []
        : Array.from({ length: highestChosen }, (_, place) => place + 1).filter((sequence) => !chosen.has(sequence)),
  };
};
