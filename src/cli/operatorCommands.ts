import { readFileSync } from 'node:fs';
import { defineCommand } from 'citty';
import { call, type Told } from './call.js';

const exits = { done: 0, bounced: 1, usage: 2, unreachable: 3, unknown: 4 };

const exitOf = (told: Told): number => {
  if (told.status < 300) return exits.done;
  try {
    return (JSON.parse(told.text) as { outcome?: string }).outcome === 'unknown' ? exits.unknown : exits.bounced;
  } catch {
    return exits.bounced;
  }
};

const print = <T>(told: Told, asJson: boolean, shape: (body: T) => ReadonlyArray<string>): void => {
  if (asJson || told.status >= 300) process.stdout.write(told.bytes);
  else for (const line of shape(JSON.parse(told.text) as T)) process.stdout.write(`${line}\n`);
};

type Row = Record<string, unknown>;
type FleetStatus = {
  readonly nodes: ReadonlyArray<Row>;
  readonly samplers: ReadonlyArray<Row>;
  readonly lossMargins: Readonly<Record<string, number>>;
};

const samplerFields = ['service', 'domain', 'state', 'version', 'kvUsed', 'budget'];

const numbered = (sequence: string | undefined): string =>
  sequence === undefined ? '' : `?sequence=${encodeURIComponent(sequence)}`;

const fieldsOf = (row: Record<string, unknown>, names: ReadonlyArray<string>): string =>
  names.map((name) => `${name}=${String(row[name] ?? '-')}`).join(' ');

const common = {
  at: {
    type: 'string',
    description: 'the HTTP address of any node',
    default: process.env['FOXDECK_AT'] ?? '127.0.0.1:7180',
  },
  json: { type: 'boolean', description: 'print the answer as it came', default: false },
} as const;

const run = async (
  args: { at: string; json: boolean },
  method: string,
  path: string,
  body: Uint8Array | undefined,
  shape: (body: never) => ReadonlyArray<string>,
): Promise<void> => {
  try {
    const told = await call(args.at, method, path, body);
    print(told, args.json, shape);
    process.exitCode = exitOf(told);
  } catch (cause) {
    process.stderr.write(`foxdeck: ${args.at}: ${cause instanceof Error ? cause.message : String(cause)}\n`);
    process.exitCode = method === 'GET' ? exits.unreachable : exits.unknown;
  }
};

const pretty = (body: unknown): ReadonlyArray<string> => [JSON.stringify(body, undefined, 2)];

/** What operators type; exit codes: 0 done, 1 bounced, 2 bad usage, 3 no answer, 4 outcome unknown. */
export const operatorCommands = {
  apply: defineCommand({
    meta: { name: 'apply', description: 'Hands over a change, whole or not at all.' },
    args: {
      ...common,
      file: {
        type: 'positional',
        description: 'a file with the change document, or - for standard input',
        required: true,
      },
    },
    run: async ({ args }) => {
      let bytes: Uint8Array;
      try {
        bytes = readFileSync(args.file === '-' ? 0 : args.file);
      } catch (cause) {
        process.stderr.write(`foxdeck: ${args.file}: ${cause instanceof Error ? cause.message : String(cause)}\n`);
        process.exitCode = exits.usage;
        return;
      }
      await run(args, 'POST', '/foxdeck/changes', bytes, (body: { sequence: number }) => [
        `accepted as sequence ${body.sequence}`,
      ]);
    },
  }),
  show: defineCommand({
    meta: {
      name: 'show',
      description: 'Shows the newest accepted configuration, a former one, or a change by its id.',
    },
    args: {
      ...common,
      sequence: { type: 'string' },
      change: { type: 'string', description: 'a change id' },
      document: { type: 'boolean', description: "the change's exact bytes" },
    },
    run: async ({ args }) => {
      const path =
        args.change !== undefined
          ? `/foxdeck/changes/${args.change}${args.document ? '/document' : ''}`
          : `/foxdeck/configuration${numbered(args.sequence)}`;
      await run({ ...args, json: args.json || args.document === true }, 'GET', path, undefined, pretty);
    },
  }),
  status: defineCommand({
    meta: { name: 'status', description: 'Shows how the fleet stands, as one node knows it.' },
    args: common,
    run: async ({ args }) =>
      run(args, 'GET', '/foxdeck/fleet', undefined, (body: FleetStatus) => [
        ...body.nodes
          .map((node) => `node ${node['name']} ${fieldsOf(node, ['domain', 'roles', 'state', 'sequence', 'duties'])}`)
          .sort(),
        ...body.samplers.map((each) => `sampler ${each['name']} ${fieldsOf(each, samplerFields)}`).sort(),
        ...Object.entries(body.lossMargins).map(([group, margin]) => `${group} may lose ${margin} more disks`),
      ]),
  }),
  drain: defineCommand({
    meta: {
      name: 'drain',
      description: 'Makes the node at --at bounce new work and hand its duties on; --undo takes it back.',
    },
    args: { ...common, undo: { type: 'boolean', default: false } },
    run: async ({ args }) =>
      run(args, 'POST', `/foxdeck/drain${args.undo ? '?undo=1' : ''}`, undefined, (body: { state: string }) => [
        `the node is ${body.state}`,
      ]),
  }),
  moves: defineCommand({
    meta: { name: 'moves', description: 'Shows the calendar of moves.' },
    args: common,
    run: async ({ args }) =>
      run(args, 'GET', '/foxdeck/moves', undefined, (body: { moves: ReadonlyArray<Record<string, unknown>> }) =>
        body.moves.map((move) =>
          [
            `move ${move['name']} ${move['state']}`,
            `start=${new Date(Number(move['startMs'])).toISOString()}`,
            fieldsOf(move, ['steps', 'reason']),
          ].join(' '),
        ),
      ),
  }),
  cancel: defineCommand({
    meta: { name: 'cancel', description: 'Cancels a move; --undo also takes a shift back.' },
    args: {
      ...common,
      move: { type: 'positional', description: 'the name of the move', required: true },
      undo: { type: 'boolean', default: false },
    },
    run: async ({ args }) => {
      const path = `/foxdeck/moves/${encodeURIComponent(args.move)}/cancel${args.undo ? '?undo=1' : ''}`;
      await run(args, 'POST', path, undefined, (body: { sequence: number }) => [
        `cancelled as sequence ${body.sequence}`,
      ]);
    },
  }),
  events: defineCommand({
    meta: { name: 'events', description: "Shows the fleet's events about an item, a sampler, a duty or a change." },
    args: { ...common, about: { type: 'string', default: '' }, most: { type: 'string', default: '100' } },
    run: async ({ args }) =>
      run(
        args,
        'GET',
        `/foxdeck/events?about=${encodeURIComponent(args.about)}&most=${encodeURIComponent(args.most)}`,
        undefined,
        (body: { lines: ReadonlyArray<string>; silent: ReadonlyArray<string> }) => [
          ...body.lines,
          ...body.silent.map((node) => `no answer from ${node}`),
        ],
      ),
  }),
};
