import type { Fault } from '../../shared/fault.js';
import type { AskHead, Caller, Dialect, LotCall, Reply } from '../dialect.js';
import type { HostBinding, LotResult } from '../fleetTypes.js';
import type { StoreCalls } from './storeCalls.js';

/** Serves the calls of lots by way of their leaders. */
export type LotAsks = {
  readonly hand: (
    head: AskHead,
    host: string,
    binding: HostBinding,
    body: Uint8Array,
    caller: Caller,
  ) => Promise<Reply>;
  readonly call: (call: LotCall, caller: Caller) => Promise<Reply>;
};

const createMs = 2600;
const createHopMs = 900;
const callMs = 1300;
const callHopMs = 600;
const retryAfterMs = 500;
const waitMost = 1000;
const foreignReason = 'the lot is another tenant’s';

/** Makes a front's lot calls. */
export const makeLotAsks = (options: {
  readonly stores: StoreCalls;
  readonly dialect: Dialect;
  readonly wall: () => number;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): LotAsks => {
  const { stores, dialect } = options;
  return {
    hand: async (head, host, binding, bytes, caller) => {
      const body = dialect.lotBody(bytes, host, binding, options.wall(), caller);
      if ('length' in body)
        return dialect.refusal(400, head.attempt, undefined, `${body[0]?.path}: ${body[0]?.message}`);
      try {
        const timeLeft = Math.max(200, Math.min(createMs, head.timeLeftMs - 50));
        const ask = { body, caller };
        const answer = (await stores.call(head.attempt, 'lot.create', ask, timeLeft, createHopMs)) as {
          readonly taken?: boolean;
          readonly foreign?: true;
        };
        if (answer.foreign) return dialect.refusal(403, head.attempt, undefined, foreignReason);
        if (answer.taken !== true) return dialect.refusal(504, head.attempt, undefined, 'not said to be taken');
        options.event('lot_taken', { lot: head.attempt, items: body.items.length, step: body.step, model: body.model });
        return dialect.refusal(202, head.attempt, undefined, '');
      } catch (cause) {
        const fault = cause as Fault;
        options.event('lot_not_taken', { lot: head.attempt, reason: fault.message, unknown: String(fault.unknown) });
        // A store may have it: only where none can is it a promise that nothing runs.
        return fault.unknown === false
          ? dialect.refusal(503, head.attempt, retryAfterMs, fault.message)
          : dialect.refusal(504, head.attempt, undefined, fault.message);
      }
    },
    call: async (call, caller) => {
      const again = (cause: unknown): Reply => dialect.refusal(503, '', retryAfterMs, String(cause));
      const gone = dialect.refusal(404, '', undefined, 'no such lot');
      const foreign = dialect.refusal(403, '', undefined, foreignReason);
      try {
        if (call.kind === 'read') {
          const waitMs = Math.min(call.waitMs, waitMost);
          const ask = { after: call.after, waitMs, caller };
          const heard = (await stores.call(call.lot, 'lot.read', ask, callMs + waitMs, callHopMs + waitMs)) as
            | { readonly unknown: true }
            | { readonly foreign: true }
            | { readonly total: number; readonly results: ReadonlyArray<LotResult> };
          if ('foreign' in heard) return foreign;
          return 'unknown' in heard ? gone : dialect.lotRead(heard.total, call.after, heard.results);
        }
        if (call.kind === 'item') {
          const ask = { id: call.id, caller };
          const heard = (await stores.call(call.lot, 'lot.item', ask, callMs, callHopMs)) as {
            readonly body?: string;
            readonly foreign?: true;
          };
          if (heard.foreign) return foreign;
          return heard.body === undefined ? gone : dialect.lotItem(heard.body);
        }
        const heard = (await stores.call(call.lot, 'lot.end', { caller }, callMs + 1000, callHopMs)) as {
          readonly unknown?: true;
          readonly foreign?: true;
        };
        if (heard.foreign) return foreign;
        return heard.unknown ? gone : dialect.refusal(200, '', undefined, '');
      } catch (cause) {
        return again(cause);
      }
    },
  };
};
