import type { ChildProcess } from 'node:child_process';
import type { HollowAnswer, HollowOrder } from './hollowWords.js';

/** A process of hollow nodes or samplers, as the one that set it up speaks to it. */
export type HollowParty = { readonly pid: number; readonly order: (order: HollowOrder) => Promise<HollowAnswer> };

/** Speaks to a process of hollow nodes or samplers. */
export const hollowParty = (child: ChildProcess): HollowParty => {
  const waiting = new Map<number, (heard: HollowAnswer) => void>();
  let next = 0;
  const ended = new Promise<never>((_, reject) =>
    child.once('exit', (code, signal) => reject(new Error(`a hollow process ended with ${code ?? signal}`))),
  );
  ended.catch(() => undefined);
  child.on('message', ({ index, heard }: { readonly index: number; readonly heard: HollowAnswer }) => {
    waiting.get(index)?.(heard);
    waiting.delete(index);
  });
  return {
    pid: child.pid!,
    order: (order) => {
      const heard = new Promise<HollowAnswer>((resolve) => {
        const index = next++;
        waiting.set(index, resolve);
        child.send({ index, order });
      });
      return Promise.race([heard, ended]);
    },
  };
};
