import type { Advert, Grant, LotBody, LotItem, Partial } from '../fleetTypes.js';

type Seat = {
  readonly item: LotItem;
  state: 'waiting' | 'out' | 'listed';
  front: string;
  sampler: string;
  partial: Partial | undefined;
  pausedAt: number;
  outAt: number;
  faults: number;
  /** The sampler that failed it last gets it again only where no other takes it for a while. */
  failedBy: string;
};
type Group = {
  readonly id: string;
  readonly seats: ReadonlyArray<Seat>;
  holder: string;
  listed: number;
  out: number;
  paused: number;
};

/** Which items of one lot wait, run or are done, at the lot's leader. */
export type LotBoard = {
  readonly pull: (ask: {
    readonly front: string;
    readonly sampler: string;
    readonly version: number;
    readonly most: number;
    readonly spare: boolean;
  }) => ReadonlyArray<Grant>;
  readonly listed: (id: string) => void;
  /** Takes an item back, with what there is of its text. */
  readonly back: (id: string, front: string, partial: Partial | undefined, fault: boolean) => number;
  /** Notes that a front runs an item, as it says after a leader changed. */
  readonly claim: (id: string, front: string, sampler: string) => void;
  /** Takes back all that a front holds, or what it was handed long enough ago and does not say it holds. */
  readonly release: (front: string, holds?: ReadonlySet<string>) => number;
  readonly counts: () => Pick<Advert, 'needed' | 'spare'>;
  readonly waiting: () => number;
};

const heldMs = 400;
/** Weights of the design: finished fraction, running, context for each 1,000 tokens. */
const nearShare = 0.75;
const weights = { finished: 100, running: 10, perThousand: 1 };

const priorityOf = (group: Group): number =>
  (weights.finished * group.listed) / group.seats.length +
  (group.out > 0 ? weights.running : 0) +
  (weights.perThousand * Math.max(0, ...group.seats.map((seat) => seat.item.tokens))) / 1000;

