import { createHash } from 'node:crypto';
import type { Reason } from './checked.js';
import type { Binding, Change, Configuration, Parts } from './configuration.js';

/** What the calendar recorded of a move that it began. */
export type MoveProgress = {
  readonly steps: number;
  readonly at: number;
  /** The binding as it was, for undoing a shift. */
  readonly was?: Binding;
  /** The samplers to replace, each with the incarnation that has to go. */
  readonly samplers?: Readonly<Record<string, number>>;
  readonly ended?: 'done' | 'failed' | 'cancelled';
  readonly reason?: string;
};

/** A planned change: one document at a time, a binding shifted by share, a store retired, or samplers replaced. */
export type Move = {
  readonly startMs: number;
  readonly latestMs?: number;
  readonly change?: Parts;
  readonly shift?: {
    readonly binding: string;
    readonly to: string;
    readonly steps: ReadonlyArray<number>;
    readonly everyMs: number;
  };
  readonly retire?: { readonly store: string; readonly by?: string };
  readonly replace?: { readonly service: string; readonly width?: number; readonly leastReady?: number };
  readonly progress?: MoveProgress;
};

/** How a move stands. */
export type MoveState = 'planned' | 'running' | 'waiting' | 'done' | 'cancelled' | 'failed';

/** What the calendar sees besides the configuration. */
export type MoveFacts = {
  readonly now: number;
  readonly samplers: ReadonlyArray<{
    readonly name: string;
    readonly service: string;
    readonly state: string;
    readonly incarnation: number;
  }>;
  readonly stores: ReadonlyArray<string>;
};

/** What to do about a move now: make a step, wait and say why, or let samplers go. */
export type MoveNext =
  | { readonly kind: 'step'; readonly change: Change; readonly what: string }
  | { readonly kind: 'wait'; readonly reason: string; readonly release?: Readonly<Record<string, number>> }
  | { readonly kind: 'none' };

const graceMs = 10 * 60_000;
const kinds = ['change', 'shift', 'retire', 'replace'] as const;
const leastStores = 3;

const latest = (move: Move): number => move.latestMs ?? move.startMs + graceMs;
const over = (move: Move): boolean => move.progress?.ended !== undefined;
const begun = (move: Move): boolean => move.progress !== undefined && !over(move);
const bare = ({ progress: _, ...move }: Move): Move => move;
const idOf = (name: string, move: Move, step: string | number): string =>
  `move/${name}/${createHash('sha256')
    .update(JSON.stringify(bare(move)))
    .digest('hex')
    .slice(0, 12)}/${step}`;

const stateOf = (move: Move, now: number, waits: boolean): MoveState => {
  if (move.progress?.ended) return move.progress.ended;
  if (move.progress) return waits ? 'waiting' : 'running';
  return now < move.startMs ? 'planned' : waits ? 'waiting' : now > latest(move) ? 'failed' : 'planned';
};

const touches = (move: Move): string | undefined =>
  move.shift ? `binding ${move.shift.binding}` : move.replace ? `service ${move.replace.service}` : undefined;

/** Every reason against a move that is put on the calendar. */
const against = (name: string, move: Move, next: Configuration, now: number): ReadonlyArray<Reason> => {
  const reasons: Reason[] = [];
  const no = (part: string, message: string): void => void reasons.push({ path: `moves.${name}${part}`, message });
  if (kinds.filter((kind) => move[kind] !== undefined).length !== 1) {
    no('', `names exactly one of ${kinds.join(', ')}`);
    return reasons;
  }
  if (move.startMs < now - 60_000) no('.startMs', 'is in the past');
  if (latest(move) < move.startMs) no('.latestMs', 'is before the start');
  if (move.shift) {
    const { binding, to, steps } = move.shift;
    if (!next.bindings[binding]) no('.shift.binding', `no binding named ${binding}`);
    if (!next.services[to]) no('.shift.to', `no service named ${to}`);
    if (next.bindings[binding]?.service === to && !next.bindings[binding]?.shares)
      no('.shift.to', 'has it all already');
    if (steps.some((step, place) => step <= (steps[place - 1] ?? 0) || step > 100)) {
      no('.shift.steps', 'must grow, from over 0 to at most 100');
    }
  }
  if (move.retire) {
    const { store, by } = move.retire;
    const names = next.stores.current.map((each) => each.name);
    const left = names.filter((each) => each !== store).length + (by === undefined ? 0 : 1);
    if (!names.includes(store)) no('.retire.store', `${store} is not in the store set`);
    if (by !== undefined && names.includes(by)) no('.retire.by', `${by} is in the store set already`);
    if (left < leastStores) {
      no('.retire.store', `would leave ${left} stores; with fewer than ${leastStores} the loss of one is not survived`);
    }
  }
  if (move.replace && !next.services[move.replace.service])
    no('.replace.service', `no service named ${move.replace.service}`);
  for (const [other, planned] of Object.entries(next.moves)) {
    if (other === name || over(planned) || touches(move) === undefined || touches(planned) !== touches(move)) continue;
    if (latest(planned) >= move.startMs && planned.startMs <= latest(move)) {
      no('', `clashes with ${other}, which touches ${touches(move)} at the same time`);
    }
  }
  return reasons;
};

