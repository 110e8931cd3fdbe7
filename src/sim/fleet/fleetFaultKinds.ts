/** What may go wrong in a simulated day. */
export type FleetFaultKind =
  | 'kill'
  | 'powerLoss'
  | 'freeze'
  | 'cutOne'
  | 'cutOneWay'
  | 'cutHalves'
  | 'lostAnswers'
  | 'reset'
  | 'slowLink'
  | 'slowDisk'
  | 'stalledDisk'
  | 'clockJump'
  | 'terminate'
  | 'wipe'
  | 'wipeWhileOthersLosePower'
  | 'wipeAllTolerated'
  | 'wipeAllToleratedWhileOthersLosePower'
  | 'replaceCore'
  | 'addMachine'
  | 'retireStore'
  | 'killAll'
  | 'powerLossOfAll'
  | 'powerLossAfterAcknowledgement'
  | 'samplerCrash'
  | 'samplerDeparture';

/** How often each kind is drawn beside the others. */
const weights: Readonly<Record<FleetFaultKind, number>> = {
  kill: 4,
  powerLoss: 3,
  freeze: 3,
  cutOne: 3,
  cutOneWay: 3,
  cutHalves: 2,
  lostAnswers: 2,
  reset: 2,
  slowLink: 1,
  slowDisk: 2,
  stalledDisk: 2,
  clockJump: 2,
  terminate: 1,
  wipe: 1.5,
  wipeWhileOthersLosePower: 0.7,
  wipeAllTolerated: 1.5,
  wipeAllToleratedWhileOthersLosePower: 0.7,
  replaceCore: 1,
  addMachine: 0.5,
  retireStore: 1.5,
  killAll: 0.7,
  powerLossOfAll: 0.7,
  powerLossAfterAcknowledgement: 1.5,
  samplerCrash: 1,
  samplerDeparture: 3,
};
/** Takes more than one disk at once, where more may be lost. */
const severalDisksLost: ReadonlySet<string> = new Set<FleetFaultKind>([
  'wipeAllTolerated',
  'wipeAllToleratedWhileOthersLosePower',
]);
/** Takes a disk at least. */
const disksLost: ReadonlySet<string> = new Set([
  'wipe',
  'wipeWhileOthersLosePower',
  'replaceCore',
  ...severalDisksLost,
]);

/** The kinds of faults and what is known of each. */
export const faultKinds = { weights, severalDisksLost, disksLost };
