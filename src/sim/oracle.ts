import type { Sight } from '../dev/standIn.js';
import type { Configuration } from '../shared/configuration.js';
import type { Seen } from './clients.js';
import { judgeConfigurations } from './judgeConfigurations.js';
import { judgeLots } from './judgeLots.js';
import { judgeOrders } from './judgeOrders.js';
import { judgeAsks } from './judgeAsks.js';

/** Everything that clients read back at the end. */
export type Final = {
  readonly chain: ReadonlyArray<{
    readonly sequence: number;
    readonly change: string;
    readonly configuration: Configuration;
  }>;
  readonly sequence: number;
  /** When the newest configuration was asked for; what was told later is not judged by it. */
  readonly askedAt: number;
  readonly lots: ReadonlyMap<
    string,
    {
      readonly status: number;
      readonly state: string;
      readonly items: ReadonlyMap<string, Record<string, unknown>>;
    }
  >;
};

/** A rule that was broken, and how. */
export type Violation = { readonly rule: string; readonly what: string };

/** What the judges of one run share. */
export type Court = {
  readonly final: Final;
  readonly of: (kind: string) => ReadonlyArray<Seen>;
  readonly saw: (kind: string) => ReadonlyArray<Sight>;
  /** Puts a rule to the test once. */
  readonly must: (rule: string, holds: boolean, what: () => string) => void;
  /** Whether nothing had been wrong for a while. */
  readonly calm: (at: number) => boolean;
  /** When lots were told to be ended. */
  readonly ends: ReadonlyMap<string, number>;
};

/** What a judgement came to: the breaches, and how often each rule was put to the test. */
export type Judgement = {
  readonly violations: ReadonlyArray<Violation>;
  readonly checked: Readonly<Record<string, number>>;
};

/** Judges a run by what clients, operators, trainers and samplers saw of it, and by nothing else. */
export const judge = (
  seen: ReadonlyArray<Seen>,
  sights: ReadonlyArray<Sight>,
  final: Final,
  calm: (at: number) => boolean = () => false,
): Judgement => {
  const violations: Violation[] = [];
  const checked: Record<string, number> = {};
  const of = (kind: string): ReadonlyArray<Seen> => seen.filter((each) => each.kind === kind);
  const saw = (kind: string): ReadonlyArray<Sight> => sights.filter((each) => each.kind === kind);
  const ended = of('end-told').filter((each) => each['status'] === 200 && each['state'] === 'ended');
  const court: Court = {
    final,
    of,
    saw,
    calm,
    ends: new Map(ended.map((each) => [String(each['id']), each.at])),
    must: (rule, holds, what) => {
      checked[rule] = (checked[rule] ?? 0) + 1;
      if (!holds) violations.push({ rule, what: what() });
    },
  };
  judgeAsks(court);
  judgeConfigurations(court);
  judgeOrders(court);
  judgeLots(court);
  return { violations, checked };
};
