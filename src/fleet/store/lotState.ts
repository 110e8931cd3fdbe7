import type { LotBody, LotResult, LotValue } from '../fleetTypes.js';

/** What a lot's log says so far; it grows in place, since a copy for each result was a third of a leader's time. */
export type LotState = {
  body: LotBody | undefined;
  ended: boolean;
  readonly results: LotResult[];
  readonly listed: Set<string>;
  readonly wanted: Set<string>;
};

const step = (state: LotState, value: LotValue): LotResult | undefined => {
  if (value.kind === 'lot') {
    if (state.body) return undefined;
    state.body = value.body;
    for (const item of value.body.items) state.wanted.add(item.id);
  } else if (value.kind === 'end') state.ended = true;
  else if (!state.listed.has(value.result.id) && state.wanted.has(value.result.id)) {
    state.listed.add(value.result.id);
    state.results.push(value.result);
    return value.result;
  }
  return undefined;
};

/** The reducer of lots' logs: the first result of an item holds, whatever a later leader found besides. */
export const lotState = {
  fresh: (): LotState => ({ body: undefined, ended: false, results: [], listed: new Set(), wanted: new Set() }),
  /** Applies one value; answers the result that it listed. */
  step,
};
