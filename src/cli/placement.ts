import { solve } from 'yalps';
import * as yup from 'yup';
import { recordOf } from '../shared/recordOf.js';

const whole = () => yup.number().integer().min(0);
const range = () => yup.object({ least: whole(), most: whole() }).noUnknown().strict();
const names = () => yup.array(yup.string().required());
const wish = () =>
  yup
    .object({
      count: range().default(undefined),
      perDomain: range().default(undefined),
      domains: recordOf(range().required()),
      keep: names(),
      avoid: names(),
      leastBudget: whole(),
    })
    .noUnknown()
    .strict();

const schema = yup
  .object({ id: yup.string().required(), stores: wish().default(undefined), samplers: recordOf(wish().required()) })
  .noUnknown()
  .strict();

type Range = { readonly least?: number; readonly most?: number };

/** What is wanted of one set of machines. */
export type Wish = {
  readonly count?: Range;
  /** For each domain, and for single ones. */
  readonly perDomain?: Range;
  readonly domains?: Readonly<Record<string, Range>>;
  readonly keep?: ReadonlyArray<string>;
  readonly avoid?: ReadonlyArray<string>;
  /** The least that the budgets of the chosen ones come to. */
  readonly leastBudget?: number;
};

/** A file of constraints. */
export type Wishes = {
  readonly id: string;
  readonly stores?: Wish;
  readonly samplers?: Readonly<Record<string, Wish>>;
};

/** A machine that may be chosen; one that is in use already is preferred. */
export type Candidate = {
  readonly name: string;
  readonly domain: string;
  readonly inUse: boolean;
  readonly budget: number;
};

/** The chosen machines, or the constraints that cannot be kept. */
export type Placed =
  | { readonly state: 'placed'; readonly chosen: ReadonlyArray<string> }
  | { readonly state: 'impossible'; readonly reasons: ReadonlyArray<string> };

type Bound = {
  readonly name: string;
  readonly min: number;
  readonly max: number;
  readonly of: (candidate: Candidate) => number;
};

const bound = (name: string, given: Range, of: Bound['of']): Bound => ({
  name: [name, ...(given.least === undefined ? [] : [`least ${given.least}`])]
    .concat(given.most === undefined ? [] : [`most ${given.most}`])
    .join(' '),
  min: given.least ?? 0,
  max: given.most ?? Infinity,
  of,
});

const boundsOf = (path: string, wish: Wish, candidates: ReadonlyArray<Candidate>): ReadonlyArray<Bound> => {
  const all = new Set(candidates.map((each) => each.domain));
  const inside = (domain: string) => (each: Candidate) => Number(each.domain === domain);
  const named = (name: string) => (each: Candidate) => Number(each.name === name);
  return [
    bound(`${path}.count`, wish.count ?? { least: 1 }, () => 1),
    ...(wish.perDomain
      ? [...all].map((each) => bound(`${path}.perDomain (${each})`, wish.perDomain!, inside(each)))
      : []),
    ...Object.entries(wish.domains ?? {}).map(([each, given]) => bound(`${path}.domains.${each}`, given, inside(each))),
    ...(wish.keep ?? []).map((name) => bound(`${path}.keep ${name}`, { least: 1 }, named(name))),
    ...(wish.avoid ?? []).map((name) => bound(`${path}.avoid ${name}`, { most: 0 }, named(name))),
    ...(wish.leastBudget === undefined
      ? []
      : [bound(`${path}.leastBudget`, { least: wish.leastBudget }, (each) => each.budget)]),
  ];
};

const solved = (
  bounds: ReadonlyArray<Bound>,
  candidates: ReadonlyArray<Candidate>,
): ReadonlyArray<string> | undefined => {
  const constraints = bounds.map(({ min, max }, place) => {
    const limits = { min, ...(max === Infinity ? {} : { max }) };
    return [`bound ${place}`, limits] as const;
  });
  const { status, variables } = solve({
    direction: 'minimize',
    objective: 'cost',
    constraints,
    variables: candidates.map((each) => [
      each.name,
      [
        ['cost', each.inUse ? 1 : 1.5],
        ...bounds.map(({ of }, place): [string, number] => [`bound ${place}`, of(each)]),
      ],
    ]),
    binaries: candidates.map((each) => each.name),
  } as Parameters<typeof solve<string, string>>[0]);
  return status === 'optimal' ? variables.filter(([, value]) => value > 0.5).map(([name]) => name) : undefined;
};

/** Chooses machines by constraints; those in use stay where that is possible. */
const place = (path: string, wish: Wish, candidates: ReadonlyArray<Candidate>): Placed => {
  const bounds = boundsOf(path, wish, candidates);
  const chosen = solved(bounds, candidates);
  if (chosen) return { state: 'placed', chosen: [...chosen].sort() };
  const alone = bounds.filter((each) => !solved([each], candidates));
  const guilty = bounds.filter((each) =>
    solved(
      bounds.filter((other) => other !== each),
      candidates,
    ),
  );
  const named = alone.length > 0 ? alone : guilty.length > 0 ? guilty : bounds;
  return { state: 'impossible', reasons: named.map((each) => each.name) };
};

/** Placements from constraints. */
export const placement = { schema, place };