/** Makes the board of a lot; `done` names the items listed already. */
export const makeLotBoard = (options: {
  readonly lot: string;
  readonly body: LotBody;
  readonly done: ReadonlySet<string>;
  readonly now: () => number;
}): LotBoard => {
  const { lot, body, now } = options;
  const byGroup = new Map<string, Seat[]>();
  const seats = new Map<string, Seat>();
  for (const item of body.items) {
    const seat: Seat = {
      item,
      state: options.done.has(item.id) ? 'listed' : 'waiting',
      front: '',
      sampler: '',
      partial: undefined,
      pausedAt: 0,
      outAt: 0,
      faults: 0,
      failedBy: '',
    };
    seats.set(item.id, seat);
    const group = byGroup.get(item.group);
    if (group) group.push(seat);
    else byGroup.set(item.group, [seat]);
  }
  const groups: ReadonlyArray<Group> = [...byGroup].map(([id, all]) => ({
    id,
    seats: all,
    holder: '',
    listed: all.filter((seat) => seat.state === 'listed').length,
    out: 0,
    paused: 0,
  }));
  const groupOf = new Map(groups.flatMap((group) => group.seats.map((seat) => [seat.item.id, group] as const)));
  const started = (group: Group): boolean => group.listed + group.out + group.paused > 0;
  const left = (group: Group): number => group.seats.length - group.listed - group.out;
  /** How many more groups the trainer waits for beyond those begun. */
  const missing = (): number => body.wanted - groups.filter(started).length;

  const fits = (seat: Seat, sampler: string, version: number): boolean => {
    const { partial } = seat;
    if (seat.failedBy === sampler && now() - seat.pausedAt < heldMs) return false;
    if (!partial) return true;
    if (body.single && partial.version !== version) return now() - seat.pausedAt > heldMs;
    return seat.sampler === sampler || now() - seat.pausedAt > heldMs;
  };
  const grant = (group: Group, seat: Seat, front: string, sampler: string, version: number): Grant => {
    if (seat.partial && body.single && seat.partial.version !== version) seat.partial = undefined;
    if (seat.partial || seat.pausedAt > 0) group.paused = Math.max(0, group.paused - 1);
    const { partial } = seat;
    seat.state = 'out';
    seat.front = front;
    seat.sampler = sampler;
    seat.partial = undefined;
    seat.pausedAt = 0;
    seat.outAt = now();
    group.out += 1;
    group.holder = sampler;
    return {
      lot,
      host: body.host,
      ...(body.tenant !== undefined && { tenant: body.tenant }),
      item: seat.item,
      single: body.single,
      minVersion: body.minVersion,
      priority: priorityOf(group),
      near: group.listed >= nearShare * group.seats.length,
      ...(partial && { partial }),
    };
  };
  const freed = (seat: Seat, partial: Partial | undefined): void => {
    const group = groupOf.get(seat.item.id)!;
    group.out -= 1;
    seat.state = 'waiting';
    seat.front = '';
    seat.failedBy = '';
    seat.partial = partial && partial.events.length > 0 ? partial : undefined;
    seat.pausedAt = now();
    group.paused += 1;
  };

  return {
    pull: ({ front, sampler, version, most, spare }) => {
      const granted: Grant[] = [];
      const take = (group: Group, wanted: (seat: Seat) => boolean): void => {
        for (const seat of group.seats) {
          if (granted.length >= most) return;
          if (seat.state === 'waiting' && wanted(seat) && fits(seat, sampler, version))
            granted.push(grant(group, seat, front, sampler, version));
        }
      };
      if (version < body.minVersion) return granted;
      const begun = groups.filter((group) => started(group) && left(group) > 0);
      begun.sort((one, other) => priorityOf(other) - priorityOf(one));
      for (const group of begun) if (group.paused > 0) take(group, (seat) => seat.pausedAt > 0);
      for (const group of begun) if (group.holder === sampler || group.holder === '') take(group, () => true);
      for (const group of groups) {
        if (granted.length >= most || missing() <= 0) break;
        if (!started(group)) take(group, () => true);
      }
      if (granted.length < most) for (const group of begun) take(group, () => true);
      if (spare)
        for (const group of groups) {
          if (granted.length >= most) break;
          if (!started(group)) take(group, () => true);
        }
      return granted;
    },
    listed: (id) => {
      const seat = seats.get(id);
      if (!seat || seat.state === 'listed') return;
      const group = groupOf.get(id)!;
      if (seat.state === 'out') group.out -= 1;
      else if (seat.pausedAt > 0) group.paused = Math.max(0, group.paused - 1);
      seat.state = 'listed';
      seat.partial = undefined;
      group.listed += 1;
    },
    back: (id, front, partial, fault) => {
      const seat = seats.get(id);
      if (!seat) return 0;
      if (seat.state !== 'out' || seat.front !== front) return seat.faults;
      if (fault) seat.faults += 1;
      freed(seat, partial);
      seat.failedBy = fault ? seat.sampler : '';
      return seat.faults;
    },
    claim: (id, front, sampler) => {
      const seat = seats.get(id);
      if (!seat || seat.state !== 'waiting') return;
      const group = groupOf.get(id)!;
      if (seat.pausedAt > 0) group.paused = Math.max(0, group.paused - 1);
      seat.state = 'out';
      seat.front = front;
      seat.sampler = sampler;
      seat.pausedAt = 0;
      seat.outAt = now();
      group.out += 1;
      group.holder ||= sampler;
    },
    release: (front, holds) => {
      let count = 0;
      for (const seat of seats.values())
        if (
          seat.state === 'out' &&
          seat.front === front &&
          !(holds && (holds.has(seat.item.id) || now() - seat.outAt < 2500))
        ) {
          freed(seat, undefined);
          groupOf.get(seat.item.id)!.holder = '';
          count += 1;
        }
      return count;
    },
    counts: () => {
      let [needed, spare, fresh] = [0, 0, missing()];
      for (const group of groups) {
        if (started(group)) needed += left(group);
        else if (fresh > 0) {
          needed += left(group);
          fresh -= 1;
        } else spare += left(group);
      }
      return { needed, spare };
    },
    waiting: () => [...seats.values()].filter((seat) => seat.state === 'waiting').length,
  };
};
