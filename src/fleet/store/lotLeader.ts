import type { Voter } from '../../core/paxos.js';
import { Fault } from '../../shared/fault.js';
import type { LeaderBallot, LotValue } from '../fleetTypes.js';
import {
  makeLotCopies,
  type CopyAnswer,
  type Led,
  type LeaderOptions,
  type LotCopies,
  type Prepared,
} from './lotCopies.js';
import { lotReplica, type AppendPart } from './lotReplica.js';
import { makeLotSync, type LotSync } from './lotSync.js';
import { makeSettlementLog } from './settlementLog.js';
import { lotTakeover } from './lotTakeover.js';
import { placement } from '../../policy/placement.js';

/** Why a lot isn't led here: another store does, or there is no such lot. */
export type NotLed = { readonly moved: string } | { readonly unknown: true };

/** The leading of lots: who may add to a lot's log, and what stands on a majority. */
export type LotLeader = Pick<LotSync, 'confirm' | 'confirmAll'> & {
  readonly led: () => Iterable<Led>;
  readonly get: (lot: string) => Led | undefined;
  /** Leads a lot, taking it over with `force` where another store would be asked first. */
  readonly lead: (lot: string, how: { readonly force: boolean; readonly make: boolean }) => Promise<Led | NotLed>;
  /** Adds a value and answers once a majority of every set holds it. */
  readonly propose: (led: Led, value: LotValue) => Promise<void>;
  readonly stepDown: (led: Led, reason: string) => void;
  /** Sends what copies lack, takes lots that nobody leads toward the present view, and drops those that moved away. */
  readonly tick: () => void;
  /** Lots here that are not known to stand where the present view wants them, with what is known of each. */
  readonly unsettled: () => ReadonlyArray<string>;
  /** Whether a majority of the other copies says that a lot has ended or that it holds nothing of it. */
  readonly endedElsewhere: (lot: string) => Promise<boolean>;
  readonly handle: (name: string, body: unknown) => Promise<unknown> | undefined;
};

const orphanMs = 700;

