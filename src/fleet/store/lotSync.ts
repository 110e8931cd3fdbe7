import type { Voter } from '../../core/paxos.js';
import type { CopyAnswer, Led, LeaderOptions, LotCopies, Prepared } from './lotCopies.js';
import { lotReplica, type AppendPart } from './lotReplica.js';
import { entrySize } from './entrySize.js';
import { lotState } from './lotState.js';
import { makeReplicationTracker } from './replicationTracker.js';
import { lotTakeover } from './lotTakeover.js';
import { placement } from '../../policy/placement.js';

/** How led lots reach their copies, and how their leaders know that they still lead. */
export type LotSync = {
  /** Sends what copies lack, at the end of this turn. */
  readonly schedule: () => void;
  /** Answers true when a majority, asked after this call began, knew no later leader. */
  readonly confirm: (led: Led) => Promise<boolean>;
  /** Confirms all open lots with one call for each copy. */
  readonly confirmAll: () => Promise<void>;
};

const partBytes = 512 * 1024;
const confirmMs = 700;
type SizedPart = AppendPart & { readonly bytes: number };

/** The entries that a copy lacks, as one part. */
const partFor = (led: Led, matched: number): SizedPart => {
  const entries: Array<AppendPart['entries'][number]> = [];
  let bytes = 0;
  for (let i = matched; i < led.values.length && bytes < partBytes; i += 1) {
    const v = led.values[i]!;
    bytes += entrySize(v);
    entries.push({ i, v });
  }
  return {
    lot: led.lot,
    ballot: led.ballot,
    stamp: matched,
    ...(led.born !== undefined && { born: led.born }),
    entries,
    bytes,
  };
};