/** Puts moves on the calendar or takes them off it; one that runs has to be cancelled first. */
const merge = (
  before: Configuration,
  next: Configuration,
  change: Change,
  now: number,
  reasons: Reason[],
): Configuration['moves'] => {
  const kept = new Map(Object.entries(change.whole === true ? {} : before.moves));
  for (const [name, move] of Object.entries(change.moves ?? {})) {
    const old = before.moves[name];
    if (old && begun(old)) reasons.push({ path: `moves.${name}`, message: 'is running; cancel it first' });
    if (move === null) kept.delete(name);
    else kept.set(name, bare(move));
  }
  for (const [name, progress] of Object.entries(change.moveSteps ?? {})) {
    const old = before.moves[name];
    if (!old) reasons.push({ path: `moveSteps.${name}`, message: `no move named ${name}` });
    else kept.set(name, { ...old, progress: { ...(old.progress ?? { steps: 0, at: 0 }), ...progress } });
  }
  const moves = Object.fromEntries(kept);
  for (const [name, move] of Object.entries(change.moves ?? {})) {
    if (move !== null) reasons.push(...against(name, move, { ...next, moves }, now));
  }
  return moves;
};

const shifted = (binding: Binding, from: string, to: string, share: number): Binding => {
  const { shares: _, ...rest } = binding;
  return share === 100
    ? { ...rest, service: to }
    : { ...rest, service: from, shares: { [from]: 100 - share, [to]: share } };
};

type Planner = (name: string, move: Move, now: Configuration, facts: MoveFacts) => MoveNext;

const step = (
  name: string,
  move: Move,
  number: number | string,
  parts: Parts,
  progress: Partial<MoveProgress>,
  at: number,
): MoveNext => ({
  kind: 'step',
  what: `step ${number}`,
  change: {
    id: idOf(name, move, number),
    ...parts,
    moveSteps: { [name]: { steps: move.progress?.steps ?? 0, at, ...progress } },
  },
});

const nextShift: Planner = (name, move, now, facts) => {
  const { binding, to, steps, everyMs } = move.shift!;
  const given = now.bindings[binding];
  const done = move.progress?.steps ?? 0;
  if (!given) return step(name, move, 'end', {}, { ended: 'failed', reason: `binding ${binding} is gone` }, facts.now);
  const due = Math.max(move.startMs + done * everyMs, done === 0 ? 0 : move.progress!.at + everyMs);
  if (facts.now < due) return { kind: 'none' };
  if (!facts.samplers.some((sampler) => sampler.service === to && sampler.state === 'ready')) {
    return { kind: 'wait', reason: `no sampler of ${to} is ready` };
  }
  const was = move.progress?.was ?? given;
  const next = { bindings: { [binding]: shifted(given, was.service, to, steps[done]!) } };
  const last = done + 1 === steps.length;
  return step(name, move, done, next, { steps: done + 1, was, ...(last ? { ended: 'done' as const } : {}) }, facts.now);
};

