/** What is left of a budget for sends beyond the first, counted in sends. */
export type RetryBudget = { readonly tokens: number };

/** Each request adds this much; so hedges are at most a tenth of the requests for long. */
const perRequest = 0.1;
/** What may be spent at once, so that a start or a burst of slow answers is hedged too. */
const most = 10;

/** A token bucket that bounds how much load hedged requests add, as in the retry budgets of RPC systems. */
export const retryBudget = {
  full: { tokens: most } as RetryBudget,
  afterRequest: ({ tokens }: RetryBudget): RetryBudget => ({ tokens: Math.min(most, tokens + perRequest) }),
  allows: ({ tokens }: RetryBudget): boolean => tokens >= 1,
  afterHedge: ({ tokens }: RetryBudget): RetryBudget => ({ tokens: tokens - 1 }),
};
