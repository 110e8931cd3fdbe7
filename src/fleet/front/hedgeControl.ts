import { hedgingDelayMs } from '../../policy/hedging.js';
import { responseTimes, type ResponseTimes } from '../../policy/responseTimes.js';
import { retryBudget, type RetryBudget } from '../../policy/retryBudget.js';

/** When requests of one kind are hedged, by what a front saw of that kind. */
export type HedgeControl = {
  /** Counts a request that begins; answers after how many milliseconds it is to be hedged. */
  readonly began: (kind: string, aimMs: number) => number;
  /** Notes what the answer of a first send took. */
  readonly answered: (kind: string, tookMs: number) => void;
  /** Whether the budget allows one more hedge; it is spent by that. */
  readonly spend: (kind: string) => boolean;
};

/** Makes a front's hedging. */
export const makeHedgeControl = (): HedgeControl => {
  const seen = new Map<string, ResponseTimes>();
  const budgets = new Map<string, RetryBudget>();
  const budgetOf = (kind: string): RetryBudget => budgets.get(kind) ?? retryBudget.full;
  return {
    began: (kind, aimMs) => {
      budgets.set(kind, retryBudget.afterRequest(budgetOf(kind)));
      return hedgingDelayMs({ aimMs, seen: seen.get(kind) });
    },
    answered: (kind, tookMs) => void seen.set(kind, responseTimes.after(seen.get(kind), tookMs)),
    spend: (kind) => {
      const budget = budgetOf(kind);
      if (!retryBudget.allows(budget)) return false;
      budgets.set(kind, retryBudget.afterHedge(budget));
      return true;
    },
  };
};
