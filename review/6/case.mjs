// A sampler turns a request away (503, Foxdeck-Not-Executed) and sends a second copy of that answer late, in the slot
// where the next answer is due on that connection. Counted: requests of a `non_idempotent` route that run twice.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, limitsOfClients, pause, randomId, runCase, startFleet } from '../lib2/fleet.mjs';
import { startSampler } from '../lib2/sampler.mjs';

const host = 'ficu95.example';
const service = 'wuno96b';
const seconds = 11;
const frontCount = 40;
/** Clients that send one request after the other, each to one front. */
const clients = 60;
/** `garble` as the site file has it: the share of the samplers, of their answers, and for how long, once. */
const spoilt = { samplers: 0.6, answers: 0.03, forMs: 5000 };
const samplerCount = 5;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, trouble, closing }) => {
  const fleet = await startFleet({ counts: { core: 3, store: 3, front: frontCount }, record });
  closing.push(fleet.stop);
  const samplers = [];
  let copies = 0;
  let begun = Infinity;
  for (let k = 0; k < samplerCount; k += 1) {
    const spoils = trouble && k < samplerCount * spoilt.samplers;
    const sampler = await startSampler({
      service, host: fleet.samplerHost(k), zone: fleet.of('front')[k].zone, controls: fleet.controls, slots: 6, record,
      work: () => ({ ms: 80 + 160 * Math.random(), body: 'x'.repeat(800) }),
      answered: (bytes, ask, status) => {
        const inTrouble = spoils && Date.now() >= begun && Date.now() < begun + spoilt.forMs;
        if (!inTrouble || Math.random() >= spoilt.answers) return undefined;
        copies += 1;
        record(`a second copy of the ${status} to ${ask.attempt} is to come late`);
        return bytes;
      },
    });
    samplers.push(sampler);
    closing.push(sampler.close);
  }
  await fleet.configure(
    {
      versionNumber: 5,
      routeTable: [{ name: 'r-invoice', host, pathPrefix: '/pufi791/', routeType: 'non_idempotent', timeoutMs: 2000, targetLatencyMs: 162, priorityLevel: 2, serviceRef: service, maxAttempts: 4 }],
      services: [{ name: service, healthPath: '/health', maxConnections: 110, protocol: 'h1', tls: false }],
      limits: limitsOfClients,
    },
    0,
  );
  await fleet.ready();
  await pause(1500);
  begun = Date.now() + 3000;

  const statuses = {};
  const said = new Map();
  const fronts = fleet.of('front').map(fleet.frontOf);
  const send = async (front) => {
    const attempt = randomId();
    let status;
    try {
      ({ status } = await call(front, {
        method: 'POST', path: `/pufi791/${attempt.slice(0, 4)}`, timeoutMs: 2100, body: 'y'.repeat(600),
        headers: { Host: host, 'Foxdeck-Attempt-Id': attempt, 'Foxdeck-Remaining-Time-Ms': '2000' },
      }));
    } catch (cause) {
      status = cause.message;
    }
    statuses[status] = (statuses[status] ?? 0) + 1;
    said.set(attempt, status);
  };
  const until = Date.now() + seconds * 1000;
  const client = async (front) => {
    while (Date.now() < until) await send(front);
  };
  await Promise.all(Array.from({ length: clients }, (_, k) => client(fronts[k % frontCount])));
  await pause(500);

  const runsOf = new Map();
  for (const sampler of samplers) for (const run of sampler.runs) runsOf.set(run.attempt, [...(runsOf.get(run.attempt) ?? []), run]);
  record(`sent ${said.size}, answered ${JSON.stringify(statuses)}, run ${runsOf.size}, copies of answers ${copies}`);
  for (const [attempt, status] of said)
    record(`${attempt} answered ${status} run ${(runsOf.get(attempt) ?? []).map((run) => `at ${run.sampler} ${run.at}`).join(', ')}`);
  const broken = [];
  for (const [attempt, all] of runsOf)
    if (all.length > 1) broken.push(`TWICE: ${attempt} (non_idempotent) ran ${all.length} times: ${all.map((run) => `${run.sampler} at ${run.at}`).join(', ')}; answered ${said.get(attempt)}`);
    else if (said.get(attempt) === 503 || said.get(attempt) === 429) broken.push(`REFUSED: ${attempt} ran at ${all[0].sampler} and was answered ${said.get(attempt)}`);
  if (!(statuses[200] > 100)) throw new Error('too few requests were served');
  return broken;
});
