import type { Channels } from '../../edge/channels.js';
import { Fault } from '../../shared/fault.js';
import { rendezvous } from '../../shared/rendezvous.js';
import type { FleetView } from '../watcher.js';

/** How a front reaches the leaders of lots. */
export type StoreCalls = {
  /** Calls a lot's leader, wherever it is; fails with a Fault, `unknown` where the call may have been done. */
  readonly call: (lot: string, name: string, body: object, timeLeftMs: number, hopMs: number) => Promise<unknown>;
  /** Notes who leads a lot. */
  readonly leads: (lot: string, store: string) => void;
  readonly leader: (lot: string) => string | undefined;
  readonly forget: (lot: string) => void;
};

const pauseMs = 60;
const keptMost = 5000;

/** Makes a front's way to the stores. */
export const makeStoreCalls = (options: {
  readonly channels: Channels;
  readonly view: () => FleetView;
  readonly now: () => number;
}): StoreCalls => {
  const { channels, view, now } = options;
  const leaders = new Map<string, string>();
  const leads = (lot: string, store: string): void => {
    leaders.delete(lot);
    leaders.set(lot, store);
    if (leaders.size > keptMost) leaders.delete(leaders.keys().next().value!);
  };
  const candidates = (lot: string): ReadonlyArray<string> => {
    const { followed, members } = view();
    const stores = followed ? [...followed.stores.current, ...followed.stores.previous] : [];
    const there = [...new Set(stores.map((each) => each.name))].filter((name) => members.has(name));
    const ready = (name: string): number => (members.get(name)?.state === 'ready' ? 0 : 1);
    return [...rendezvous(lot, there)].sort((one, other) => ready(one) - ready(other));
  };
  return {
    leads,
    leader: (lot) => leaders.get(lot),
    forget: (lot) => void leaders.delete(lot),
    call: async (lot, name, body, timeLeftMs, hopMs) => {
      const deadline = now() + timeLeftMs;
      const failed = new Set<string>();
      let fault = new Fault({ step: name, reason: 'no store is known' });
      let doubtful = false;
      let hint = leaders.get(lot);
      for (let hop = 0; hop < 24 && now() < deadline; hop += 1) {
        const all = candidates(lot);
        const hinted = hint !== undefined && !failed.has(hint) && view().members.has(hint) ? hint : undefined;
        const store = hinted ?? all.find((each) => !failed.has(each));
        hint = undefined;
        if (!store) {
          failed.clear();
          await new Promise((resolve) => setTimeout(resolve, pauseMs));
          continue;
        }
        const member = view().members.get(store)!;
        const left = Math.max(50, Math.min(hopMs, deadline - now()));
        try {
          const asked = { ...body, lot, force: failed.size > 0 };
          const answer = (await channels.call(member.peer, name, asked, left)) as { readonly moved?: string };
          if (typeof answer?.moved === 'string') {
            hint = answer.moved;
            if (failed.has(answer.moved) || !view().members.has(answer.moved))
              await new Promise((resolve) => setTimeout(resolve, pauseMs));
            continue;
          }
          leads(lot, store);
          return answer;
        } catch (cause) {
          fault = cause as Fault;
          if (fault.unknown) doubtful = true;
          failed.add(store);
          if (leaders.get(lot) === store) leaders.delete(lot);
        }
      }
      throw new Fault({ step: name, reason: fault.reason ?? String(fault), unknown: doubtful });
    },
  };
};
