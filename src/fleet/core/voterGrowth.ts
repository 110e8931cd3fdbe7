import type { Configuration } from '../../shared/configuration.js';
import type { Member } from '../fleetTypes.js';

/** Tells when a log that was founded by few voters has as many as the promised losses need. */
export type VoterGrowth = {
  /** Resolves once the voters are enough, or are not going to be more. */
  readonly settled: () => Promise<void>;
};

/** After the first start of a fleet cores are expected for this long. */
const firstCoresMs = 5000;
/** Nothing waits for longer than this for voters that could join. */
const growthMostMs = 10_000;
const pollMs = 20;

/** Makes the growth of one core's voters, as this core knows them. */
const makeVoterGrowth = (options: {
  readonly configuration: () => Configuration | undefined;
  readonly members: () => ReadonlyArray<Member>;
  /** How many voters the promised losses need. */
  readonly wanted: number;
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  readonly now: () => number;
}): VoterGrowth => {
  const { now, wanted } = options;
  const startedAt = now();
  let shortSince: number | undefined;

  const mayJoin = (voters: Configuration['voters']): boolean =>
    options
      .members()
      .some(
        ({ name, role, disk, state }) =>
          role === 'core' && disk !== '' && state === 'ready' && !voters.some((voter) => voter.name === name),
      );
  const isGrowing = (): boolean => {
    const voters = options.configuration()?.voters ?? [];
    if (voters.length >= wanted) {
      shortSince = undefined;
      return false;
    }
    shortSince ??= now();
    if (now() - shortSince > growthMostMs) return false;
    return mayJoin(voters) || (options.firstStart && now() - startedAt < firstCoresMs);
  };
  return {
    settled: async () => {
      while (isGrowing()) await new Promise((resolve) => setTimeout(resolve, pollMs));
    },
  };
};

/** The growth of the voters after a log was founded. */
export const voterGrowth = { make: makeVoterGrowth };