const nextRetire: Planner = (name, move, now, facts) => {
  const { store, by } = move.retire!;
  const moving = now.stores.previous.length > 0;
  if (move.progress) {
    if (moving) return { kind: 'wait', reason: 'its records are copied; it must stay on until they stand elsewhere' };
    return step(name, move, 'end', {}, { ended: 'done', reason: `${store} may be switched off` }, facts.now);
  }
  if (moving) return { kind: 'wait', reason: 'another store move is running' };
  if (by !== undefined && !facts.stores.includes(by)) return { kind: 'wait', reason: `${by} is not present` };
  const names = now.stores.current.map((each) => each.name).filter((each) => each !== store);
  return step(name, move, 0, { stores: by === undefined ? names : [...names, by] }, { steps: 1 }, facts.now);
};

const nextReplace: Planner = (name, move, _now, facts) => {
  const { service, width = 1 } = move.replace!;
  const there = facts.samplers.filter((sampler) => sampler.service === service && sampler.state !== 'leaving');
  if (!move.progress) {
    if (there.length === 0) return { kind: 'wait', reason: `no sampler of ${service} is known` };
    const samplers = Object.fromEntries(there.map((sampler) => [sampler.name, sampler.incarnation]));
    return step(name, move, 0, {}, { samplers }, facts.now);
  }
  const leastReady = move.replace!.leastReady ?? Math.max(1, there.length - width);
  const pending = Object.entries(move.progress.samplers ?? {}).filter(([sampler, incarnation]) => {
    const now = facts.samplers.find((each) => each.name === sampler);
    return now === undefined || now.incarnation <= incarnation || now.state !== 'ready';
  });
  if (pending.length === 0) return step(name, move, 'end', {}, { ended: 'done' }, facts.now);
  const still = (sampler: string, incarnation: number): boolean =>
    there.some((each) => each.name === sampler && each.incarnation === incarnation);
  const away = pending.filter(([sampler, incarnation]) => !still(sampler, incarnation));
  const waiting = pending.filter(([sampler, incarnation]) => still(sampler, incarnation)).sort();
  const ready = there.filter((sampler) => sampler.state === 'ready').length;
  const free = Math.min(width - away.length, Math.max(0, ready - leastReady));
  const release = Object.fromEntries(waiting.slice(0, Math.max(0, free)));
  const names = [...away.map(([sampler]) => sampler), ...Object.keys(release)];
  const reason =
    names.length > 0 ? `${names.join(', ')} to come back, ${pending.length} left` : `only ${ready} samplers are ready`;
  return { kind: 'wait', reason, release };
};

const nextChange: Planner = (name, move, _now, facts) =>
  step(name, move, 'change', move.change!, { steps: 1, ended: 'done' }, facts.now);

/** What to do about a move now. */
const next: Planner = (name, move, now, facts) => {
  if (over(move) || facts.now < move.startMs) return { kind: 'none' };
  const late = facts.now > latest(move);
  if (!move.progress && late) {
    return step(name, move, 'end', {}, { ended: 'failed', reason: 'it could not begin by its latest time' }, facts.now);
  }
  if (move.replace && late) {
    return step(
      name,
      move,
      'end',
      {},
      { ended: 'failed', reason: 'not all were replaced by its latest time' },
      facts.now,
    );
  }
  const planner = move.shift ? nextShift : move.retire ? nextRetire : move.replace ? nextReplace : nextChange;
  return planner(name, move, now, facts);
};

/** The change that cancels a move, and for a shift undoes it; or why it cannot be. */
const cancel = (name: string, move: Move, undo: boolean, at: number): Change | string => {
  if (over(move) && !(undo && move.shift && move.progress?.ended === 'done')) {
    return `it is ${move.progress!.ended} already`;
  }
  if (move.retire && move.progress) return 'its records are on the move; change the stores back once it is done';
  if (undo && !move.shift) return 'only a shift can be undone';
  const was = move.progress?.was;
  return {
    id: idOf(name, move, undo ? 'undo' : 'cancel'),
    ...(undo && was ? { bindings: { [move.shift!.binding]: was } } : {}),
    moveSteps: {
      [name]: { steps: move.progress?.steps ?? 0, at, ended: 'cancelled', reason: undo ? 'undone' : 'cancelled' },
    },
  };
};

/** The calendar's reducers. */
export const moves = { stateOf, merge, next, cancel, latest };
