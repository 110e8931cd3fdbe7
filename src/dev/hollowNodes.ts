import { makeChannels, type Channels } from '../edge/channels.js';
import { watchers, type Watcher } from '../fleet/watcher.js';
import type { Member } from '../fleet/fleetTypes.js';

/** A node that does nothing but follow the cores, with channels of its own. */
export type HollowNode = {
  readonly name: string;
  readonly watcher: Watcher;
  readonly counts: () => { readonly calls: number; readonly bytes: number };
  readonly stop: () => void;
};

/** Starts a hollow front that knows some cores by their peer addresses. */
export const startHollowNode = (options: {
  readonly name: string;
  readonly zone: string;
  readonly cores: ReadonlyArray<string>;
  readonly channels?: Channels;
  readonly now?: () => number;
}): HollowNode => {
  const channels = options.channels ?? makeChannels();
  const self: Member = {
    name: options.name,
    role: 'front',
    zone: options.zone,
    peer: '127.0.0.1:9',
    disk: '',
    state: 'ready',
    incarnation: Date.now(),
    sequence: 0,
    coreFresh: false,
  };
  let [calls, stopped] = [0, false];
  const counted: Channels = {
    ...channels,
    call: (address, name, body, timeLeftMs) => {
      calls += 1;
      // A lost node asks nothing more.
      return stopped ? new Promise(() => undefined) : channels.call(address, name, body, timeLeftMs);
    },
  };
  const watcher = watchers.make({
    channels: counted,
    seeds: options.cores,
    self: () => self,
    now: options.now ?? (() => performance.now()),
  });
  return {
    name: options.name,
    watcher,
    counts: () => {
      const { sent, received } = channels.bytes();
      return { calls, bytes: sent + received };
    },
    stop: () => {
      stopped = true;
      watcher.stop();
      channels.close();
    },
  };
};
