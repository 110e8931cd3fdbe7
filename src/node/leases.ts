import { Effect, type Context } from 'effect';
import { paxos, type Voter } from '../core/paxos.js';
import type { Register } from '../core/register.js';
import { answers } from '../shared/answers.js';
import { Fault } from '../shared/fault.js';
import { gather } from '../shared/gather.js';
import type { Links } from '../shared/links.js';
import type { Log } from '../shared/log.js';
import { table } from '../shared/table.js';
import type { Timepiece } from '../shared/timepiece.js';
import type { Presence } from './news.js';

type Held = { readonly token: number; readonly until: number };

/** The leases that a node holds of the core: its configuration lease and its duties. */
export type Leases = {
  /** True while a core majority vouches for the configuration that this node knows. */
  readonly inForce: () => boolean;
  /** The fencing token of a duty, while it may be done. */
  readonly duty: (name: string) => number | undefined;
  readonly held: () => ReadonlyArray<string>;
  /** The leases that stand, with the time that is left of each. */
  readonly standing: () => ReadonlyArray<{ readonly lease: string; readonly token: number; readonly leftMs: number }>;
  readonly renewConfiguration: Effect.Effect<void>;
  /** Asks for a duty, or renews it; answers whether it is held now. */
  readonly acquire: (name: string, atLeast?: number) => Effect.Effect<boolean>;
  readonly release: (name: string) => Effect.Effect<void>;
};

/** Times of the leases; `margin` is how long before its end a holder stops. */
const times = { dutyMs: 3000, margin: 500 };

