import { Effect } from 'effect';
import type { Voter } from '../core/voter.js';
import type { Answer, Ask } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import type { NodeContext } from './nodeContext.js';
import type { Presence } from './news.js';
import type { OpenedDisk } from './openDisk.js';

/** What upkeep needs of a node. */
export type UpkeepContext = Pick<NodeContext, 'register' | 'links' | 'time'> & {
  readonly news: { readonly nodes: () => ReadonlyArray<Presence> };
  readonly settings: { readonly name: string; readonly foundingCores: number };
};

const askMs = 1000;
/** How long one pass may fill gaps before newer values are looked at again. */
const gapsMs = 1000;

/** What keeps a node abreast of the register: founding it, following it, and filling a core's gaps. */
export const makeUpkeep = (options: {
  readonly context: UpkeepContext;
  readonly voter: Voter | undefined;
  readonly disk: OpenedDisk | undefined;
  readonly handle: (ask: Ask) => Effect.Effect<Answer>;
}) => {
  const { voter, disk, handle } = options;
  const { register, news, links, time, settings } = options.context;
  const founding = Effect.gen(function* () {
    if (!voter || !voter.fresh() || register.known()) return;
    const founders = news
      .nodes()
      .filter((node) => node.roles.includes('core') && node.coreFresh && node.sequence === 0 && node.disk !== '');
    if (founders.length !== settings.foundingCores || news.nodes().some((node) => node.sequence > 0)) return;
    const names = founders.map((node) => node.name).sort();
    if (names[0] !== settings.name && time.chance() < 0.9) return;
    yield* Effect.ignore(
      register.found(names.map((name) => ({ name, disk: founders.find((node) => node.name === name)!.disk }))),
    );
  });
  const follow = Effect.gen(function* () {
    const sequence = register.known()?.sequence ?? 0;
    const ahead = news
      .nodes()
      .filter((node) => node.sequence > sequence)
      .sort((left, right) => right.sequence - left.sequence)[0];
    if (!ahead) return;
    const answer = yield* links.ask(
      ahead.peer,
      answers.ask({ case: 'since', value: { sequence: ahead.sequence - 1 } }),
      askMs,
    );
    if (answer.kind.case === 'chosen') register.learn(answer.kind.value.value);
  });
  /** Writes a decided value into this core's vote. */
  const takeIn = (sequence: number, value: Uint8Array): Effect.Effect<Answer> =>
    handle(
      answers.ask({
        case: 'learn',
        value: { role: 'core', disk: disk!.id, key: `config/${sequence}`, ballot: { round: 1, proposer: '' }, value },
      }),
    );
  /** The other cores, from a random one on: one that is silent is not asked first each time. */
  const otherCores = (): ReadonlyArray<Presence> => {
    const cores = news.nodes().filter((each) => each.roles.includes('core') && each.name !== settings.name);
    const first = Math.floor(time.chance() * cores.length);
    return [...cores.slice(first), ...cores.slice(0, first)];
  };
  const fillGap = (sequence: number) =>
    Effect.gen(function* () {
      for (const core of otherCores()) {
        const request = answers.ask({ case: 'since', value: { sequence: sequence - 1 } });
        const told = yield* Effect.either(links.ask(core.peer, request, askMs));
        if (told._tag === 'Left' || told.right.kind.case !== 'chosen') continue;
        const { sequence: found, value } = told.right.kind.value;
        if (found === sequence) return void (yield* takeIn(sequence, value));
      }
    });
  /** The newest value first: a core votes on what follows it, with gaps before it or without. */
  const backfill = Effect.gen(function* () {
    if (!voter) return;
    const known = register.known();
    if (known && known.sequence > voter.sequence()) yield* takeIn(known.sequence, known.value);
    const gaps = Effect.forEach(voter.missing(), fillGap, { discard: true });
    yield* Effect.ignore(Effect.timeout(gaps, gapsMs));
  });

  return { founding, follow, backfill };
};
