import { fromBinary } from '@bufbuild/protobuf';
import { RegisterValueSchema, type Record as Kept } from '../gen/foxdeck_pb.js';

/** What a voter looks up among its records of the configuration log, kept as they are found and written. */
export type VoterIndex = {
  readonly noted: (key: string, record: Kept) => void;
  readonly highestAccepted: () => number;
  readonly highestChosen: () => number;
  /** The greatest electorate that a value accepted here names whose sequence is not decided yet, as far as is known. */
  readonly undecidedElectorate: () => number;
  readonly isChosen: (sequence: number) => boolean;
  /** The first chosen sequence after one. */
  readonly after: (sequence: number) => number | undefined;
  /** Sequences above `compacted` and below the highest that were not learnt. */
  readonly missing: (compacted: number) => ReadonlyArray<number>;
  /** Forgets the chosen sequences up to one; answers those that were known. */
  readonly compact: (upTo: number) => ReadonlyArray<number>;
};

/** Makes a voter's index. */
export const makeVoterIndex = (): VoterIndex => {
  const chosen = new Set<number>();
  let highestAccepted = 0;
  let highestChosen = 0;
  const undecided = new Map<number, number>();
  return {
    noted: (key, record) => {
      const sequence = Number(key.slice('config/'.length));
      if (record.accepted) {
        highestAccepted = Math.max(highestAccepted, sequence);
        if (!record.chosen) undecided.set(sequence, fromBinary(RegisterValueSchema, record.value).electorate);
      }
      if (!record.chosen || chosen.has(sequence)) return;
      chosen.add(sequence);
      highestChosen = Math.max(highestChosen, sequence);
      for (const each of undecided.keys()) if (each <= highestChosen) undecided.delete(each);
    },
    highestAccepted: () => highestAccepted,
    highestChosen: () => highestChosen,
    undecidedElectorate: () => Math.max(0, ...undecided.values()),
    isChosen: (sequence) => chosen.has(sequence),
    after: (sequence) => {
      let next: number | undefined;
      for (const each of chosen) if (each > sequence && (next === undefined || each < next)) next = each;
      return next;
    },
    missing: (compacted) => {
      const lacking: number[] = [];
      for (let sequence = compacted + 1; sequence < highestChosen; sequence += 1)
        if (!chosen.has(sequence)) lacking.push(sequence);
      return lacking;
    },
    compact: (upTo) => {
      const old = [...chosen].filter((sequence) => sequence <= upTo);
      for (const sequence of old) chosen.delete(sequence);
      return old;
    },
  };
};
