import { fencedLeases } from '../../core/fencedLeases.js';
import type { Channels } from '../../edge/channels.js';
import { answers } from '../../shared/answers.js';
import type { FleetView } from '../watcher.js';

/** Leases on the right to order one sampler, granted by a majority of the voters. */
export type OrderLease = {
  /** Answers the fence, and until when an order may leave; undefined while another holds the lease. */
  readonly acquire: (sampler: string) => Promise<{ readonly fence: number; readonly until: number } | undefined>;
};

const askMs = 700;
/**
 * Orders leave only in the first part of a lease, so that between the last order of one holder and the first of the
 * next there is always more than the lease that the samplers' side reckons with.
 */
const useMs = 600;

/** Makes a front's order leases; `holder` names this life of the process. */
export const makeOrderLease = (options: {
  readonly holder: string;
  readonly channels: Channels;
  readonly view: () => FleetView;
  readonly now: () => number;
}): OrderLease => {
  const { channels, view, now } = options;
  const fences = new Map<string, number>();
  type Heard = { readonly granted: boolean; readonly holder: string; readonly token: number };
  const ask = async (sampler: string, token: number): Promise<{ heard: ReadonlyArray<Heard>; voters: number }> => {
    const { followed, members } = view();
    const { voters = [], electorate = 0 } = followed ?? {};
    const heard = await Promise.all(
      voters.map(async (voter): Promise<Heard | undefined> => {
        const member = members.get(voter.name);
        if (!member || member.disk !== voter.disk) return undefined;
        const lease = `order/${sampler}`;
        const value = { disk: voter.disk, lease, holder: options.holder, token, release: false, electorate };
        try {
          const { kind } = await channels.ask(member.peer, answers.ask({ case: 'fencedLease', value }), askMs);
          return kind.case === 'fencedLease' ? kind.value : undefined;
        } catch {
          return undefined;
        }
      }),
    );
    return { heard: heard.filter((each) => each !== undefined), voters: voters.length };
  };
  const majority = (count: number, voters: number): boolean => voters > 0 && count > voters / 2;
  return {
    acquire: async (sampler) => {
      const looked = await ask(sampler, 0);
      if (!majority(looked.heard.length, looked.voters)) return undefined;
      if (looked.heard.some((each) => each.holder !== '' && each.holder !== options.holder)) return undefined;
      const highest = Math.max(0, ...looked.heard.map((each) => each.token));
      const own = fences.get(sampler);
      const fence =
        own !== undefined && own === highest
          ? own
          : Math.max(highest + 1, (view().followed?.sequence ?? 0) * fencedLeases.tokensPerSequence);
      const start = now();
      const won = await ask(sampler, fence);
      if (!majority(won.heard.filter((each) => each.granted).length, won.voters)) return undefined;
      fences.set(sampler, fence);
      return { fence, until: start + useMs };
    },
  };
};
