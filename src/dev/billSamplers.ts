import { makeAnnouncer } from './announce.js';
import { startPlainSampler, type PlainSamplerOptions } from './plainSampler.js';

type Task = {
  readonly cores: ReadonlyArray<string>;
  readonly beatMs: number;
  readonly samplers: ReadonlyArray<PlainSamplerOptions & { readonly id: string; readonly zone: string }>;
};

const task = JSON.parse(process.argv[2]!) as Task;
const announcer = makeAnnouncer(task.cores, task.beatMs);
process.once('disconnect', () => process.exit(0));
for (const { id, zone, ...options } of task.samplers) {
  const { address } = await startPlainSampler(options);
  const { slots, model } = options;
  const told = { id, service: model ? 'texts' : 'ratings', address, zone, slots, state: 'ready' as const };
  const offset = Math.floor(Math.random() * task.beatMs);
  announcer.begin(() => ({ ...told, models: model ? { writer: 1 } : ({} as Record<string, number>) }), offset);
}
