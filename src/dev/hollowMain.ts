import type { FleetView } from '../fleet/watcher.js';
import { makeAnnouncer } from './announce.js';
import { startHollowNode } from './hollowNodes.js';
import type { HollowAnswer, HollowOrder, HollowSight, HollowTask } from './hollowWords.js';

type Asked = { readonly index: number; readonly order: HollowOrder };
type Party = { readonly take: (order: HollowOrder, answer: (heard: Partial<HollowAnswer>) => void) => void };

const known = (what: HollowSight, { members, samplers, followed }: FleetView): boolean => {
  if (what.sight === 'traffic') return followed?.traffic?.version === what.version;
  if (what.sight === 'noNode') return !members.has(what.name);
  if (what.sight === 'doubted') return samplers.get(what.name)?.quiet === true;
  if (what.sight === 'draining') return samplers.get(what.name)?.state === 'draining';
  if (what.sight === 'rolled')
    return [...samplers.values()].every((each) => each.quiet || (each.models['writer'] ?? 0) >= what.version);
  return members.size >= what.nodes && samplers.size >= what.samplers;
};

const nodesOf = (task: HollowTask): Party => {
  const nodes = new Map(
    Array.from({ length: task.count }, (_, place) => {
      const name = `hollow-${task.first + place}`;
      const zone = `zone-${((task.first + place) % task.zones) + 1}`;
      return [name, startHollowNode({ name, zone, cores: task.cores })] as const;
    }),
  );
  let [gone, changes] = [{ calls: 0, bytes: 0 }, 0];
  for (const { watcher } of nodes.values()) watcher.onChange(() => (changes += 1));
  return {
    take: (order, answer) => {
      if (order.kind === 'counts') {
        const counts = [...nodes.values()].map((node) => node.counts());
        return answer({
          calls: counts.reduce((sum, each) => sum + each.calls, gone.calls),
          bytes: counts.reduce((sum, each) => sum + each.bytes, gone.bytes),
          changes,
        });
      }
      if (order.kind === 'lose') {
        const node = nodes.get(order.name);
        if (node) gone = { calls: gone.calls + node.counts().calls, bytes: gone.bytes + node.counts().bytes };
        nodes.delete(order.name);
        node?.stop();
        return answer({});
      }
      if (order.kind !== 'await') return answer({});
      const waiting = new Set(nodes.keys());
      const began = Date.now();
      let lastAt = 0;
      const timer = setInterval(() => {
        for (const name of waiting) {
          const node = nodes.get(name);
          if (node && !known(order.what, node.watcher.view())) continue;
          waiting.delete(name);
          lastAt = Date.now();
        }
        if (waiting.size > 0 && Date.now() - began < order.mostMs) return;
        clearInterval(timer);
        answer({ lastAt, lacking: waiting.size });
      }, 10);
    },
  };
};

const samplersOf = (task: HollowTask): Party => {
  const announcer = makeAnnouncer(task.cores, task.beatMs);
  const states = new Map<string, 'ready' | 'draining' | 'lost'>();
  const versions = new Map<string, number>();
  const told = (id: string, place: number) => ({
    id,
    service: 'texts',
    address: `127.0.0.1:${20_000 + place}`,
    zone: `zone-${(place % task.zones) + 1}`,
    slots: 4,
    state: states.get(id) === 'draining' ? ('draining' as const) : ('ready' as const),
    models: { writer: versions.get(id) ?? 1 },
  });
  const places = Array.from({ length: task.count }, (_, place) => task.first + place);
  const idOf = (place: number): string => `sampler-${place}`;
  const say = (place: number) => (states.get(idOf(place)) === 'lost' ? undefined : told(idOf(place), place));
  for (const place of places) announcer.begin(() => say(place), (place * 7919) % task.beatMs);
  return {
    take: (order, answer) => {
      if (order.kind === 'lose') states.set(order.name, 'lost');
      if (order.kind === 'drain') {
        states.set(order.name, 'draining');
        announcer.once(say(Number(order.name.slice('sampler-'.length)))!);
      }
      if (order.kind === 'roll')
        places.forEach((place, nth) =>
          setTimeout(
            () => {
              versions.set(idOf(place), order.version);
              const told = say(place);
              if (told) announcer.once(told);
            },
            (order.overMs * nth) / places.length,
          ),
        );
      const { beats, failed } = announcer.counts();
      answer({ calls: beats, failed });
    },
  };
};

const task = JSON.parse(process.argv[2]!) as HollowTask;
const party = task.kind === 'nodes' ? nodesOf(task) : samplersOf(task);
process.once('disconnect', () => process.exit(0));
process.on('message', ({ index, order }: Asked) => {
  const at = Date.now();
  const blank: HollowAnswer = { at, lastAt: 0, lacking: 0, calls: 0, bytes: 0, changes: 0, failed: 0 };
  party.take(order, (heard) => process.send!({ index, heard: { ...blank, ...heard } }));
});
