import type { PlainDocument } from '../../dev/plainDialect.js';

/** A key that a simulated caller sends, and the tenant that holds it or once held it. */
export type FleetKey = {
  readonly text: string;
  readonly tenant: string | undefined;
  /** The change that brought the key; the next change withdraws it. Other keys last, or never were any tenant's. */
  readonly mark?: string;
};

const prefix = 'secret-of-';
const lasting = (tenant: string): FleetKey => ({ text: `${prefix}${tenant}`, tenant });
const rotating = (mark: string): FleetKey => ({ text: `${prefix}north-${mark}`, tenant: 'north', mark });
const unknown: FleetKey = { text: `${prefix}nobody`, tenant: undefined };

const rotatingEvery = 10;
const unknownEvery = 40;
/** The keys of so many changes are sent: of the first since the caller began, and of the last. */
const [firstSent, lastSent] = [4, 3];

/** Keys of the simulated days: each tenant has one that lasts, and one of them another that each change renews. */
export const fleetKeys = {
  prefix,
  lasting,
  /** Whether every configuration holds the key. */
  lasts: ({ tenant, mark }: FleetKey): boolean => tenant !== undefined && mark === undefined,
  /** The tenants that the change of a mark declares. */
  tenants: (mark: string): NonNullable<PlainDocument['tenants']> => [
    { name: 'north', keys: [lasting('north').text, rotating(mark).text] },
    { name: 'south', keys: [lasting('south').text] },
  ],
  /** The mark by which the tenants of a document were declared. */
  markOf: (tenants: PlainDocument['tenants']): string =>
    tenants?.[0]?.keys[1]?.slice(rotating('').text.length) ?? 'none',
  /** The key of a caller's request by its number; `begun` of the accepted changes are older than the caller. */
  of: (number: number, marks: ReadonlyArray<string>, begun: number): FleetKey => {
    if (number % unknownEvery === unknownEvery - 1) return unknown;
    const turn = Math.floor(number / rotatingEvery);
    const place = turn >> 1;
    const mark = turn % 2 === 0 ? marks.at(-1 - (place % lastSent)) : marks[begun + (place % firstSent)];
    if (number % rotatingEvery === 0 && mark !== undefined) return rotating(mark);
    return lasting(number % 2 === 0 ? 'north' : 'south');
  },
};
