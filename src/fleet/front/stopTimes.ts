/** When a front that was told to stop closes what is idle and when it ends, in milliseconds from the signal. */
export type StopTimes = { readonly closeMs: number; readonly endMs: number };

/** By then the platform has noticed twice that the front is not ready, and sends no new connection. */
const unreadyMs = 2300;
const closeShare = 0.3;
/** What the last steps of a stop take. */
const lastStepsMs = 1200;
/** An answer that is still under way in the last sixth of the grace may be cut, and none before it. */
const servedShare = 5 / 6;
const servedSlackMs = 50;

/** The times of a stop within a grace: the front serves into the last sixth of it, however short it is. */
export const stopTimesOf = (graceMs: number): StopTimes => ({
  closeMs: Math.min(unreadyMs, graceMs * closeShare),
  endMs: Math.max(graceMs - lastStepsMs, graceMs * servedShare + servedSlackMs),
});