/** Makes the leading of lots for one store. */
export const makeLotLeader = (options: LeaderOptions): LotLeader => {
  const { self, replica, view, now } = options;
  const ledLots = new Map<string, Led>();
  const taking = new Map<string, Promise<Led | NotLed>>();
  const copies: LotCopies = makeLotCopies(options);
  const orphans = new Map<string, number>();
  const settlements = makeSettlementLog(options);

  const stepDown = (led: Led, reason: string): void => {
    if (ledLots.get(led.lot) !== led) return;
    ledLots.delete(led.lot);
    led.open = false;
    options.event('lot_leader_ended', { lot: led.lot, reason });
    const fault = new Fault({ step: 'lead lot', reason: `${led.lot}: ${reason}`, unknown: true });
    const { waiting } = led;
    led.waiting = [];
    for (const each of waiting) each.failed(fault);
    options.deposed(led);
  };
  const sync = makeLotSync(options, copies, () => ledLots.values(), stepDown);

  const take = async (lot: string, make: boolean): Promise<Led | NotLed> => {
    const led = await lotTakeover.take(options, copies, lot, make);
    if ('unknown' in led) return led;
    ledLots.set(lot, led);
    options.event('lot_led', { lot, round: led.ballot.round, entries: led.values.length });
    sync.schedule();
    if (led.values.length > 0)
      await new Promise<void>((done, failed) => {
        led.waiting = [...led.waiting, { index: led.values.length - 1, done, failed }];
      });
    return led;
  };
  const lead: LotLeader['lead'] = async (lot, { force, make }) => {
    const led = ledLots.get(lot);
    const under = taking.get(lot);
    if (under) {
      const taken = await under;
      // Whoever only asked found no such lot; whoever hands it in makes it.
      return 'unknown' in taken && make ? lead(lot, { force, make }) : taken;
    }
    if (led) return led;
    const candidates = copies.of(lot).map((each) => each.name);
    if (!candidates.includes(self.name)) {
      const other = candidates.find(copies.alive);
      if (other) return { moved: other };
      throw new Fault({ step: 'lead lot', reason: `no store of ${lot} is there` });
    }
    const promised = replica.logs.get(lot)?.promised.by.split('#')[0];
    const known = promised !== undefined && candidates.includes(promised) && copies.alive(promised);
    const first = known ? promised : candidates.find(copies.alive);
    if ((!force || options.leaving()) && first !== undefined && first !== self.name) return { moved: first };
    const work = take(lot, make).finally(() => taking.delete(lot));
    taking.set(lot, work);
    return work;
  };

  const settle = (led: Led, epoch: number): void => {
    if (led.settledAt >= epoch || led.chosen < led.values.length || led.values.length === 0) return;
    const quorums = copies.sets(led.lot);
    const whole = (each: Voter): boolean => led.progress.held(placement.key(each)) >= led.values.length;
    // Of a lot that has ended a majority is enough; one that is open goes to every copy that can be reached.
    if (!led.state.ended && quorums[0]!.some((each) => copies.address(each) !== undefined && !whole(each))) return;
    if (!placement.quorum(quorums, whole)) return;
    led.settledAt = epoch;
    settlements.note(led.lot, epoch, copies.of(led.lot).filter(whole));
    for (const voter of copies.of(led.lot))
      void (
        placement.key(voter) === copies.own
          ? replica.settle(led.lot, epoch)
          : copies.call(voter, 'lot.settled', { lot: led.lot })
      ).catch(() => (led.settledAt = 0));
  };
  const tick = (): void => {
    const { epoch, current, previous } = view();
    if (epoch === 0) return;
    sync.schedule();
    for (const led of ledLots.values()) settle(led, epoch);
    settlements.report();
    const moving = previous.length > 0;
    for (const [lot, log] of replica.logs) {
      if (log.entries.length === 0) continue;
      const here = copies.of(lot).some((each) => placement.key(each) === copies.own);
      // Once the register says that a view is settled, every lot stands where that view has it.
      if (!here && !moving && current.length > 0 && log.settled <= epoch) {
        const led = ledLots.get(lot);
        if (led) stepDown(led, 'the lot moved to other stores');
        options.event('batch_dropped', { lot, reason: 'moved', epoch, entries: log.entries.length });
        replica.drop(lot);
        continue;
      }
      if (!here || ledLots.has(lot) || log.settled >= epoch || !moving) {
        orphans.delete(lot);
        continue;
      }
      const since = orphans.get(lot) ?? now();
      orphans.set(lot, since);
      const rank = copies
        .of(lot)
        .filter((each) => copies.alive(each.name))
        .findIndex((each) => each.name === self.name);
      if (now() - since < orphanMs * (1 + Math.max(0, rank))) continue;
      orphans.delete(lot);
      void lead(lot, { force: true, make: false }).catch(() => undefined);
    }
  };

  const promisedOf = (lot: string): LeaderBallot => replica.logs.get(lot)?.promised ?? lotReplica.none;
  const yieldTo = (lot: string, ballot: LeaderBallot): void => {
    const led = ledLots.get(lot);
    if (led && lotReplica.compare(ballot, led.ballot) > 0) stepDown(led, `${ballot.by} leads`);
  };
  const handlers = {
    'lot.prepare': async ({ lot, ballot }: { lot: string; ballot: LeaderBallot }): Promise<Prepared> => {
      yieldTo(lot, ballot);
      const ok = await replica.prepare(lot, ballot);
      const ballots = (replica.logs.get(lot)?.entries ?? []).map((entry) => entry.ballot);
      return { ok, promised: promisedOf(lot), ballots };
    },
    'lot.fetch': ({ lot, indexes }: { lot: string; indexes: ReadonlyArray<number> }) =>
      Promise.resolve(indexes.map((index) => replica.logs.get(lot)!.entries[index]!.value)),
    'lot.append': ({ parts }: { parts: ReadonlyArray<AppendPart> }): Promise<CopyAnswer[]> =>
      Promise.all(
        parts.map(async (part) => {
          yieldTo(part.lot, part.ballot);
          const ok = await replica.append(part).catch(() => false);
          return { ok, promised: promisedOf(part.lot) };
        }),
      ),
    'lot.confirm': ({
      parts,
    }: {
      parts: ReadonlyArray<{ lot: string; ballot: LeaderBallot }>;
    }): Promise<CopyAnswer[]> =>
      Promise.resolve(
        parts.map(({ lot, ballot }) => {
          const promised = promisedOf(lot);
          const entries = replica.logs.get(lot)?.entries ?? [];
          const ended = lotReplica.hasEnded(entries);
          return { ok: lotReplica.compare(promised, ballot) <= 0, promised, held: entries.length, ended };
        }),
      ),
    'lot.settled': async ({ lot, epoch }: { lot: string; epoch: number }) => replica.settle(lot, epoch),
  };

  return {
    confirm: sync.confirm,
    confirmAll: sync.confirmAll,
    led: () => ledLots.values(),
    get: (lot) => ledLots.get(lot),
    lead,
    propose: (led, value) =>
      new Promise((done, failed) => {
        if (ledLots.get(led.lot) !== led)
          return failed(new Fault({ step: 'lead lot', reason: `${led.lot} is led elsewhere`, unknown: false }));
        if (led.chosen === led.values.length) led.waitingSince = now();
        led.values.push(value);
        led.waiting = [...led.waiting, { index: led.values.length - 1, done, failed }];
        sync.schedule();
      }),
    stepDown,
    tick,
    unsettled: () => {
      const { epoch } = view();
      const lots: string[] = [];
      for (const [lot, log] of replica.logs) {
        if (log.entries.length === 0 || log.settled >= epoch) continue;
        if (!copies.of(lot).some((each) => placement.key(each) === copies.own)) continue;
        const led = ledLots.get(lot);
        const matches = led
          ? [...led.progress.all()].map(([key, entries]) => `${placement.nameOf(key)}:${entries}`).join(',')
          : '';
        lots.push(
          [lot, log.promised.by.split('#')[0], led ? `${led.values.length}/${led.chosen}/${matches}` : 'not led'].join(
            '/',
          ),
        );
      }
      return lots;
    },
    endedElsewhere: async (lot) => {
      const over = new Set<string>();
      const parts = [{ lot, ballot: lotReplica.none }];
      await Promise.all(
        copies.of(lot).map(async (copy) => {
          if (placement.key(copy) === copies.own) return;
          try {
            const [answer] = (await copies.call(copy, 'lot.confirm', { parts })) as CopyAnswer[];
            if (answer!.ended === true || answer!.held === 0) over.add(placement.key(copy));
          } catch {
            // A copy that can't be asked counts as holding the lot.
          }
        }),
      );
      return placement.quorum(copies.sets(lot), (copy) => over.has(placement.key(copy)));
    },
    handle: (name, body) => {
      const handler = (handlers as Record<string, (body: never) => Promise<unknown>>)[name];
      if (!handler) return undefined;
      const { disk, epoch } = body as { disk: string; epoch: number };
      if (disk !== self.disk) return Promise.reject(new Fault({ step: name, reason: 'meant for another disk' }));
      // A store that is behind learns the epoch in a moment; until then it could take away what it was just told.
      if (epoch !== view().epoch)
        return Promise.reject(new Fault({ step: name, reason: `of epoch ${epoch}, not ${view().epoch}` }));
      return handler(body as never);
    },
  };
};
