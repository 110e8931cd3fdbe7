import type { LotItem } from '../fleet/fleetTypes.js';
import { loopbackFleet } from './loopbackFleet.js';
import { plainText } from './plainText.js';

/** What the trainer hands in. */
export type BillWork = {
  readonly lots: number;
  readonly items: number;
  readonly group: number;
  readonly promptBytes: number;
  /** How many lots are under way at once. */
  readonly atOnce: number;
};

const waitMs = 900;
const mostMs = 45_000;

/** A stand-in trainer: hands lots in, reads their results by long reads, and ends them; answers how many came whole. */
export const runBillTrainer = async (
  fronts: ReadonlyArray<string>,
  work: BillWork,
): Promise<{ readonly completed: number; readonly abandoned: number; readonly ms: number }> => {
  const prompt = (): string => Buffer.from(plainText(work.promptBytes)).toString('base64');
  const began = performance.now();
  let [completed, abandoned, next] = [0, 0, 0];
  const run = async (place: number): Promise<void> => {
    const lot = `lot-${place}`;
    const front = (nth: number): string => fronts[(place + nth) % fronts.length]!;
    const items = Array.from({ length: work.items }, (_, at): LotItem => ({
      id: `${lot}-item-${at}`,
      path: '/texts',
      headers: { 'content-type': 'text/plain' },
      body: prompt(),
      tokens: 500,
      prompt: 100,
      group: `group-${Math.floor(at / work.group)}`,
      rating: { id: `${lot}-rating-${at}`, host: 'rate.fleet', path: '/rate', body: prompt() },
    }));
    const wanted = Math.ceil(work.items / work.group);
    const body = JSON.stringify({ model: 'writer', step: place, wanted, minVersion: 1, items });
    const headers = { host: 'lots.fleet', 'foxdeck-attempt': lot, 'content-type': 'application/json' };
    const handed = await loopbackFleet.call(front(0), 'POST', '/lots', headers, body);
    if (handed.status !== 202) throw new Error(`${lot} was answered with ${handed.status}: ${handed.body}`);
    for (let [after, nth] = [0, 0]; after < work.items; nth += 1) {
      if (performance.now() - began > mostMs) throw new Error(`${lot}: ${after} results within ${mostMs} ms`);
      const path = `/foxdeck/lots/${lot}?after=${after}`;
      const heard = await loopbackFleet.call(front(nth), 'GET', path, { 'foxdeck-wait': String(waitMs) });
      if (heard.status !== 200) continue;
      const { results } = JSON.parse(heard.body) as { readonly results: ReadonlyArray<{ readonly state: string }> };
      after += results.length;
      completed += results.filter((each) => each.state === 'completed').length;
      abandoned += results.filter((each) => each.state === 'abandoned').length;
    }
    await loopbackFleet.call(front(1), 'DELETE', `/foxdeck/lots/${lot}`);
  };
  const worker = async (): Promise<void> => {
    while (next < work.lots) await run(next++);
  };
  await Promise.all(Array.from({ length: work.atOnce }, worker));
  return { completed, abandoned, ms: performance.now() - began };
};
