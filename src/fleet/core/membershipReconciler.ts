import { Effect } from 'effect';
import type { Voter } from '../../core/paxos.js';
import type { Register } from '../../core/register.js';
import type { Channels } from '../../edge/channels.js';
import type { Change } from '../../shared/configuration.js';
import type { Member } from '../fleetTypes.js';
import { placement } from '../../policy/placement.js';

/** Keeps the voters and the store view in step with the machines that are there. */
export type MembershipReconciler = { readonly tick: () => Promise<void> };

const settleMs = 1000;
const goneMs = 3000;
const voterGoneMs = 2000;
const sayMs = 1000;

/** What a store says when asked how far a change of the view came. */
type Unsettled = { readonly epoch: number; readonly count: number; readonly some: ReadonlyArray<string> };

/** The stores that the next view should have, or undefined when the present one fits. */
const nextStores = (options: {
  readonly current: ReadonlyArray<Voter>;
  readonly present: ReadonlyArray<Member>;
  readonly emptied: ReadonlyArray<string>;
  readonly copies: number;
  readonly absent: (voter: Voter) => boolean;
}): ReadonlyArray<string> | undefined => {
  const { current, present, emptied, copies, absent } = options;
  const usable = present.filter((member) => !emptied.includes(member.name));
  const fresh = usable.map((member) => member.name).filter((name) => !current.some((each) => each.name === name));
  const kept = current.filter((each) => !emptied.includes(each.name));
  const staying = kept.filter((each) => !absent(each) || usable.some((member) => member.name === each.name));
  const names = [...staying.map((each) => each.name), ...fresh];
  // Those that are gone for long leave only when enough others are left.
  const whole = names.length >= copies ? names : [...kept.map((each) => each.name), ...fresh];
  if (whole.length < copies) return undefined;
  const same =
    whole.length === current.length &&
    whole.every((name) => current.some((each) => each.name === name)) &&
    current.every((each) => !usable.some((member) => member.name === each.name && member.disk !== each.disk));
  return same ? undefined : whole;
};

/** Makes the reconciler of the core that does it. */
const makeMembershipReconciler = (options: {
  readonly register: Register;
  readonly channels: Channels;
  readonly members: () => ReadonlyArray<Member>;
  readonly tolerance: number;
  readonly held: () => boolean;
  readonly now: () => number;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): MembershipReconciler => {
  const { register, now } = options;
  const copies = placement.copies(options.tolerance);
  const lastSeen = new Map<string, number>();
  let saidAt = now();
  let firstStores = { count: 0, since: now() };

  const submit = async (step: string, change: Omit<Change, 'id' | 'expected'>, sequence: number): Promise<void> => {
    if (!options.held()) return;
    const document = {
      id: `membership/${step}/${sequence}/${Math.floor(Math.random() * 1e9)}`,
      expected: sequence,
      ...change,
    };
    const outcome = await Effect.runPromise(register.change(Buffer.from(JSON.stringify(document))));
    const reason = outcome.state === 'bounced' ? `${outcome.reasons[0]?.path}: ${outcome.reasons[0]?.message}` : '';
    options.event('membership_change', { step, sequence, outcome: outcome.state, reason });
  };
  const absentFor = (voter: Voter): number => now() - (lastSeen.get(placement.key(voter)) ?? now());

  const settled = async (view: { epoch: number; current: ReadonlyArray<Voter>; previous: ReadonlyArray<Voter> }) => {
    const members = options.members();
    const all = [...new Map([...view.current, ...view.previous].map((each) => [placement.key(each), each])).values()];
    const done = new Set<string>();
    await Promise.all(
      all.map(async (voter) => {
        const there = members.find((member) => member.name === voter.name && member.disk === voter.disk);
        if (!there) return;
        try {
          const told = (await options.channels.call(there.peer, 'store.unsettled', {}, 800)) as Unsettled;
          if (told.epoch >= view.epoch && told.count === 0) return void done.add(placement.key(voter));
          if (now() - saidAt < sayMs) return;
          saidAt = now();
          options.event('stores_unsettled', {
            store: voter.name,
            epoch: told.epoch,
            count: told.count,
            some: told.some.join(' '),
          });
        } catch {
          // A store that does not answer has not settled.
        }
      }),
    );
    const lacking = (set: ReadonlyArray<Voter>): number => set.filter((each) => !done.has(placement.key(each))).length;
    const present = all.filter((voter) => members.some((m) => m.name === voter.name && m.disk === voter.disk));
    return (
      present.every((each) => done.has(placement.key(each))) &&
      lacking(view.current) <= options.tolerance &&
      lacking(view.previous) <= options.tolerance
    );
  };

  const voters = async (): Promise<boolean> => {
    const known = register.known()!;
    const { configuration, sequence } = known;
    const cores = options.members().filter((member) => member.role === 'core' && member.disk !== '');
    const others = cores.filter(
      (core) => core.state === 'ready' && !configuration.voters.some((each) => each.name === core.name),
    );
    /** Those first whose zones have the fewest voters. */
    const spread = (list: ReadonlyArray<Member>): ReadonlyArray<Member> => {
      const inZone = ({ zone }: Member): number =>
        cores.filter((core) => core.zone === zone && configuration.voters.some((each) => each.name === core.name))
          .length;
      return [...list].sort((one, other) => inZone(one) - inZone(other));
    };
    for (const voter of configuration.voters) {
      const same = cores.find((core) => core.name === voter.name);
      if (same && same.disk === voter.disk) continue;
      if (absentFor(voter) < voterGoneMs && !same) continue;
      const successor = same ?? spread(others)[0];
      if (!successor) continue;
      await submit('replace_voter', { voters: { remove: voter.name, add: successor.name } }, sequence);
      return true;
    }
    if (configuration.voters.length >= copies || others.length === 0) return false;
    await submit('add_voter', { voters: { add: spread(others)[0]!.name } }, sequence);
    return true;
  };

  const stores = async (): Promise<void> => {
    const { configuration, sequence } = register.known()!;
    const view = configuration.stores;
    const present = options
      .members()
      .filter((member) => member.role === 'store' && member.disk !== '' && member.state === 'ready');
    if (view.previous.length > 0) {
      if (await settled(view)) await submit('stores_settled', { settledEpoch: view.epoch }, sequence);
      return;
    }
    if (view.current.length === 0) {
      if (present.length !== firstStores.count) firstStores = { count: present.length, since: now() };
      if (present.length < copies || now() - firstStores.since < settleMs) return;
    }
    const names = nextStores({
      current: view.current,
      present,
      emptied: configuration.emptied ?? [],
      copies,
      absent: (voter) => absentFor(voter) > goneMs,
    });
    if (names) await submit('stores', { stores: names }, sequence);
  };

  return {
    tick: async () => {
      const known = register.known();
      if (!known || !options.held()) return;
      const { voters: all, stores: view } = known.configuration;
      const members = options.members();
      for (const each of [...all, ...view.current, ...view.previous]) {
        const key = placement.key(each);
        const there = members.some((member) => member.name === each.name && member.disk === each.disk);
        if (there || !lastSeen.has(key)) lastSeen.set(key, now());
      }
      if (await voters()) return;
      await stores();
    },
  };
};

/** The keeping of voters and stores. */
export const membershipReconciler = { make: makeMembershipReconciler, nextStores };
