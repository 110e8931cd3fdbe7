import { loopbackFleet } from './loopbackFleet.js';

/** Ordinary requests with short answers, so many at once, to each front in turn; fails when one is not answered. */
export const runBillAsks = async (
  fronts: ReadonlyArray<string>,
  asks: { readonly count: number; readonly atOnce: number; readonly bodyBytes: number },
): Promise<void> => {
  const body = 'a'.repeat(asks.bodyBytes);
  let next = 0;
  const worker = async (): Promise<void> => {
    while (next < asks.count) {
      const place = next++;
      const headers = { host: 'rate.fleet', 'foxdeck-attempt': `ask-${place}`, 'foxdeck-time-left': '5000' };
      const heard = await loopbackFleet.call(fronts[place % fronts.length]!, 'POST', '/rate', headers, body);
      if (heard.status !== 200) throw new Error(`ask ${place} was answered with ${heard.status}: ${heard.body}`);
    }
  };
  await Promise.all(Array.from({ length: asks.atOnce }, worker));
};
