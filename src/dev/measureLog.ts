import { Effect } from 'effect';
import { makeLogCluster, type Files } from '../sim/logCluster.js';

const keepSequences = 16;
const sizes = (process.argv[2] ?? '10,1000,10000').split(',').map(Number);

const bytesOf = (files: Files): number => [...files.values()].reduce((sum, bytes) => sum + bytes.length, 0);
const timed = async (work: () => Promise<unknown>): Promise<string> => {
  const start = performance.now();
  await work();
  return `${(performance.now() - start).toFixed(1)} ms`;
};

/** What a core keeps after so many changes, and how long those who were away take; on disks in memory. */
const measure = async (changes: number): Promise<string> => {
  const cluster = makeLogCluster(keepSequences);
  for (const name of ['a', 'b', 'c']) await cluster.add(name);
  await cluster.found(['a', 'b', 'c']);
  await cluster.change('a', 1);
  cluster.stop('c');
  const each = await timed(() => cluster.change('a', changes));
  const { files, records } = cluster.core('b');
  const away = await timed(async () => {
    const back = await cluster.restart('c');
    await Effect.runPromise(back.register.latest);
  });
  const restart = await timed(() => cluster.restart('b'));
  await cluster.add('d');
  const join = await timed(() => cluster.replace('a', 'c', 'd'));
  const row = [changes, each, records.size(), files.size, bytesOf(files), restart, away, join];
  return `| ${row.join(' | ')} |`;
};

process.stdout.write(
  '| changes | all of them | records | files | bytes on disk | restart | back from away | joining voter |\n',
);
process.stdout.write('| --- | --- | --- | --- | --- | --- | --- | --- |\n');
for (const size of sizes) process.stdout.write(`${await measure(size)}\n`);
