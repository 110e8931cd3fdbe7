import { faultActs, type FaultKind, type Trouble } from './faultActs.js';
import { lastFaults, type LastFault } from './lastFaults.js';
import type { Seen } from './clients.js';
import type { SimFleet } from './simFleet.js';
import type { World } from './world.js';

/** When faults may happen, and which. */
export type FaultPlan = {
  readonly from: number;
  readonly until: number;
  readonly meanMs: number;
  readonly only?: ReadonlyArray<FaultKind>;
  /** How many may happen at the most: the first so many of the seed's. */
  readonly most?: number;
  readonly operate: Trouble['operate'];
};

/** How long after a fault's end the fleet may still be finding its feet: a full lease and a takeover. */
const restMs = 9000;

/** Lets faults happen; tells how often each really occurred, when the fleet was calm, and undoes what lasts. */
export const makeFaults = (world: World, fleet: SimFleet, plan: FaultPlan) => {
  const counts = new Map<string, number>();
  const history: string[] = [];
  const undo: Array<() => void> = [];
  const spans: Array<{ readonly from: number; until: number }> = [];
  let damagedAt = -Infinity;

  const trouble: Trouble = {
    world,
    fleet,
    operate: plan.operate,
    lasting: (ms, end) => {
      undo.push(end);
      world.after(ms, end);
      spans.push({ from: world.now(), until: world.now() + ms });
    },
    restart: (machine, downMs) => {
      machine.process.kill();
      spans.push({ from: world.now(), until: world.now() + downMs });
      world.after(downMs, () => {
        if (!machine.process.alive() && !machine.gone) machine.start();
      });
    },
    disturbed: (ms) => void spans.push({ from: world.now(), until: world.now() + ms }),
    mayDamage: () => {
      if (world.now() - damagedAt < 12_000 || !fleet.whole()) return false;
      damagedAt = world.now();
      return true;
    },
    armed: { count: 0 },
  };
  const act = faultActs(trouble);
  const note = (kind: string, what: string): void => {
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
    history.push(`${(world.now() / 1000).toFixed(3)} ${kind}: ${what}`);
  };
  const choices = faultActs.weights.filter(([kind]) => plan.only === undefined || plan.only.includes(kind));
  const total = choices.reduce((sum, [, weight]) => sum + weight, 0);
  const next = (): void => {
    if (world.now() >= plan.until || history.length >= (plan.most ?? Infinity)) return;
    let place = world.chance() * total;
    const [kind] = choices.find(([, weight]) => (place -= weight) < 0) ?? choices[0]!;
    const what = act[kind]();
    if (what !== undefined) note(kind, what);
    world.after(-Math.log(1 - world.chance()) * plan.meanMs, next);
  };
  if (choices.length > 0) world.after(plan.from - world.now(), next);

  return {
    counts,
    history,
    /** Whether nothing had been wrong for a while. */
    calm: (at: number): boolean => !spans.some((span) => span.from <= at && at <= span.until + restMs),
    /** What follows upon an acknowledgement, when a fault waits for one. */
    acknowledged: (seen: Seen): void => {
      if (trouble.armed.count === 0) return;
      trouble.armed.count -= 1;
      note('power lost on acknowledgement', `${act.onAcknowledged()} after ${seen.kind}`);
    },
    heal: () => {
      for (const end of undo) end();
      fleet.net.heal();
      for (const machine of fleet.machines.values()) if (!machine.process.alive() && !machine.gone) machine.start();
      trouble.disturbed(0);
    },
    last: (kind: LastFault): void => note(`last: ${kind}`, lastFaults[kind](trouble)),
  };
};

/** The faults of one day. */
export type Faults = ReturnType<typeof makeFaults>;