/** Makes the sync of one store's led lots: one batch under way for each copy, whatever it lacks of all lots. */
export const makeLotSync = (
  options: LeaderOptions,
  copies: LotCopies,
  leds: () => Iterable<Led>,
  stepDown: (led: Led, reason: string) => void,
): LotSync => {
  const { replica, now } = options;
  const { own } = copies;
  const pumping = new Set<string>();
  const targets = makeReplicationTracker(options, copies);
  let checking: NodeJS.Timeout | undefined;

  /** Looks again once what waits now would be late, and only after acknowledgements that lie here unread. */
  const checkLater = (): void => {
    checking ??= setTimeout(() => {
      setImmediate(() => {
        checking = undefined;
        for (const led of leds()) targets.replaceLate(led);
        pumpAll();
      });
    }, targets.lateAfterMs() + 1);
  };

  const advance = (led: Led): void => {
    const quorums = copies.sets(led.lot);
    const holds = (each: Voter): boolean => (led.match.get(placement.key(each)) ?? -1) > led.chosen;
    while (led.chosen < led.values.length && placement.quorum(quorums, holds)) {
      const value = led.values[led.chosen]!;
      led.chosen += 1;
      led.waitingSince = led.chosen < led.values.length ? now() : Infinity;
      options.chosen(led, value, lotState.step(led.state, value));
    }
    const ready = led.waiting.filter((waiting) => waiting.index < led.chosen);
    if (ready.length === 0) return;
    led.waiting = led.waiting.filter((waiting) => waiting.index >= led.chosen);
    for (const waiting of ready) waiting.done();
  };
  const heardFrom = (led: Led, key: string, askedAt: number): void => {
    led.heard.set(key, Math.max(askedAt, led.heard.get(key) ?? 0));
    const quorums = copies.sets(led.lot);
    for (const time of [...led.heard.values()].sort((one, other) => other - one)) {
      if (time <= led.confirmedAt) return;
      const there = (each: Voter): boolean =>
        placement.key(each) === own || (led.heard.get(placement.key(each)) ?? 0) >= time;
      if (placement.quorum(quorums, there)) return void (led.confirmedAt = time);
    }
  };
  const answered = (led: Led, voter: Voter, { ok, promised }: CopyAnswer, askedAt: number): boolean => {
    if (ok) heardFrom(led, placement.key(voter), askedAt);
    else if (lotReplica.compare(promised, led.ballot) > 0) stepDown(led, `${voter.name} promised ${promised.by}`);
    return ok;
  };

  const batchFor = async (voter: Voter): Promise<ReadonlyArray<{ led: Led; part: SizedPart }>> => {
    const key = placement.key(voter);
    const batch: Array<{ led: Led; part: SizedPart }> = [];
    let bytes = 0;
    for (const led of [...leds()]) {
      const matched = led.match.get(key);
      if (matched === undefined || matched >= led.values.length || bytes > partBytes) continue;
      if (!targets.of(led).has(key)) continue;
      if (matched < 0) {
        const askedAt = now();
        const info = (await copies.call(voter, 'lot.prepare', { lot: led.lot, ballot: led.ballot })) as Prepared;
        if (!answered(led, voter, info, askedAt)) continue;
        led.match.set(key, lotTakeover.sameLength(led, info.ballots));
      }
      const part = partFor(led, led.match.get(key)!);
      bytes += part.bytes;
      batch.push({ led, part });
    }
    return batch;
  };
  const pump = async (voter: Voter): Promise<void> => {
    const key = placement.key(voter);
    for (;;) {
      const batch = await batchFor(voter);
      if (batch.length === 0) return;
      const askedAt = now();
      const parts = batch.map(({ part }) => part);
      const heard = (await copies.call(voter, 'lot.append', { parts }, 2500)) as CopyAnswer[];
      targets.acknowledged(
        batch.reduce((sum, { part }) => sum + part.bytes, 0),
        now() - askedAt,
      );
      let gaps = 0;
      batch.forEach(({ led, part }, place) => {
        if (answered(led, voter, heard[place]!, askedAt)) {
          led.match.set(key, part.stamp + part.entries.length);
          advance(led);
        } else {
          led.match.set(key, -1);
          gaps += 1;
        }
      });
      if (gaps === batch.length) return;
    }
  };
  const pumpOwn = async (): Promise<void> => {
    for (;;) {
      const behind = [...leds()].filter((led) => (led.match.get(own) ?? Infinity) < led.values.length);
      if (behind.length === 0) return;
      await Promise.all(
        behind.map(async (led) => {
          const part = partFor(led, Math.max(0, led.match.get(own)!));
          if (!(await replica.append(part))) return stepDown(led, 'a later leader was promised here');
          led.match.set(own, part.stamp + part.entries.length);
          advance(led);
        }),
      );
    }
  };
  const pumpAll = (): void => {
    const behind = new Map<string, Voter>();
    for (const led of leds()) {
      if (led.waitingSince !== Infinity) checkLater();
      const keys = targets.of(led);
      for (const voter of copies.of(led.lot)) {
        const key = placement.key(voter);
        if (!led.match.has(key)) led.match.set(key, -1);
        if (keys.has(key) && led.match.get(key)! < led.values.length) behind.set(key, voter);
      }
    }
    for (const [key, voter] of behind) {
      if (pumping.has(key)) continue;
      pumping.add(key);
      // A copy that is gone or a disk that refuses is tried again at the next tick.
      void (key === own ? pumpOwn() : pump(voter))
        .catch(() => key !== own && targets.noteLate(voter))
        .finally(() => pumping.delete(key));
    }
  };
  let scheduled = false;
  const schedule = (): void => {
    if (scheduled) return;
    scheduled = true;
    setImmediate(() => {
      scheduled = false;
      pumpAll();
    });
  };

  const ask = async (voter: Voter, asked: ReadonlyArray<Led>): Promise<void> => {
    const start = now();
    const parts = asked.map(({ lot, ballot }) => ({ lot, ballot }));
    const heard = (await copies.call(voter, 'lot.confirm', { parts }, confirmMs)) as CopyAnswer[];
    asked.forEach((led, place) => {
      const known = heard[place]!;
      const key = placement.key(voter);
      // A copy that dropped the lot, or never promised this ballot, holds nothing under it, whatever it held before.
      const empty = known.held === 0 || lotReplica.compare(known.promised, led.ballot) !== 0;
      if (answered(led, voter, known, start) && empty && (led.match.get(key) ?? -1) > 0) led.match.set(key, -1);
    });
  };
  return {
    schedule,
    confirm: (led) => {
      const start = now();
      if (!led.open) return Promise.resolve(false);
      const others = copies.of(led.lot).filter((each) => placement.key(each) !== own);
      if (others.length === 0) return Promise.resolve(true);
      return new Promise((resolve) => {
        let left = others.length;
        for (const voter of others)
          ask(voter, [led])
            .catch(() => undefined)
            .finally(() => {
              left -= 1;
              if (led.open && led.confirmedAt >= start) resolve(true);
              else if (left === 0 || !led.open) resolve(false);
            });
      });
    },
    confirmAll: async () => {
      const byVoter = new Map<string, { readonly voter: Voter; readonly asked: Led[] }>();
      for (const led of leds()) {
        if (led.state.ended || !led.state.body) continue;
        for (const voter of copies.of(led.lot)) {
          const key = placement.key(voter);
          if (key === own) continue;
          const entry = byVoter.get(key) ?? { voter, asked: [] };
          entry.asked.push(led);
          byVoter.set(key, entry);
        }
      }
      await Promise.all([...byVoter.values()].map(({ voter, asked }) => ask(voter, asked).catch(() => undefined)));
    },
  };
};
