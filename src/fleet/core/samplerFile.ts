import { Effect, type Context } from 'effect';
import { Disk } from '../../shared/disk.js';
import { sealedFiles } from '../../shared/sealedFiles.js';
import type { Sampler } from '../fleetTypes.js';

/**
 * The samplers that a core knew, kept on its disk so that a fleet whose every process ended serves before the samplers
 * announce themselves again. Whatever is lost of it is announced anew; whatever is stale falls silent.
 */
export type SamplerFile = {
  /** What was kept; nothing where there is no file or a damaged one. */
  readonly read: () => Promise<ReadonlyArray<Sampler>>;
  /** Keeps what `samplers` tells, unless it is what was kept last or a write is under way. */
  readonly keep: (samplers: Iterable<Sampler>) => Promise<void>;
  /** Answers once what `samplers` tells lasts; fails where it can't be written. */
  readonly keepNow: (samplers: Iterable<Sampler>) => Promise<void>;
};

const fileName = 'samplers';

/** Makes a core's file of samplers in its data folder. */
export const makeSamplerFile = (disk: Context.Tag.Service<typeof Disk>): SamplerFile => {
  let kept = '';
  let writing: Promise<void> | undefined;
  const run = <A>(work: Effect.Effect<A, unknown, Disk>): Promise<A> =>
    Effect.runPromise(Effect.provideService(work as Effect.Effect<A, Error, Disk>, Disk, disk));
  const write = (samplers: Iterable<Sampler>): Promise<void> => {
    // Those that are gone too: a late beat must not bring back one whose departure was acknowledged.
    const list = [...samplers];
    // A beat alone is no news.
    const news = JSON.stringify(list.map((sampler) => ({ ...sampler, beat: 0 })));
    if (news === kept) return Promise.resolve();
    const body = Buffer.from(JSON.stringify(list));
    writing = run(sealedFiles.write('.', fileName, body)).then(() => void (kept = news));
    return writing.finally(() => (writing = undefined));
  };
  return {
    read: async () => {
      try {
        const text = Buffer.from(await run(sealedFiles.read('.', fileName))).toString();
        return JSON.parse(text) as ReadonlyArray<Sampler>;
      } catch {
        return [];
      }
    },
    keep: async (samplers) => {
      // Where it fails, the next round tries again; until then an older file stands.
      if (!writing) await write(samplers).catch(() => undefined);
    },
    keepNow: async (samplers) => {
      while (writing) await writing.catch(() => undefined);
      await write(samplers);
    },
  };
};
