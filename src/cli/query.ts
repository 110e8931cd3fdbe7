import parseArgv from 'string-argv';
import { Result } from 'true-myth';

/** A query on a table of fleet state. */
export type Query = {
  readonly table: string;
  readonly conditions: ReadonlyArray<{ readonly column: string; readonly operator: string; readonly value: string }>;
  readonly sort: { readonly column: string; readonly down: boolean } | undefined;
  readonly columns: ReadonlyArray<string> | undefined;
  readonly most: number | undefined;
};

type Row = Readonly<Record<string, unknown>>;

/** The tables and their columns; those of events depend on the event. */
const tables: Readonly<Record<string, ReadonlyArray<string>>> = {
  nodes: ['name', 'domain', 'roles', 'state', 'sequence', 'duties', 'http', 'peer', 'disk', 'coreFresh'],
  samplers: ['name', 'service', 'domain', 'state', 'version', 'kvUsed', 'budget', 'address', 'incarnation', 'sequence'],
  duties: ['duty', 'node', 'token', 'leftMs', 'lease'],
  leases: ['node', 'lease', 'token', 'leftMs'],
  sequences: ['node', 'sequence', 'inForce', 'state'],
  stores: ['node', 'records', 'checkpoints', 'open', 'damaged'],
  counters: ['node', 'counter', 'value'],
  lots: ['lot', 'service', 'step', 'taskType', 'items', 'waiting', 'active', 'paused', 'done', 'seater'],
  items: ['item', 'state', 'sampler', 'tokens', 'version', 'why', 'decision', 'cause', 'lot', 'service', 'seater'],
  seats: ['sampler', 'service', 'used', 'budget', 'active', 'version', 'setAside', 'seater'],
  moves: ['name', 'state', 'reason', 'startMs', 'latestMs', 'steps', 'at', 'letGo', 'move'],
  changes: ['sequence', 'change', 'touches'],
  events: [],
};
const operators = ['=', '!=', '<', '<=', '>', '>=', '~'];

const columnFault = (table: string, column: string): string | undefined =>
  tables[table]!.length === 0 || tables[table]!.includes(column)
    ? undefined
    : `${table} has no column ${column}; there are ${tables[table]!.join(', ')}`;

/** Reads `TABLE [where COLUMN OP VALUE [and ...]] [sort COLUMN [down]] [columns A,B] [most N]`. */
const parse = (text: string): Result<Query, string> => {
  const words = parseArgv(text);
  const [table, ...rest] = words;
  if (table === undefined) return Result.err('a query begins with a table');
  if (!tables[table]) return Result.err(`no table named ${table}; there are ${Object.keys(tables).join(', ')}`);
  let query: Query = { table, conditions: [], sort: undefined, columns: undefined, most: undefined };
  let place = 0;
  const take = (): string | undefined => rest[place++];
  while (place < rest.length) {
    const word = take();
    if (word === 'where' || (word === 'and' && query.conditions.length > 0)) {
      const [column, operator, value] = [take(), take(), take()];
      if (column === undefined || operator === undefined || value === undefined) {
        return Result.err(`${word} needs a column, an operator and a value`);
      }
      if (!operators.includes(operator)) return Result.err(`no operator ${operator}; there are ${operators.join(' ')}`);
      const fault = columnFault(table, column);
      if (fault !== undefined) return Result.err(fault);
      query = { ...query, conditions: [...query.conditions, { column, operator, value }] };
    } else if (word === 'sort') {
      const column = take();
      if (column === undefined) return Result.err('sort needs a column');
      const fault = columnFault(table, column);
      if (fault !== undefined) return Result.err(fault);
      const down = rest[place] === 'down';
      if (down) place += 1;
      query = { ...query, sort: { column, down } };
    } else if (word === 'columns') {
      const columns = (take() ?? '').split(',').filter((column) => column !== '');
      if (columns.length === 0) return Result.err('columns needs names, parted by commas');
      const fault = columns.map((column) => columnFault(table, column)).find((each) => each !== undefined);
      if (fault !== undefined) return Result.err(fault);
      query = { ...query, columns };
    } else if (word === 'most') {
      const most = Number(take());
      if (!Number.isInteger(most) || most < 1) return Result.err('most needs a whole number from 1 on');
      query = { ...query, most };
    } else return Result.err(`${word} is not understood; a query goes on with where, and, sort, columns or most`);
  }
  return Result.ok(query);
};

const shown = (value: unknown): string =>
  value === undefined || value === null
    ? ''
    : Array.isArray(value)
      ? value.join(',')
      : typeof value === 'object'
        ? JSON.stringify(value)
        : String(value);

const compare = (left: string, right: string): number => {
  const [a, b] = [Number(left), Number(right)];
  if (left !== '' && right !== '' && Number.isFinite(a) && Number.isFinite(b)) return a - b;
  return left < right ? -1 : left > right ? 1 : 0;
};

const fits = (row: Row, { column, operator, value }: Query['conditions'][number]): boolean => {
  const own = shown(row[column]);
  const order = compare(own, value);
  switch (operator) {
    case '=':
      return own === value;
    case '!=':
      return own !== value;
    case '<':
      return order < 0;
    case '<=':
      return order <= 0;
    case '>':
      return order > 0;
    case '>=':
      return order >= 0;
    default:
      return own.includes(value);
  }
};

/** Filters, sorts and cuts rows to the columns of a query. */
const apply = (
  query: Query,
  rows: ReadonlyArray<Row>,
): { readonly columns: ReadonlyArray<string>; readonly rows: ReadonlyArray<Row> } => {
  const fitting = rows.filter((row) => query.conditions.every((condition) => fits(row, condition)));
  const sort = query.sort;
  const sorted = sort
    ? [...fitting].sort(
        (left, right) => compare(shown(left[sort.column]), shown(right[sort.column])) * (sort.down ? -1 : 1),
      )
    : fitting;
  const cut =
    query.most === undefined
      ? sorted
      : query.table === 'events'
        ? sorted.slice(-query.most)
        : sorted.slice(0, query.most);
  const known = tables[query.table]!;
  const used =
    known.length > 0
      ? known.filter((column) => cut.some((row) => shown(row[column]) !== ''))
      : [...new Set(cut.flatMap(Object.keys))];
  const columns = query.columns ?? used;
  return { columns, rows: cut.map((row) => Object.fromEntries(columns.map((column) => [column, row[column]]))) };
};

/** Queries on fleet state: read, and applied to a table's rows. */
export const query = {
  parse,
  apply,
  shown,
  tables,
  /** The call that brings a query's rows. */
  pathOf: ({ table, conditions }: Query): string => {
    const about = conditions.find((each) => each.operator === '=' && each.column !== 'at')?.value ?? '';
    return `/foxdeck/tables/${table}${about === '' ? '' : `?about=${encodeURIComponent(about)}`}`;
  },
};
