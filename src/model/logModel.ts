import type { Model, Successor } from './explore.js';

/** The rules of the replicated configuration log that can be switched off one at a time. */
export type LogRule =
  /** A voter takes no ballot below the one that it promised. */
  | 'promises'
  /** A proposer goes on with the value of the highest ballot that its majority accepted. */
  | 'adopts'
  /** A proposer proposes a sequence only under the voters that the one before names, and voters vote only as such. */
  | 'membership'
  /** A voter answers once its vote is on disk. */
  | 'syncs'
  /** A voter whose disk was lost is another voter. */
  | 'diskIdentity';

/** How large the model is. */
export type LogSize = {
  /** How many disks may be lost. */
  readonly disksLost: number;
  /** How many voters may crash and come back with their disks. */
  readonly crashes: number;
  /** How many sequences beyond the founding one are proposed: 1 or 2. */
  readonly sequences: number;
};

type Slot = { promised: number; accepted: number; value: string };
type VoterState = { slots: Slot[]; synced: Slot[]; learnt: number; lost: boolean };
type Promise1 = { s: number; b: number; v: number; accepted: number; value: string };
type State = {
  voters: VoterState[];
  promises: Promise1[];
  /** The value that each ballot proposes. */
  proposed: Record<string, string>;
  /** Acceptances that were answered, `sequence.ballot.voter`. */
  acceptances: string[];
  lost: number;
  crashes: number;
};

const names = ['A', 'B', 'C', 'D'];
const founders = [0, 1, 2];
const successors = [0, 1, 3];
/** What the two proposers want: the first replaces voter C by D at sequence 1, all else changes no voters. */
const replaceC = 'C by D';
const wanted = (s: number, b: number): string => (s === 0 && b === 1 ? replaceC : `${s + 1}/${b}`);
const ballots = [1, 2];
const majorityOf = (members: ReadonlyArray<number>): number => Math.floor(members.length / 2) + 1;
const copySlots = (slots: ReadonlyArray<Slot>): Slot[] => slots.map((slot) => ({ ...slot }));
const copy = (state: State): State => ({
  ...state,
  voters: state.voters.map((voter) => ({
    ...voter,
    slots: copySlots(voter.slots),
    synced: copySlots(voter.synced),
  })),
  promises: [...state.promises],
  proposed: { ...state.proposed },
  acceptances: [...state.acceptances],
});

