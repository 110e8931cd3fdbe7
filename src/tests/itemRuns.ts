import { runItem, type RunEnd } from '../fleet/front/itemRun.js';
import { makeSamplerClient } from '../fleet/samplerClient.js';
import { plainDialect } from './plainDialect.js';
import { virtualSamplers } from './virtualSamplers.js';

/** Runs an item at the sampler of an address, once; answers how the run ended. */
const once = async (address: string, client = makeSamplerClient(4)): Promise<RunEnd> => {
  const item = { id: 'q', path: '/p', headers: {}, body: '', tokens: 10, prompt: 1, group: 'g' };
  const grant = { lot: 'l', host: 'h', item, single: false, minVersion: 0, priority: 0, near: false };
  const sampler = virtualSamplers.announced('s', { address });
  const how = { sampler, model: 'm', version: 1, urgency: 5, stride: 1 };
  const tools = { client, dialect: plainDialect, now: () => performance.now() };
  return new Promise((resolve) => runItem(tools, grant, how, resolve, () => undefined));
};

/** Single runs of an item. */
export const itemRuns = { once };
