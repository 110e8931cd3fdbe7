import type { Voter } from '../../core/paxos.js';
import { lossMargin } from '../../policy/lossMargin.js';
import { placement } from '../../policy/placement.js';
import type { Configuration } from '../../shared/configuration.js';
import type { Fields } from '../../shared/log.js';
import type { Member, Role } from '../fleetTypes.js';

/** Watches how many disks may still be lost, beside how many the deployment promises to bear. */
export type LossMonitor = { readonly tick: () => void };

/** Replicas that hold acknowledged state together. */
type Group = { readonly name: 'voters' | 'stores' | 'former_stores'; readonly size: number; readonly margin: number };
type Standing = { readonly count: number; readonly since: number; readonly told: boolean };

/** A number of machines that did not change for this long is what the deployment has. */
const standstillMs = 10_000;

/** Makes the monitor of one core. */
const makeLossMonitor = (options: {
  readonly configuration: () => Configuration | undefined;
  readonly members: () => ReadonlyArray<Member>;
  readonly tolerance: number;
  /** Whether this core writes the events; all of them show the metric. */
  readonly reports: () => boolean;
  readonly now: () => number;
  readonly event: (name: string, fields: Fields) => void;
  readonly show: (margins: ReadonlyMap<string, number>) => void;
}): LossMonitor => {
  const { tolerance, now } = options;
  const copies = placement.copies(tolerance);
  const short = new Set<Group['name']>();
  const standing = new Map<Role, Standing>();

  const groupsOf = ({ voters, stores }: Configuration): ReadonlyArray<Group> => {
    const present = new Set(options.members().map(placement.key));
    const isPresent = (member: Voter): boolean => present.has(placement.key(member));
    const view = (name: Group['name'], members: ReadonlyArray<Voter>): ReadonlyArray<Group> =>
      members.length === 0
        ? []
        : [{ name, size: members.length, margin: lossMargin.ofStores(members, isPresent, copies) }];
    return [
      { name: 'voters', size: voters.length, margin: lossMargin.ofGroup(voters, isPresent) },
      ...view('stores', stores.current),
      ...view('former_stores', stores.previous),
    ];
  };
  const report = ({ name, size, margin }: Group): void => {
    const fields = { group: name, size, margin, promised: tolerance };
    if (margin < tolerance && !short.has(name)) {
      short.add(name);
      options.event('losses_below_promise', fields);
    }
    if (margin >= tolerance && short.delete(name)) options.event('losses_as_promised', fields);
  };
  /** Too few machines of a role, though their number stands still, keep the promise from ever being met. */
  const watchStandstill = (role: Role): void => {
    const count = options.members().filter((member) => member.role === role && member.disk !== '').length;
    const before = standing.get(role);
    if (before?.count !== count) return void standing.set(role, { count, since: now(), told: false });
    if (before.told || count >= copies || now() - before.since < standstillMs) return;
    standing.set(role, { ...before, told: true });
    options.event('too_few_machines', { role, count, needed: copies, promised: tolerance });
  };

  return {
    tick: () => {
      const configuration = options.configuration();
      if (!configuration) return;
      const groups = groupsOf(configuration);
      options.show(new Map(groups.map(({ name, margin }) => [name, margin])));
      if (!options.reports()) return;
      groups.forEach(report);
      for (const name of short) if (!groups.some((group) => group.name === name)) short.delete(name);
      watchStandstill('core');
      watchStandstill('store');
    },
  };
};

/** The monitor of losses that can still be borne. */
export const lossMonitor = { make: makeLossMonitor, standstillMs };