/** Makes the model with a rule switched off, or none. */
export const logModel = (size: LogSize, off: LogRule | 'none'): Model<State> => {
  const sequences = Array.from({ length: size.sequences }, (_, place) => place);
  const blank = (): Slot[] => sequences.map(() => ({ promised: 0, accepted: 0, value: '' }));

  /** The value of a sequence that a majority accepted under one ballot, as its voters' answers tell. */
  const chosenBy = (state: State, s: number, members: ReadonlyArray<number>): ReadonlyArray<string> =>
    ballots.flatMap((b) => {
      const count = members.filter((v) => state.acceptances.includes(`${s}.${b}.${v}`)).length;
      return count >= majorityOf(members) ? [state.proposed[`${s}.${b}`]!] : [];
    });
  const chosenFirst = (state: State): string | undefined => chosenBy(state, 0, founders)[0];
  const members = (state: State, s: number): ReadonlyArray<number> =>
    s === 1 && chosenFirst(state) === replaceC ? successors : founders;
  const chosen = (state: State, s: number): ReadonlyArray<string> => {
    if (s === 0 || off !== 'membership') return chosenBy(state, s, members(state, s));
    return [...new Set([...chosenBy(state, s, founders), ...chosenBy(state, s, successors)])];
  };
  /** Voters that a proposer of a sequence asks; undefined while it may not propose. */
  const asked = (state: State, s: number): ReadonlyArray<number> | undefined => {
    if (s === 0) return founders;
    if (chosen(state, 0).length > 0) return members(state, s);
    return off === 'membership' ? founders : undefined;
  };
  const mayVote = (state: State, s: number, v: number): boolean => {
    const voter = state.voters[v]!;
    if (voter.lost && off !== 'diskIdentity') return false;
    if (off === 'membership') return true;
    return s === 0 ? founders.includes(v) : voter.learnt >= 1 && members(state, s).includes(v);
  };
  /** A vote is on disk before it is answered, unless that rule is off. */
  const vote = (state: State, v: number, s: number, slot: Slot): void => {
    const voter = state.voters[v]!;
    voter.slots[s] = slot;
    if (off !== 'syncs') voter.synced[s] = slot;
  };

  const proposals = (state: State): Array<Successor<State>> =>
    sequences.flatMap((s) =>
      ballots.flatMap((b): Array<Successor<State>> => {
        const electorate = asked(state, s);
        const key = `${s}.${b}`;
        if (!electorate) return [];
        const promised = state.promises.filter((each) => each.s === s && each.b === b);
        const inside = promised.filter((each) => electorate.includes(each.v));
        if (state.proposed[key] !== undefined || inside.length < majorityOf(electorate)) return [];
        const found = [...inside].sort((one, other) => other.accepted - one.accepted)[0]!;
        const value = found.accepted > 0 && off !== 'adopts' ? found.value : wanted(s, b);
        const next = copy(state);
        next.proposed = Object.fromEntries(Object.entries({ ...next.proposed, [key]: value }).sort());
        return [{ step: `proposer ${b} proposes "${value}" at sequence ${s + 1}`, state: next }];
      }),
    );
  const votes = (state: State): Array<Successor<State>> =>
    sequences.flatMap((s) =>
      names.flatMap((name, v) =>
        ballots.flatMap((b): Array<Successor<State>> => {
          if (!mayVote(state, s, v)) return [];
          const found: Array<Successor<State>> = [];
          const slot = state.voters[v]!.slots[s]!;
          const key = `${s}.${b}`;
          const fits = b >= slot.promised || off === 'promises';
          if (
            asked(state, s)?.includes(v) &&
            fits &&
            !state.promises.some((p) => p.s === s && p.b === b && p.v === v)
          ) {
            const next = copy(state);
            vote(next, v, s, { ...slot, promised: Math.max(b, slot.promised) });
            next.promises.push({ s, b, v, accepted: slot.accepted, value: slot.value });
            next.promises.sort((one, other) => one.s - other.s || one.b - other.b || one.v - other.v);
            found.push({ step: `${name} promises ballot ${b} of sequence ${s + 1}`, state: next });
          }
          const value = state.proposed[key];
          if (value !== undefined && fits && !state.acceptances.includes(`${key}.${v}`)) {
            const next = copy(state);
            vote(next, v, s, { promised: Math.max(b, slot.promised), accepted: b, value });
            next.acceptances = [...next.acceptances, `${key}.${v}`].sort();
            found.push({ step: `${name} accepts "${value}" under ballot ${b} of sequence ${s + 1}`, state: next });
          }
          return found;
        }),
      ),
    );
  const learning = (state: State): Array<Successor<State>> => {
    const value = chosen(state, 0)[0];
    if (value === undefined || size.sequences < 2) return [];
    return names.flatMap((name, v): Array<Successor<State>> => {
      if (state.voters[v]!.learnt > 0 || state.voters[v]!.lost) return [];
      const next = copy(state);
      next.voters[v]!.learnt = 1;
      return [{ step: `${name} learns that sequence 1 is "${value}"`, state: next }];
    });
  };
  const losses = (state: State): Array<Successor<State>> =>
    names.flatMap((name, v): Array<Successor<State>> => {
      const voter = state.voters[v]!;
      const found: Array<Successor<State>> = [];
      if (state.lost < size.disksLost && !voter.lost) {
        const next = copy(state);
        next.lost += 1;
        next.voters[v] = { slots: blank(), synced: blank(), learnt: 0, lost: true };
        found.push({ step: `${name} loses its disk`, state: next });
      }
      const unsynced = JSON.stringify(voter.slots) !== JSON.stringify(voter.synced);
      if (state.crashes < size.crashes && unsynced) {
        const next = copy(state);
        next.crashes += 1;
        next.voters[v]!.slots = structuredClone(voter.synced);
        found.push({ step: `${name} loses power and comes back with its disk`, state: next });
      }
      return found;
    });

  return {
    initial: {
      voters: names.map(() => ({ slots: blank(), synced: blank(), learnt: 0, lost: false })),
      promises: [],
      proposed: {},
      acceptances: [],
      lost: 0,
      crashes: 0,
    },
    next: (state) => [...proposals(state), ...votes(state), ...learning(state), ...losses(state)],
    broken: (state) => {
      for (const s of sequences) {
        const values = new Set(chosen(state, s));
        if (values.size > 1) return `sequence ${s + 1} has two values: ${[...values].join(' and ')}`;
        if (values.size === 0) continue;
        const electorate = members(state, s);
        const heard = electorate.filter((v) => off === 'diskIdentity' || !state.voters[v]!.lost);
        const silent = heard.filter((v) => state.voters[v]!.slots[s]!.accepted === 0);
        if (silent.length >= majorityOf(electorate))
          return `a majority knows nothing of sequence ${s + 1}, which was acknowledged`;
      }
      return undefined;
    },
  };
};
