import { Fault } from '../../shared/fault.js';
import type { LeaderBallot, LotValue } from '../fleetTypes.js';
import type { Led, LeaderOptions, LotCopies, Prepared } from './lotCopies.js';
import { makeCopyProgress } from './copyProgress.js';
import { lotReplica } from './lotReplica.js';
import { lotState } from './lotState.js';
import { placement } from '../../policy/placement.js';

const { compare, none } = lotReplica;

/** How many of a copy's first entries are the leader's own, going by the ballots that they stand under. */
const sameLength = (
  led: Pick<Led, 'values' | 'origin' | 'ballot' | 'found'>,
  ballots: ReadonlyArray<LeaderBallot>,
): number => {
  let length = 0;
  while (length < ballots.length && length < led.values.length) {
    const [at, from] = [ballots[length]!, led.origin[length]];
    if (compare(at, led.ballot) !== 0 && (from === undefined || compare(at, from) !== 0)) break;
    length += 1;
  }
  // The last one is always sent, so that what a copy holds counts only once it stands under the leader's ballot.
  const most = led.found > 0 ? led.found - 1 : led.values.length - 1;
  return Math.max(0, Math.min(length, most));
};

/** Asks the copies for their promise; answers as soon as a majority of every set gave it or all have spoken. */
const prepared = async (options: LeaderOptions, copies: LotCopies, lot: string, ballot: LeaderBallot) => {
  const { replica } = options;
  const quorums = copies.sets(lot);
  const heard = new Map<string, Prepared>();
  const granted = (): boolean => placement.quorum(quorums, (each) => heard.get(placement.key(each))?.ok === true);
  const ownAnswer = async (): Promise<Prepared> => {
    const ok = await replica.prepare(lot, ballot);
    const log = replica.logs.get(lot);
    return { ok, promised: log?.promised ?? none, ballots: (log?.entries ?? []).map((entry) => entry.ballot) };
  };
  await new Promise<void>((resolve) => {
    const all = copies.of(lot);
    let open = all.length;
    if (open === 0) resolve();
    for (const voter of all) {
      const key = placement.key(voter);
      const asked = key === copies.own ? ownAnswer() : copies.call(voter, 'lot.prepare', { lot, ballot });
      asked
        .then((info) => heard.set(key, info as Prepared))
        .catch(() => undefined)
        .finally(() => {
          open -= 1;
          if (open === 0 || granted()) resolve();
        });
    }
  });
  return { heard, granted: granted() };
};

/** How many entries each copy that answered holds, for the log. */
const heldByText = (answers: ReadonlyArray<readonly [string, Prepared]>): string =>
  answers.map(([key, info]) => `${placement.nameOf(key)}:${info.ballots.length}`).join(',');

/** Begins to lead a lot: the promise of a majority, and of each entry the value under the highest ballot. */
const take = async (
  options: LeaderOptions,
  copies: LotCopies,
  lot: string,
  make: boolean,
): Promise<Led | { readonly unknown: true }> => {
  const { replica, now } = options;
  const askedAt = now();
  const askedEpoch = options.view().epoch;
  const ballot: LeaderBallot = { round: (replica.logs.get(lot)?.promised.round ?? 0) + 1, by: options.owner };
  const { heard, granted } = await prepared(options, copies, lot, ballot);
  if (!granted) {
    const promised =
      [...heard.values()]
        .map((info) => info.promised)
        .sort(compare)
        .at(-1) ?? none;
    if (promised.round > ballot.round) await replica.prepare(lot, promised).catch(() => false);
    throw new Fault({ step: 'lead lot', reason: `no majority of the copies of ${lot} lets this store lead` });
  }
  const answers = [...heard].filter(([, info]) => info.ok);
  const length = Math.max(0, ...answers.map(([, info]) => info.ballots.length));
  if (length === 0 && !make) {
    options.event('batch_unknown', { lot, epoch: options.view().epoch, copies: heldByText(answers) });
    return { unknown: true };
  }
  const ownEntries = replica.logs.get(lot)?.entries ?? [];
  const values: LotValue[] = [];
  const origin: LeaderBallot[] = [];
  const fetches = new Map<string, number[]>();
  for (let i = 0; i < length; i += 1) {
    let best: { key: string; at: LeaderBallot } | undefined;
    for (const [key, info] of answers) {
      const at = info.ballots[i];
      const order = at && best ? compare(at, best.at) : 1;
      if (at && (order > 0 || (order === 0 && key === copies.own))) best = { key, at };
    }
    origin.push(best!.at);
    if (best!.key === copies.own) values[i] = ownEntries[i]!.value;
    else fetches.set(best!.key, [...(fetches.get(best!.key) ?? []), i]);
  }
  for (const [key, indexes] of fetches) {
    const voter = copies.of(lot).find((each) => placement.key(each) === key)!;
    for (let at = 0; at < indexes.length; at += 60) {
      const some = indexes.slice(at, at + 60);
      const bodies = (await copies.call(voter, 'lot.fetch', { lot, indexes: some }, 2500)) as LotValue[];
      some.forEach((index, place) => (values[index] = bodies[place]!));
    }
  }
  if (compare(replica.logs.get(lot)?.promised ?? none, ballot) !== 0)
    throw new Fault({ step: 'lead lot', reason: `${lot} was promised to another meanwhile` });
  const led: Led = {
    lot,
    ballot,
    values,
    origin,
    progress: makeCopyProgress({ own: copies.own, epoch: () => options.view().epoch }),
    found: values.length,
    endFound: values.some((value) => value.kind === 'end'),
    born: length === 0 ? options.view().epoch : undefined,
    chosen: 0,
    state: lotState.fresh(),
    confirmedAt: askedAt,
    heard: new Map(),
    // A lot that begins here is written to a majority of the present view's sets.
    settledAt: length === 0 ? options.view().epoch : 0,
    waitingSince: length === 0 ? Infinity : now(),
    begunAt: now(),
    targets: undefined,
    waiting: [],
    open: true,
  };
  for (const voter of copies.of(lot)) {
    const info = heard.get(placement.key(voter));
    if (info?.ok) led.progress.note(placement.key(voter), sameLength(led, info.ballots), askedEpoch);
  }
  return led;
};

/** The beginning of a lot's leading. */
export const lotTakeover = { take, sameLength };
