import type { Voter } from '../../core/paxos.js';
import type { Channels } from '../../edge/channels.js';
import type { Followed, Member, Sampler } from '../fleetTypes.js';
import type { WatchServer } from './watchServer.js';
import type { SamplerFile } from './samplerFile.js';

/**
 * What makes the acknowledgement of a sampler's departure binding: a majority of the voters has it on disk before it is
 * acknowledged. A core that is cut off can't acknowledge one that the fronts would not hear of, and no loss of power
 * brings a sampler back that was told to be draining.
 */
export type SamplerDepartures = {
  /** Answers true once a majority knows that a sampler is draining or gone. */
  readonly confirm: (sampler: Sampler) => Promise<boolean>;
  /** Takes another core's word of a departure; answers once it lasts. */
  readonly take: (sampler: Sampler) => Promise<Record<string, never>>;
};

type Confirmed = { readonly state: Sampler['state']; readonly electorate: number };

/** The name of the call by which cores tell each other. */
const callName = 'samplers.departure';
const callMs = 600;

/** Makes a core's handling of departures. */
const makeSamplerDepartures = (options: {
  readonly self: string;
  readonly desk: Pick<WatchServer, 'hear' | 'samplers'>;
  readonly file: SamplerFile;
  readonly channels: Channels;
  /** The voters and the number of their electorate; undefined while nothing was founded, and nothing is routed. */
  readonly electorate: () => Pick<Followed, 'voters' | 'electorate'> | undefined;
  readonly members: () => ReadonlyArray<Member>;
}): SamplerDepartures => {
  const { desk, file, channels } = options;
  /** Departures that a majority knows, by sampler: the state that was confirmed, and by which electorate. */
  const confirmed = new Map<string, Confirmed>();

  const tellVoter = async (voter: Voter, sampler: Sampler): Promise<boolean> => {
    if (voter.name === options.self) {
      await file.keepNow(desk.samplers());
      return true;
    }
    const member = options.members().find((each) => each.name === voter.name && each.disk === voter.disk);
    if (!member) return false;
    await channels.call(member.peer, callName, sampler, callMs);
    return true;
  };
  const majority = (voters: ReadonlyArray<Voter>, sampler: Sampler): Promise<boolean> =>
    new Promise((resolve) => {
      const needed = Math.floor(voters.length / 2) + 1;
      let [known, open] = [0, voters.length];
      const heard = (good: boolean): void => {
        if (good) known += 1;
        open -= 1;
        if (known >= needed) resolve(true);
        else if (known + open < needed) resolve(false);
      };
      for (const voter of voters) tellVoter(voter, sampler).then(heard, () => heard(false));
    });
  return {
    confirm: async (sampler) => {
      const now = options.electorate();
      if (!now) return true;
      const before = confirmed.get(sampler.id);
      if (before?.state === sampler.state && before.electorate === now.electorate) return true;
      const known = await majority(now.voters, sampler);
      if (known) confirmed.set(sampler.id, { state: sampler.state, electorate: now.electorate });
      return known;
    },
    take: async (sampler) => {
      desk.hear(sampler);
      await file.keepNow(desk.samplers());
      return {};
    },
  };
};

/** The departures of samplers. */
export const samplerDepartures = { make: makeSamplerDepartures, callName };
