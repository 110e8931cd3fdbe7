import { createInterface } from 'node:readline/promises';
import { defineCommand } from 'citty';
import CliTable from 'cli-table3';
import { call } from './call.js';
import { query } from './query.js';

const exits = { done: 0, bounced: 1, usage: 2, unreachable: 3 };
const help = [
  'TABLE [where COLUMN OP VALUE [and ...]] [sort COLUMN [down]] [columns A,B] [most N]',
  `tables: ${Object.keys(query.tables).join(', ')}; operators: = != < <= > >= and ~ for "contains"`,
  'items where state = paused columns item,why',
  'events where sampler = coaching-3 and at > 2026-01-01T10:00 and at < 2026-01-01T10:05',
  'events where duty = seat/coaching and event = duty_won',
  'help, exit',
];

type Told = { readonly rows: ReadonlyArray<Record<string, unknown>>; readonly silent: ReadonlyArray<string> };

const say = (line: string): void => void process.stdout.write(`${line}\n`);
const complain = (line: string): void => void process.stderr.write(`${line}\n`);

const drawn = (columns: ReadonlyArray<string>, rows: ReadonlyArray<Record<string, unknown>>): string => {
  const table = new CliTable({
    head: [...columns],
    style: { head: [], border: [], compact: true, 'padding-left': 0, 'padding-right': 2 },
    chars: Object.fromEntries(
      ['top', 'bottom', 'left', 'right', 'mid']
        .flatMap((side) => [side, `${side}-mid`, `${side}-left`, `${side}-right`])
        .map((name) => [name, ''])
        .concat([['middle', '']]),
    ),
  });
  for (const row of rows) table.push(columns.map((column) => query.shown(row[column])));
  return table.toString();
};

/** Runs one query and answers the exit code. */
const runQuery = async (address: string, text: string, json: boolean): Promise<number> => {
  const parsed = query.parse(text);
  if (parsed.isErr) {
    complain(`query: ${parsed.error}`);
    return exits.usage;
  }
  try {
    const told = await call(address, 'GET', query.pathOf(parsed.value));
    if (told.status !== 200) {
      complain(told.text.trim());
      return exits.bounced;
    }
    const { rows, silent } = JSON.parse(told.text) as Told;
    const found = query.apply(parsed.value, rows);
    if (json) say(JSON.stringify({ rows: found.rows, silent }));
    else {
      if (found.rows.length > 0) say(drawn(found.columns, found.rows));
      say(`${found.rows.length} of ${rows.length} rows`);
      if (silent.length > 0) say(`partial: no answer from ${silent.join(', ')}`);
    }
    return exits.done;
  } catch (cause) {
    complain(`${address}: ${cause instanceof Error ? cause.message : String(cause)}`);
    return exits.unreachable;
  }
};

/** The operators' shell: queries on fleet state, one at a time or interactively. */
export const shellCommand = defineCommand({
  meta: { name: 'shell', description: 'Queries the fleet: foxdeck shell "items where state = paused".' },
  args: {
    at: {
      type: 'string',
      description: 'the HTTP address of any node',
      default: process.env['FOXDECK_AT'] ?? '127.0.0.1:7180',
    },
    json: { type: 'boolean', description: 'print rows as JSON', default: false },
    query: { type: 'positional', description: 'a query; without one, queries are read line by line', required: false },
  },
  run: async ({ args }) => {
    const given = args._.join(' ').trim();
    if (given !== '') {
      process.exitCode = await runQuery(args.at, given, args.json);
      return;
    }
    const lines = createInterface({
      input: process.stdin,
      output: process.stdout,
      terminal: process.stdin.isTTY === true,
    });
    if (process.stdin.isTTY) lines.setPrompt('foxdeck> ');
    lines.prompt();
    for await (const line of lines) {
      const text = line.trim();
      if (text === 'exit') break;
      if (text === 'help') help.forEach(say);
      else if (text !== '')
        process.exitCode = Math.max(Number(process.exitCode ?? 0), await runQuery(args.at, text, args.json));
      if (process.stdin.isTTY) lines.prompt();
    }
    lines.close();
  },
});
