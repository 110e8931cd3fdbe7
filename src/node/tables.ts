import { Effect } from 'effect';
import type { Seater } from '../front/seater.js';
import { answers } from '../shared/answers.js';
import type { NodeContext } from './nodeContext.js';

/** A row of a table that operators query. */
export type Row = Readonly<Record<string, unknown>>;

/** Rows from the whole fleet, and the nodes that did not answer. */
export type Table = { readonly rows: ReadonlyArray<Row>; readonly silent: ReadonlyArray<string> };

const told = new Set(['nodes', 'samplers']);
const askedEach = new Set(['leases', 'duties', 'sequences', 'stores', 'counters', 'lots', 'items', 'seats']);

/** The tables of fleet state: soft state as one node has it, and what each node knows of itself. */
export const makeTables = (context: NodeContext, seaters: () => ReadonlyMap<string, Seater>) => {
  const { news, register, leases, links, settings, log } = context;
  const node = settings.name;
  const ofSeaters = (name: string): Effect.Effect<ReadonlyArray<Row>> =>
    Effect.map(
      Effect.forEach(seaters(), ([, seater]) => Effect.catchAll(seater.handle(name, {}), () => Effect.succeed([]))),
      (found) => (found as ReadonlyArray<ReadonlyArray<Row>>).flat().map((row) => ({ seater: node, ...row })),
    );

  /** This node's own rows. */
  const own = (name: string): Effect.Effect<ReadonlyArray<Row>> =>
    Effect.suspend(() => {
      const facts = context.facts() as { store?: Row; counts: Readonly<Record<string, number>>; sweep?: Row };
      switch (name) {
        case 'leases':
          return Effect.succeed(leases.standing().map((row) => ({ node, ...row })));
        case 'duties':
          return Effect.succeed(
            leases
              .standing()
              .flatMap((row) => (leases.duty(row.lease) === row.token ? [{ node, duty: row.lease, ...row }] : [])),
          );
        case 'sequences':
          return Effect.succeed([
            { node, sequence: register.known()?.sequence ?? 0, inForce: leases.inForce(), state: context.state() },
          ]);
        case 'stores':
          return Effect.succeed(facts.store ? [{ node, ...facts.store }] : []);
        case 'counters':
          return Effect.succeed(Object.entries(facts.counts).map(([counter, value]) => ({ node, counter, value })));
        case 'lots':
        case 'items':
        case 'seats':
          return ofSeaters(name);
        default:
          return Effect.succeed([]);
      }
    });

  const heard = (name: string): Effect.Effect<Table> =>
    Effect.gen(function* () {
      const others = news.nodes().filter((each) => each.name !== node);
      const found = yield* Effect.forEach(
        others,
        (other) =>
          links.ask(other.peer, answers.ask({ case: 'table', value: { name } }), 1500).pipe(
            Effect.map((answer) => ({
              name: other.name,
              rows:
                answer.kind.case === 'table' ? (JSON.parse(answer.kind.value.rows) as ReadonlyArray<Row>) : undefined,
            })),
            Effect.catchAll(() => Effect.succeed({ name: other.name, rows: undefined })),
          ),
        { concurrency: 'unbounded' },
      );
      return {
        rows: [...(yield* own(name)), ...found.flatMap((each) => each.rows ?? [])],
        silent: found.flatMap((each) => (each.rows === undefined ? [each.name] : [])),
      };
    });

  const events = (filter: { readonly about: string; readonly from: number; readonly until: number }) =>
    Effect.map(context.events({ ...filter, most: 2000 }), ({ lines, silent }) => ({
      rows: lines.map(log.fields),
      silent,
    }));

  return {
    own,
    /** A table of the whole fleet; undefined where there is none of that name. */
    whole: (
      name: string,
      filter: { readonly about: string; readonly from: number; readonly until: number },
    ): Effect.Effect<Table | undefined> =>
      Effect.suspend(() => {
        if (name === 'events') return events(filter);
        if (askedEach.has(name)) return heard(name);
        if (!told.has(name)) return Effect.succeed(undefined);
        const rows: ReadonlyArray<Row> = name === 'nodes' ? news.nodes() : news.samplers();
        return Effect.succeed({ rows, silent: [] });
      }),
  };
};
