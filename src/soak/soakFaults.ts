import type { FleetFaultKind } from '../sim/fleet/fleetFaultKinds.js';
import type { ExtraFault, FaultTools } from '../sim/fleet/fleetFaults.js';
import type { Role } from '../fleet/fleetTypes.js';
import type { SpoiltHow } from './spoiltAnswers.js';
import type { RealWorld } from './realWorld.js';
import type { SoakFleet } from './soakFleet.js';
import type { SoakMachine } from './soakMachine.js';

/** The simulator's faults that processes on loopback can suffer. */
const simulatedKinds: ReadonlyArray<FleetFaultKind> = [
  'kill',
  'freeze',
  'reset',
  'slowDisk',
  'stalledDisk',
  'terminate',
  'wipe',
  'wipeAllTolerated',
  'replaceCore',
  'addMachine',
  'retireStore',
  'killAll',
  'samplerCrash',
  'samplerDeparture',
];

const calmMs = 8000;
const spoiltHows: ReadonlyArray<SpoiltHow> = ['surplus', 'copy', 'status', 'stamp'];
const machinesOfRoleMost = 4;

/** Makes the faults that only real processes suffer: signals in series and overlapping, full disks, odd samplers. */
const makeSoakFaults =
  (world: RealWorld, fleet: () => SoakFleet, processesMost: number) =>
  ({ some, span, lasting, down, calmThenWipe }: FaultTools): Readonly<Record<string, ExtraFault>> => {
    const machineOf = (name: string): SoakMachine => fleet().machines.find((machine) => machine.name === name)!;
    const running = (): ReadonlyArray<SoakMachine> => fleet().machines.filter((machine) => machine.running());
    const sampler = (): number => Math.floor(world.chance() * fleet().samplers);
    const restart = async (machine: SoakMachine): Promise<void> => {
      await machine.terminate();
      if (machine.running()) machine.start();
    };
    const restartInTurn = async (machines: ReadonlyArray<SoakMachine>, gapMs: number): Promise<void> => {
      for (const machine of machines) {
        await restart(machine);
        await world.sleep(gapMs);
      }
    };
    const hangUp = (): string => {
      const chosen = running().filter(() => world.chance() < 0.5);
      for (const machine of chosen) machine.hangUp();
      return chosen.map((machine) => machine.name).join(' ');
    };
    const killAgain = (): string => {
      const machine = some();
      machine.kill();
      const times = 2 + Math.floor(world.chance() * 3);
      let at = 0;
      for (let nth = 0; nth < times; nth += 1) {
        at += span(50, 400);
        world.schedule(world.outside, at, () => {
          if (machine.running()) machine.start();
        });
      }
      down(machine, at + 100);
      return `${machine.name}, ${times} times`;
    };
    const restartRole = (): string => {
      const role = world.pick<Role>(['front', 'store', 'core']);
      const machines = running().filter((machine) => machine.role === role);
      const gapMs = span(200, 1500);
      lasting(
        machines.length * (gapMs + 3000),
        machines.map((each) => each.name),
        () => undefined,
      );
      void restartInTurn(machines, gapMs);
      return `${role}s in turn, ${gapMs.toFixed(0)} ms between`;
    };
    const terminateAll = (): string => {
      for (const machine of running()) {
        void machine.terminate();
        down(machine, machine.settings.bounds.graceMs + span(100, 1500));
      }
      return 'every process';
    };
    const fullDisk = (): string => {
      const machine = machineOf(world.pick(running().filter((each) => each.settings.data !== undefined)).name);
      machine.trouble({ disk: { full: true } });
      lasting(span(500, 4000), [machine.name], () => machine.trouble({ disk: { full: false } }));
      return machine.name;
    };
    const addFront = (): string | undefined => {
      const fronts = running().filter((machine) => machine.role === 'front');
      if (running().length >= processesMost) return undefined;
      const machine = fleet().add('front');
      machine.start();
      if (fronts.length < machinesOfRoleMost) return machine.name;
      const leaving = world.pick(fronts);
      void leaving.terminate().then(() => leaving.leave());
      return `${machine.name} in place of ${leaving.name}`;
    };
    return {
      hangUp: { weight: 3, act: hangUp },
      killAgain: { weight: 2, act: killAgain },
      restartRole: { weight: 1.5, act: restartRole },
      terminateAll: { weight: 0.5, act: terminateAll },
      fullDisk: { weight: 1.5, act: fullDisk },
      replaceFront: { weight: 1, act: addFront },
      calmThenWipe: {
        weight: 2,
        act: () => {
          calmThenWipe(calmMs);
          return `${calmMs} ms`;
        },
      },
      samplerSilence: { weight: 1, act: () => fleet().silenceSampler(sampler(), span(1000, 6000)) },
      samplerSpoils: {
        weight: 3,
        act: () => {
          const oneIn = 2 + Math.floor(world.chance() * 20);
          return fleet().spoilSampler(sampler(), world.pick(spoiltHows), oneIn, span(1000, 6000));
        },
      },
      samplerSlow: { weight: 1, act: () => fleet().slowSampler(sampler(), span(2, 20), span(1000, 6000)) },
    };
  };

/** The faults of a soak. */
export const soakFaults = { simulatedKinds, make: makeSoakFaults };
