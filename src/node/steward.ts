import { Effect } from 'effect';
import type { Change } from '../shared/configuration.js';
import { Fault } from '../shared/fault.js';
import { table } from '../shared/table.js';
import { moves } from '../shared/moves.js';
import type { MoveNews } from './news.js';
import type { NodeContext } from './nodeContext.js';

const goneMs = 10_000;
const moveNewsMs = 3000;

/** The calendar's duty: makes due moves, and takes empty machines in under the names of those that are gone. */
export const makeSteward = (context: NodeContext, token: number, held: () => boolean): Effect.Effect<void, Fault> => {
  const { register, news, time, log } = context;
  const lastSeen = table<ReadonlyMap<string, number>>(new Map());
  const bounced = table<ReadonlyMap<string, string>>(new Map());
  const said = table<ReadonlyMap<string, string>>(new Map());
  const telling = table(0);
  const submit = (document: Change, step: string): Effect.Effect<string | undefined> =>
    Effect.gen(function* () {
      if (!held()) return 'the duty is no longer held';
      const outcome = yield* register.change(Buffer.from(JSON.stringify(document)));
      const reason =
        outcome.state === 'bounced'
          ? outcome.reasons.map((each) => `${each.path}: ${each.message}`).join('; ')
          : outcome.state === 'accepted'
            ? undefined
            : outcome.message;
      log.event(step, { change: document.id, outcome: outcome.state, reason });
      return reason;
    });

  return Effect.gen(function* () {
    const known = yield* register.latest;
    const { configuration, sequence } = known;
    for (const [name, move] of Object.entries(configuration.moves)) {
      const facts = {
        now: time.wall(),
        samplers: news.announced(),
        stores: news.nodes().flatMap((node) => (node.roles.includes('store') && node.disk !== '' ? [node.name] : [])),
      };
      const next = moves.next(name, move, configuration, facts);
      const lastBounce = bounced.get().get(name);
      const reason = next.kind === 'wait' ? next.reason : next.kind === 'step' ? lastBounce : undefined;
      if (reason !== undefined && held()) {
        const body: MoveNews = { name, reason, release: (next.kind === 'wait' && next.release) || {} };
        news.tell({
          source: `move/${name}`,
          incarnation: token,
          sequence: telling.swap((number) => number + 1),
          kind: 'move',
          body,
          left: moveNewsMs,
        });
        if (said.get().get(name) !== reason) log.event('move_waits', { move: name, reason });
        said.swap((before) => new Map(before).set(name, reason));
      }
      if (next.kind !== 'step') continue;
      const why = yield* submit({ ...next.change, expected: sequence }, 'move_step');
      bounced.swap((before) => {
        const after = new Map([...before].filter(([other]) => other !== name));
        return why === undefined ? after : after.set(name, why);
      });
      if (why === undefined) return;
    }
    const nodes = news.nodes();
    const now = time.held();
    const members = [...configuration.voters, ...configuration.stores.current].map(
      (member) => `${member.name} ${member.disk}`,
    );
    lastSeen.swap(
      (before) =>
        new Map(
          members.map((member) => {
            const present = nodes.some((node) => `${node.name} ${node.disk}` === member);
            return [member, present ? now : (before.get(member) ?? now)];
          }),
        ),
    );
    const gone = (member: { name: string; disk: string }): boolean =>
      now - (lastSeen.get().get(`${member.name} ${member.disk}`) ?? now) > goneMs;
    const successor = (member: { name: string; disk: string }, role: string) =>
      nodes.find(
        (node) =>
          node.name === member.name && node.disk !== '' && node.disk !== member.disk && node.roles.includes(role),
      );

    const lostStore = configuration.stores.current.find((store) => gone(store) && successor(store, 'store'));
    if (lostStore && configuration.stores.previous.length === 0) {
      const disk = successor(lostStore, 'store')!.disk;
      yield* submit(
        {
          id: `replace-store/${lostStore.name}/${disk}`,
          expected: sequence,
          stores: configuration.stores.current.map((store) => store.name),
        },
        'store_replaced',
      );
      return;
    }
    const lostVoter = configuration.voters.find((voter) => gone(voter) && successor(voter, 'core'));
    if (lostVoter && configuration.voters.length > 1) {
      yield* submit(
        {
          id: `retire-core/${lostVoter.name}/${lostVoter.disk}`,
          expected: sequence,
          voters: { remove: lostVoter.name, lost: true },
        },
        'core_retired',
      );
      return;
    }
    const mayRejoin = (name: string, disk: string): boolean => {
      const lostDisk = configuration.lostVoters?.[name];
      return lostDisk !== undefined && lostDisk !== disk;
    };
    const missing = nodes.find(
      (node) =>
        node.roles.includes('core') &&
        node.disk !== '' &&
        !configuration.voters.some((voter) => voter.name === node.name) &&
        configuration.voters.length < context.settings.foundingCores &&
        mayRejoin(node.name, node.disk),
    );
    if (missing)
      yield* submit(
        { id: `join-core/${missing.name}/${missing.disk}`, expected: sequence, voters: { add: missing.name } },
        'core_joined',
      );
  });
};
