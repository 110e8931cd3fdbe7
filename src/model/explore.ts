/** A state that follows from another by a named step. */
export type Successor<State> = { readonly step: string; readonly state: State };

/** A transition system with an invariant. States are plain JSON values. */
export type Model<State> = {
  readonly initial: State;
  readonly next: (state: State) => ReadonlyArray<Successor<State>>;
  /** Answers what is broken in a state; undefined where all holds. */
  readonly broken: (state: State) => string | undefined;
};

/** What a search came to. */
export type Exploration = {
  readonly states: number;
  readonly transitions: number;
  /** The greatest number of steps from the first state. */
  readonly depth: number;
  /** False where the search was given up at its limit. */
  readonly whole: boolean;
  /** The shortest way to a state that breaks the invariant. */
  readonly counterexample?: { readonly broken: string; readonly steps: ReadonlyArray<string> };
};

type Visited = { readonly parent: number; readonly step: string };

/** Explores every reachable state, breadth first, so that a counterexample is as short as can be. */
export const explore = <State>(model: Model<State>, statesMost: number): Exploration => {
  const visited: Visited[] = [];
  const known = new Set<string>();
  let transitions = 0;
  const stepsTo = (place: number): ReadonlyArray<string> => {
    const steps: string[] = [];
    for (let at = place; at > 0; at = visited[at]!.parent) steps.unshift(visited[at]!.step);
    return steps;
  };
  const add = (
    state: State,
    parent: number,
    step: string,
    into: Array<readonly [State, number]>,
  ): number | undefined => {
    const key = JSON.stringify(state);
    if (known.has(key)) return undefined;
    known.add(key);
    visited.push({ parent, step });
    into.push([state, visited.length - 1]);
    return visited.length - 1;
  };
  let level: Array<readonly [State, number]> = [];
  add(model.initial, -1, '', level);
  let depth = 0;
  while (level.length > 0) {
    const following: Array<readonly [State, number]> = [];
    for (const [state, place] of level)
      for (const { step, state: next } of model.next(state)) {
        transitions += 1;
        const added = add(next, place, step, following);
        if (added === undefined) continue;
        const broken = model.broken(next);
        if (broken !== undefined)
          return {
            states: known.size,
            transitions,
            depth: depth + 1,
            whole: false,
            counterexample: { broken, steps: stepsTo(added) },
          };
        if (known.size >= statesMost) return { states: known.size, transitions, depth: depth + 1, whole: false };
      }
    level = following;
    if (level.length > 0) depth += 1;
  }
  return { states: known.size, transitions, depth, whole: true };
};
