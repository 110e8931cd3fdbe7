import { httpCalls } from './httpCalls.js';
import type { VirtualFleet, VirtualMachine } from './virtualFleet.js';
import type { OutsideWorld } from './virtualWorld.js';

const controlMs = 1200;
const againMs = 300;

/** Has a store emptied by the control calls; `emptied` hears once the fleet says that nothing rests on it any more. */
export const retireStore = (
  world: OutsideWorld,
  fleet: VirtualFleet,
  store: VirtualMachine,
  emptied: () => void,
): void => {
  const name = `planner-of-${store.name}`;
  const process = world.spawn(name);
  const control = (): string => fleet.controlOf(world.pick(fleet.of('core').filter((core) => core.running())));
  const path = `/foxdeck/stores/${store.name}`;
  const run = async (): Promise<void> => {
    const calls = httpCalls(fleet.network.transport({ name, lit: () => true }, process));
    for (;;) {
      const { status } = await calls.call(control(), 'POST', path, {}, '', controlMs);
      if (status === 409) return;
      if (status === 200) break;
      await world.sleep(againMs);
    }
    for (;;) {
      const { status, body } = await calls.call(control(), 'GET', path, {}, '', controlMs);
      if (status === 200 && (JSON.parse(body) as { done: boolean }).done) return emptied();
      await world.sleep(againMs);
    }
  };
  world.schedule(process, 0, () => void run());
};