/** Makes a node's lease holder. */
export const makeLeases = (options: {
  readonly name: string;
  readonly holder: string;
  readonly peer: string;
  readonly leaseMs: number;
  readonly register: Register;
  readonly links: Context.Tag.Service<typeof Links>;
  readonly time: Context.Tag.Service<typeof Timepiece>;
  readonly log: Context.Tag.Service<typeof Log>;
  readonly nodes: () => ReadonlyArray<Presence>;
}): Leases => {
  const { register, links, time, log } = options;
  const lease = table<{ readonly sequence: number; readonly until: number }>({ sequence: 0, until: 0 });
  const duties = table<ReadonlyMap<string, Held>>(new Map());
  const undecided = table<{ readonly sequence: number; readonly since: number }>({ sequence: 0, since: 0 });

  const asked = <A>(
    voter: Voter,
    ask: (disk: string) => ReturnType<typeof answers.ask>,
    read: (answer: Effect.Effect.Success<ReturnType<typeof links.ask>>) => A | undefined,
  ) =>
    Effect.gen(function* () {
      const node = options.nodes().find((each) => each.name === voter.name && each.disk === voter.disk);
      if (!node) return yield* new Fault({ step: 'lease', cohortMember: voter.name, reason: 'not present' });
      const value = read(yield* links.ask(node.peer, ask(voter.disk), 1000));
      return value ?? (yield* new Fault({ step: 'lease', cohortMember: voter.name, reason: 'odd answer' }));
    });
  const fetch = (voter: Voter, sequence: number): Effect.Effect<void> =>
    asked(
      voter,
      () => answers.ask({ case: 'since', value: { sequence } }),
      (answer) => (answer.kind.case === 'chosen' ? answer.kind.value : undefined),
    ).pipe(
      Effect.map((chosen) => register.learn(chosen.value)),
      Effect.ignore,
    );

  const renewConfiguration = Effect.gen(function* () {
    const known = register.known();
    if (!known) return;
    const start = time.held();
    const electorate = { groups: [known.configuration.voters] };
    const { answers: heard } = yield* gather(
      known.configuration.voters,
      (voter) =>
        asked(
          voter,
          (disk) =>
            answers.ask({
              case: 'lease',
              value: { disk, holder: options.holder, address: options.peer, sequence: known.sequence },
            }),
          (answer) => (answer.kind.case === 'lease' ? answer.kind.value : undefined),
        ),
      (all) =>
        paxos.quorum(
          electorate,
          all.filter(({ answer }) => answer.granted).map(({ member }) => member),
        ),
    );
    if (
      paxos.quorum(
        electorate,
        heard.filter(({ answer }) => answer.granted).map(({ member }) => member),
      )
    ) {
      const before = lease.get();
      lease.swap(() => ({ sequence: known.sequence, until: start + options.leaseMs }));
      if (before.until < start) log.event('lease_won', { sequence: known.sequence });
    }
    const ahead = heard.find(({ answer }) => answer.chosen > known.sequence);
    if (ahead) yield* fetch(ahead.member, known.sequence);
    const highest = Math.max(0, ...heard.map(({ answer }) => answer.highest));
    if (highest <= (register.known()?.sequence ?? 0)) return;
    if (undecided.get().sequence !== highest) undecided.swap(() => ({ sequence: highest, since: start }));
    else if (start - undecided.get().since > 400 + time.chance() * 800) {
      log.event('finishing', { sequence: highest });
      yield* Effect.ignore(register.finish(highest));
    }
  });

  const inForce = (): boolean => time.held() < lease.get().until - 100;

  const ask = (lease: string, token: number, release: boolean) => {
    const known = register.known();
    const voters = known?.configuration.voters ?? [];
    const electorate = { groups: [voters] };
    return Effect.map(
      gather(
        voters,
        (voter) =>
          asked(
            voter,
            (disk) =>
              answers.ask({
                case: 'fencedLease',
                value: { disk, lease, holder: options.holder, token, release, electorate: known?.electorate ?? 0 },
              }),
            (answer) => (answer.kind.case === 'fencedLease' ? answer.kind.value : undefined),
          ),
        (all) =>
          token > 0 &&
          paxos.quorum(
            electorate,
            all.filter(({ answer }) => answer.granted).map(({ member }) => member),
          ),
      ),
      ({ answers: heard }) => ({
        won:
          voters.length > 0 &&
          paxos.quorum(
            electorate,
            heard.filter(({ answer }) => answer.granted).map(({ member }) => member),
          ),
        taken: heard.some(({ answer }) => answer.holder !== '' && answer.holder !== options.holder),
        majority:
          voters.length > 0 &&
          paxos.quorum(
            electorate,
            heard.map(({ member }) => member),
          ),
        highest: Math.max(0, ...heard.map(({ answer }) => answer.token)),
      }),
    );
  };

  const dutyToken = (name: string): number | undefined => {
    const held = duties.get().get(name);
    return held !== undefined && inForce() && time.held() < held.until - times.margin ? held.token : undefined;
  };

  return {
    inForce,
    duty: dutyToken,
    held: () => [...duties.get().keys()].filter((name) => dutyToken(name) !== undefined),
    standing: () => {
      const now = time.held();
      const configuration = lease.get();
      const rows = [
        { lease: 'configuration', token: configuration.sequence, leftMs: configuration.until - now },
        ...[...duties.get()].map(([name, each]) => ({ lease: name, token: each.token, leftMs: each.until - now })),
      ];
      return rows.filter((row) => row.leftMs > 0).map((row) => ({ ...row, leftMs: Math.round(row.leftMs) }));
    },
    renewConfiguration,
    acquire: (name, atLeast = 0) =>
      Effect.gen(function* () {
        if (!inForce()) return false;
        const start = time.held();
        const held = duties.get().get(name);
        const current =
          held !== undefined && start < held.until - times.margin && held.token > atLeast ? held : undefined;
        let token = current?.token;
        if (token === undefined) {
          const looked = yield* ask(name, 0, false);
          if (looked.taken || !looked.majority) return false;
          token = Math.max(looked.highest + 1, atLeast + 1, time.wall());
        }
        const { won } = yield* ask(name, token, false);
        if (won) {
          duties.swap((now) => new Map(now).set(name, { token, until: start + times.dutyMs }));
          if (!current) log.event('duty_won', { duty: name, token });
          return dutyToken(name) !== undefined;
        }
        if (!current) yield* ask(name, token, true);
        return dutyToken(name) !== undefined;
      }),
    release: (name) =>
      Effect.gen(function* () {
        const held = duties.get().get(name);
        if (!held) return;
        duties.swap((now) => new Map([...now].filter(([duty]) => duty !== name)));
        log.event('duty_released', { duty: name, token: held.token });
        yield* ask(name, held.token, true);
      }),
  };
};
