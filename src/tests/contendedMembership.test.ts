import { expect, test } from '@jest/globals';
import { Effect } from 'effect';
import type { Register } from '../core/register.js';
import { membershipReconciler } from '../fleet/core/membershipReconciler.js';
import type { Member } from '../fleet/fleetTypes.js';
import { makeLogCluster, type LogCluster } from '../sim/logCluster.js';
import { memberOf } from './memberOf.js';

const founders = ['a', 'b', 'c'];
const successor = 'd';
const keptSequences = 16;
const goneAfterMs = 3000;
const ticks = 10;

/** The log as it is where an operator's change is decided each time just before the next step of the reconciler. */
const contended = (cluster: LogCluster): Register => {
  const { register } = cluster.core('a');
  return {
    ...register,
    change: (bytes) =>
      Effect.zipRight(
        Effect.promise(() => cluster.change('b', 1)),
        register.change(bytes),
      ),
  };
};

// Guards against a lost voter that is not succeeded as long as operators keep changing the configuration.
test('a voter that is gone is replaced though other changes are always decided first', async () => {
  const cluster = makeLogCluster(keptSequences);
  for (const name of [...founders, successor]) await cluster.add(name);
  await cluster.found(founders);
  const present = ['a', 'b', successor].map((name): Member => ({
    ...memberOf(name, 'core'),
    disk: cluster.core(name).disk,
  }));
  let now = 0;
  const outcomes: string[] = [];
  const reconciler = membershipReconciler.make({
    register: contended(cluster),
    channels: undefined as never,
    members: () => present,
    tolerance: 1,
    held: () => true,
    now: () => now,
    event: (_name, { step, outcome }) => void outcomes.push(`${step} ${outcome}`),
  });
  const [gone] = cluster
    .core('a')
    .register.known()!
    .configuration.voters.filter(({ name }) => name === 'c');
  present.push({ ...memberOf(gone!.name, 'core'), disk: gone!.disk });
  await reconciler.tick();
  present.pop();
  cluster.stop('c');
  now = goneAfterMs;
  for (let nth = 0; nth < ticks && !outcomes.includes('replace_voter accepted'); nth += 1) await reconciler.tick();
  expect(outcomes).toContain('replace_voter accepted');
});
