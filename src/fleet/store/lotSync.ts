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

/** Whether a copy is not known to hold every entry. */
const lacks = (led: Led, key: string): boolean => led.progress.lastHeld(key) < led.values.length;

/** The entries that a copy lacks, as one part. */
const partFor = (led: Led, from: number): SizedPart => {
  const entries: Array<AppendPart['entries'][number]> = [];
  let bytes = 0;
  for (let i = from; i < led.values.length && bytes < partBytes; i += 1) {
    const v = led.values[i]!;
    bytes += entrySize(v);
    entries.push({ i, v });
  }
  return {
    lot: led.lot,
    ballot: led.ballot,
    stamp: from,
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
    const holds = (each: Voter): boolean => led.progress.held(placement.key(each)) > led.chosen;
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

  /** Notes what a copy still holds; one that dropped the lot or never promised this ballot holds nothing under it. */
  const noteHeld = (led: Led, key: string, { promised, held = 0 }: CopyAnswer, epoch: number): void => {
    const last = led.progress.lastHeld(key);
    if (last < 0) return;
    if (lotReplica.compare(promised, led.ballot) !== 0 || held < last) return led.progress.forget(key);
    led.progress.note(key, last, epoch);
    advance(led);
  };
  const ask = async (voter: Voter, asked: ReadonlyArray<Led>): Promise<void> => {
    const start = now();
    const key = placement.key(voter);
    const { epoch } = options.view();
    const parts = asked.map(({ lot, ballot }) => ({ lot, ballot }));
    const before = asked.map((led) => led.progress.lastHeld(key));
    const heard = (await copies.call(voter, 'lot.confirm', { parts }, confirmMs)) as CopyAnswer[];
    asked.forEach((led, place) => {
      if (!answered(led, voter, heard[place]!, start)) return;
      if (led.progress.lastHeld(key) === before[place]) noteHeld(led, key, heard[place]!, epoch);
    });
  };
  /** Asks a copy again what it holds of batches for which it said so under an earlier epoch only. */
  const askOutdated = async (voter: Voter): Promise<void> => {
    const key = placement.key(voter);
    // What has to be sent anyway is confirmed by its acknowledgement.
    const outdated = [...leds()].filter(
      (led) => led.progress.outdated(key) && !lacks(led, key) && targets.of(led).has(key),
    );
    if (outdated.length > 0) await ask(voter, outdated);
  };
  const batchFor = async (voter: Voter): Promise<ReadonlyArray<{ led: Led; part: SizedPart }>> => {
    const key = placement.key(voter);
    const batch: Array<{ led: Led; part: SizedPart }> = [];
    let bytes = 0;
    for (const led of [...leds()]) {
      if (!lacks(led, key) || bytes > partBytes) continue;
      if (!targets.of(led).has(key)) continue;
      if (led.progress.lastHeld(key) < 0) {
        const askedAt = now();
        const { epoch } = options.view();
        const info = (await copies.call(voter, 'lot.prepare', { lot: led.lot, ballot: led.ballot })) as Prepared;
        if (!answered(led, voter, info, askedAt)) continue;
        led.progress.note(key, lotTakeover.sameLength(led, info.ballots), epoch);
      }
      const part = partFor(led, led.progress.lastHeld(key));
      bytes += part.bytes;
      batch.push({ led, part });
    }
    return batch;
  };
  const pump = async (voter: Voter): Promise<void> => {
    const key = placement.key(voter);
    for (;;) {
      await askOutdated(voter);
      const batch = await batchFor(voter);
      if (batch.length === 0) return;
      const askedAt = now();
      const { epoch } = options.view();
      const parts = batch.map(({ part }) => part);
      const heard = (await copies.call(voter, 'lot.append', { parts }, 2500)) as CopyAnswer[];
      targets.acknowledged(
        batch.reduce((sum, { part }) => sum + part.bytes, 0),
        now() - askedAt,
      );
      let gaps = 0;
      batch.forEach(({ led, part }, place) => {
        if (answered(led, voter, heard[place]!, askedAt)) {
          led.progress.note(key, part.stamp + part.entries.length, epoch);
          advance(led);
        } else {
          led.progress.forget(key);
          gaps += 1;
        }
      });
      if (gaps === batch.length) return;
    }
  };
  const pumpOwn = async (): Promise<void> => {
    for (;;) {
      const here = (led: Led): boolean => copies.of(led.lot).some((each) => placement.key(each) === own);
      const behind = [...leds()].filter((led) => lacks(led, own) && here(led));
      if (behind.length === 0) return;
      await Promise.all(
        behind.map(async (led) => {
          const part = partFor(led, Math.max(0, led.progress.lastHeld(own)));
          if (!(await replica.append(part))) return stepDown(led, 'a later leader was promised here');
          led.progress.note(own, part.stamp + part.entries.length, options.view().epoch);
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
        if (keys.has(key) && (lacks(led, key) || led.progress.outdated(key))) behind.set(key, voter);
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
