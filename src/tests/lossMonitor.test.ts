import { describe, expect, test } from '@jest/globals';
import { makeCallMetrics } from '../edge/callMetrics.js';
import { lossMonitor } from '../fleet/core/lossMonitor.js';
import type { Member, Role } from '../fleet/fleetTypes.js';
import { lossMargin } from '../policy/lossMargin.js';
import { configuration, type Configuration } from '../shared/configuration.js';
import { memberOf } from './memberOf.js';

const tolerance = 2;
const withDisk = (name: string, role: Role): Member => ({ ...memberOf(name, role), disk: `${name}-disk` });
const named = (prefix: string, count: number, role: Role): ReadonlyArray<Member> =>
  Array.from({ length: count }, (_, place) => withDisk(`${prefix}${place + 1}`, role));
const seatsOf = (members: ReadonlyArray<Member>) => members.map(({ name, disk }) => ({ name, disk }));

/** A monitor over members and a configuration that a test changes. */
const monitored = (cores: number, stores: number) => {
  let members = [...named('core-', cores, 'core'), ...named('store-', stores, 'store')];
  let now = 0;
  const state: { configuration: Configuration } = {
    configuration: {
      ...configuration.founded(seatsOf(members.slice(0, cores))),
      stores: { epoch: 1, current: seatsOf(members.slice(cores)), previous: [] },
    },
  };
  const events: string[] = [];
  const metrics = makeCallMetrics('a');
  const monitor = lossMonitor.make({
    configuration: () => state.configuration,
    members: () => members,
    tolerance,
    reports: () => true,
    now: () => now,
    event: (name, { group, role, margin }) => events.push(`${name} ${group ?? role} ${margin ?? ''}`.trim()),
    show: metrics.showLossMargins,
  });
  return {
    state,
    metrics,
    lose: (name: string) => (members = members.filter((member) => member.name !== name)),
    add: (member: Member) => (members = [...members, member]),
    after: (ms: number): ReadonlyArray<string> => {
      now += ms;
      monitor.tick();
      return events.splice(0);
    },
  };
};

describe('the margin of losses', () => {
  const five = seatsOf(named('core-', 5, 'core'));
  const all = (): boolean => true;
  test('is what a majority can spare', () => {
    const sizes = [1, 2, 3, 4, 5, 6, 7];
    const seats = seatsOf(named('core-', 7, 'core'));
    expect(sizes.map((size) => lossMargin.ofGroup(seats.slice(0, size), all))).toEqual([0, 0, 1, 1, 2, 2, 3]);
    expect(lossMargin.ofGroup(five, ({ name }) => name === 'core-1')).toBe(-2);
  });
  test('of stores is that of the batch with the most copies on absent ones', () => {
    const nine = seatsOf(named('store-', 9, 'store'));
    const without = (absent: ReadonlyArray<string>) =>
      lossMargin.ofStores(nine, ({ name }) => !absent.includes(name), 5);
    expect(without([])).toBe(2);
    expect(without(['store-9'])).toBe(1);
    expect(without(['store-1', 'store-5', 'store-9'])).toBe(-1);
  });
});

describe('the monitor of losses', () => {
  // Guards against a fleet that bears fewer losses than it promises and says nothing.
  test('reports once when less than the promise can be borne, and once when it can again', () => {
    const fleet = monitored(5, 5);
    expect(fleet.after(1000)).toEqual([]);
    fleet.lose('core-2');
    expect(fleet.after(1000)).toEqual(['losses_below_promise voters 1']);
    expect(fleet.after(1000)).toEqual([]);
    fleet.add(withDisk('core-2', 'core'));
    expect(fleet.after(1000)).toEqual(['losses_as_promised voters 2']);
  });
  test('counts a voter that came back with another disk as lost', () => {
    const fleet = monitored(5, 5);
    fleet.lose('core-2');
    fleet.add({ ...withDisk('core-2', 'core'), disk: 'another' });
    expect(fleet.after(1000)).toEqual(['losses_below_promise voters 1']);
  });
  test('reports too few machines once, when their number stands still', () => {
    const fleet = monitored(4, 5);
    expect(fleet.after(1000)).toEqual(['losses_below_promise voters 1']);
    expect(fleet.after(lossMonitor.standstillMs - 1)).toEqual([]);
    expect(fleet.after(1)).toEqual(['too_few_machines core']);
    expect(fleet.after(lossMonitor.standstillMs)).toEqual([]);
    fleet.add(withDisk('core-5', 'core'));
    expect(fleet.after(1000)).toEqual([]);
    expect(fleet.after(lossMonitor.standstillMs)).toEqual([]);
  });
  test('shows each group as a metric, and none that is gone', async () => {
    const fleet = monitored(5, 6);
    const { stores } = fleet.state.configuration;
    fleet.state.configuration = { ...fleet.state.configuration, stores: { ...stores, previous: stores.current } };
    fleet.lose('store-1');
    fleet.after(1000);
    const shown = async (): Promise<ReadonlyArray<string>> =>
      (await fleet.metrics.text()).split('\n').filter((line) => line.startsWith('foxdeck_loss_margin{'));
    expect(await shown()).toEqual([
      'foxdeck_loss_margin{group="voters"} 2',
      'foxdeck_loss_margin{group="stores"} 1',
      'foxdeck_loss_margin{group="former_stores"} 1',
    ]);
    fleet.state.configuration = { ...fleet.state.configuration, stores };
    fleet.after(1000);
    expect((await shown()).length).toBe(2);
  });
});
