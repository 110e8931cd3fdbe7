import { readFileSync } from 'node:fs';
import { defineCommand } from 'citty';
import type { Announcement, Presence } from '../node/news.js';
import { checked } from '../shared/checked.js';
import type { Configuration } from '../shared/configuration.js';
import { call } from './call.js';
import { placement, type Candidate, type Wishes } from './placement.js';

const exits = { done: 0, impossible: 1, usage: 2, unreachable: 3 };

const complain = (line: string): void => void process.stderr.write(`foxdeck: ${line}\n`);

const readWishes = (file: string): Wishes | undefined => {
  let document: unknown;
  try {
    document = JSON.parse(readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (cause) {
    complain(`${file}: ${cause instanceof Error ? cause.message : String(cause)}`);
    return undefined;
  }
  const shape = checked<Wishes>(placement.schema, document);
  if (shape.isOk) return shape.value;
  complain(`${file}: ${shape.error.map((reason) => `${reason.path}: ${reason.message}`).join('; ')}`);
  return undefined;
};

/** Solves a file of constraints against the fleet as it is; answers the exit code. */
const placed = async (at: string, file: string): Promise<number> => {
  const wishes = readWishes(file);
  if (!wishes) return exits.usage;
  const read = async <T>(path: string): Promise<T> => JSON.parse((await call(at, 'GET', path)).text) as T;
  const fleet = await read<{ nodes: ReadonlyArray<Presence>; samplers: ReadonlyArray<Announcement> }>('/foxdeck/fleet');
  const shown = await read<{ sequence: number; configuration: Configuration }>('/foxdeck/configuration');
  const current = shown.configuration.stores.current.map((store) => store.name);
  const stores = fleet.nodes
    .filter((node) => node.roles.includes('store'))
    .map((node): Candidate => ({ ...node, inUse: current.includes(node.name), budget: 0 }));
  const results = [
    ...(wishes.stores ? [{ service: undefined, ...placement.place('stores', wishes.stores, stores) }] : []),
    ...Object.entries(wishes.samplers ?? {}).map(([service, wish]) => {
      const candidates = fleet.samplers
        .filter((sampler) => sampler.service === service && sampler.state !== 'leaving')
        .map((sampler): Candidate => ({ ...sampler, inUse: true }));
      return { service, candidates, ...placement.place(`samplers.${service}`, wish, candidates) };
    }),
  ];
  const reasons = results.flatMap((each) => (each.state === 'impossible' ? each.reasons : []));
  if (reasons.length > 0) {
    complain(`cannot be kept: ${reasons.join('; ')}`);
    return exits.impossible;
  }
  const change: Record<string, unknown> = { id: wishes.id, expected: shown.sequence };
  for (const each of results) {
    if (each.state !== 'placed') continue;
    if (each.service === undefined) change['stores'] = each.chosen;
    else {
      const spare = each.candidates.map(({ name }) => name).filter((name) => !each.chosen.includes(name));
      complain(`${each.service}: keep ${each.chosen.join(', ')}; may go: ${spare.join(', ') || 'none'}`);
    }
  }
  process.stdout.write(`${JSON.stringify(change, undefined, 2)}\n`);
  return exits.done;
};

/** `foxdeck place`: a change document from a file of constraints. */
export const placeCommand = defineCommand({
  meta: { name: 'place', description: 'Solves a file of constraints; prints a change document for apply.' },
  args: {
    at: {
      type: 'string',
      description: 'the HTTP address of any node',
      default: process.env['FOXDECK_AT'] ?? '127.0.0.1:7180',
    },
    file: { type: 'positional', description: 'a file of constraints, or - for standard input', required: true },
  },
  run: async ({ args }) => {
    try {
      process.exitCode = await placed(args.at, args.file);
    } catch (cause) {
      complain(`${args.at}: ${cause instanceof Error ? cause.message : String(cause)}`);
      process.exitCode = exits.unreachable;
    }
  },
});
