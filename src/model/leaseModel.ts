import type { Model, Successor } from './explore.js';

/** The rules of fenced leases that can be switched off one at a time. */
export type LeaseRule =
  /** A grant names the electorate; a voter grants under the one that it knows, and not once it accepted a later one. */
  | 'electorate'
  /** A voter that was no member before waits a full lease from the moment it learnt that it is one. */
  | 'newcomerWaits'
  /** What a voter granted is on its disk before it is answered. */
  | 'grantsLast';

/** How large the model is. */
export type LeaseSize = {
  readonly leaseTicks: number;
  readonly ticks: number;
  readonly restarts: number;
  /** How many times the holders ask for the lease, together. */
  readonly asks: number;
  /** Whether D takes the place of C meanwhile. */
  readonly replaces: boolean;
};

type VoterState = {
  accepted: boolean;
  /** The electorate that it knows; 0 for none. */
  known: number;
  grantsFrom: number;
  holder: number;
  until: number;
  token: number;
};
type HolderState = { view: number; asking: number; token: number; granted: number[]; until: number };
type State = {
  now: number;
  voters: VoterState[];
  holders: HolderState[];
  /** The newest sequence of the log, of which fences are ten times as large. */
  sequence: number;
  restarts: number;
  asks: number;
  lastToken: number;
  wrong: string;
};

const names = ['A', 'B', 'C', 'D'];
const electorates: ReadonlyArray<ReadonlyArray<number>> = [[], [0, 1, 2], [0, 1, 3]];
const fencesEach = 10;
const majority = 2;
const idle = -1;
const nobody = -1;
const copy = (state: State): State => ({
  ...state,
  voters: state.voters.map((voter) => ({ ...voter })),
  holders: state.holders.map((holder) => ({ ...holder, granted: [...holder.granted] })),
});

/** Makes the model: four voters of whom D takes the place of C once, two holders of one lease, a clock of ticks. */
export const leaseModel = (size: LeaseSize, off: LeaseRule | 'none'): Model<State> => {
  const { leaseTicks } = size;
  const chosen = (state: State): boolean => electorates[1]!.filter((v) => state.voters[v]!.accepted).length >= majority;
  const changes = (state: State): Array<Successor<State>> =>
    names.flatMap((name, v): Array<Successor<State>> => {
      const voter = state.voters[v]!;
      const found: Array<Successor<State>> = [];
      if (size.replaces && electorates[1]!.includes(v) && !voter.accepted) {
        const next = copy(state);
        next.voters[v]!.accepted = true;
        if (!chosen(state) && chosen(next)) next.sequence += 1;
        found.push({ step: `${name} accepts that D takes the place of C`, state: next });
      }
      // What C learns changes nothing: it is no member any more.
      if (chosen(state) && voter.known < 2 && electorates[2]!.includes(v)) {
        const next = copy(state);
        const learner = next.voters[v]!;
        const newcomer = voter.known === 0 && off !== 'newcomerWaits';
        learner.known = 2;
        learner.token = Math.max(learner.token, state.sequence * fencesEach);
        if (newcomer) learner.grantsFrom = Math.max(learner.grantsFrom, state.now + leaseTicks);
        found.push({ step: `${name} learns the new voters`, state: next });
      }
      return found;
    });
  const restarts = (state: State): Array<Successor<State>> =>
    state.restarts >= size.restarts
      ? []
      : names.flatMap((name, v): Array<Successor<State>> => {
          // Only one that granted something has something to forget.
          if (state.voters[v]!.holder === nobody) return [];
          const next = copy(state);
          const voter = next.voters[v]!;
          next.restarts += 1;
          if (off === 'grantsLast') Object.assign(voter, { holder: nobody, until: 0, token: fencesEach });
          else voter.until = state.now + leaseTicks;
          return [{ step: `${name} restarts`, state: next }];
        });
  const mayGrant = (voter: VoterState, v: number, view: number): boolean => {
    if (off === 'electorate') return voter.known > 0;
    const accepted = voter.accepted ? 2 : voter.known;
    return voter.known === view && accepted <= view && electorates[view]!.includes(v);
  };
  const grants = (state: State, h: number): Array<Successor<State>> => {
    const holder = state.holders[h]!;
    // A holder uses no lease whose time, counted from its asking, is over.
    if (holder.asking === idle || state.now >= holder.asking + leaseTicks) return [];
    return electorates[holder.view]!.flatMap((v): Array<Successor<State>> => {
      const voter = state.voters[v]!;
      const free = voter.holder === nobody || voter.holder === h || voter.until <= state.now;
      const fits = holder.token > voter.token;
      if (!free || !fits || state.now < voter.grantsFrom || !mayGrant(voter, v, holder.view)) return [];
      const next = copy(state);
      Object.assign(next.voters[v]!, { holder: h, until: state.now + leaseTicks, token: holder.token });
      const granted = [...holder.granted, v].sort();
      next.holders[h]!.granted = granted;
      if (granted.length === majority) {
        Object.assign(next.holders[h]!, { until: holder.asking + leaseTicks, asking: idle, granted: [] });
        if (holder.token <= state.lastToken) next.wrong = `fence ${holder.token} after ${state.lastToken}`;
        next.lastToken = holder.token;
      }
      return [{ step: `${names[v]} grants holder ${h + 1} fence ${holder.token}`, state: next }];
    });
  };
  const holders = (state: State): Array<Successor<State>> =>
    state.holders.flatMap((holder, h): Array<Successor<State>> => {
      const found = grants(state, h);
      if (holder.view === 1 && chosen(state)) {
        const next = copy(state);
        Object.assign(next.holders[h]!, { view: 2, asking: idle, granted: [] });
        found.push({ step: `holder ${h + 1} hears of the new voters`, state: next });
      }
      const asks = holder.asking !== idle && state.now < holder.asking + leaseTicks;
      if (!asks && state.now >= holder.until && state.asks < size.asks) {
        const members = electorates[holder.view]!;
        for (const skipped of members) {
          const looked = members.filter((v) => v !== skipped).map((v) => state.voters[v]!.token);
          const next = copy(state);
          next.asks += 1;
          Object.assign(next.holders[h]!, { asking: state.now, token: Math.max(...looked) + 1, granted: [] });
          const heard = members.filter((v) => v !== skipped).map((v) => names[v]);
          found.push({ step: `holder ${h + 1} asks, having looked at ${heard.join(' and ')}`, state: next });
        }
      }
      return found;
    });
  const passing = (state: State): Array<Successor<State>> => {
    if (state.now >= size.ticks) return [];
    const next = copy(state);
    next.now += 1;
    return [{ step: `a tick passes`, state: next }];
  };
  return {
    initial: {
      now: 0,
      voters: names.map((_, v) => ({
        accepted: false,
        known: v < 3 ? 1 : 0,
        grantsFrom: 0,
        holder: nobody,
        until: 0,
        token: fencesEach,
      })),
      holders: [0, 1].map(() => ({ view: 1, asking: idle, token: 0, granted: [], until: 0 })),
      sequence: 1,
      restarts: 0,
      asks: 0,
      lastToken: 0,
      wrong: '',
    },
    next: (state) => [...changes(state), ...restarts(state), ...holders(state), ...passing(state)],
    broken: (state) => {
      if (state.wrong !== '') return state.wrong;
      const holding = state.holders.filter((holder) => state.now < holder.until).length;
      return holding > 1 ? 'two hold the lease at once' : undefined;
    },
  };
};
