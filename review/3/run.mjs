// A front is told to stop while streams run on kept connections. Each client sends its next request on the connection
// that its stream left open, and the front takes it, passes it on and then ends before the answer does.
import http from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { bounds, configurationOf, pause, runCase, startDeployment } from '../lib/deployment.mjs';
import { startSampler } from '../lib/sampler.mjs';
import { askStream, streamWork } from '../lib/streams.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const streamMs = 3600;
const gapMs = 120;

await runCase(folder, async ({ record, trouble, closing }) => {
  const fleet = await startDeployment({ record });
  closing.push(fleet.stop);
  const common = {
    host: `${fleet.net}.100`, controls: fleet.controls, record, service: 'texts', slots: 16,
    work: streamWork({ events: streamMs / gapMs, gapMs }),
  };
  const samplers = [await startSampler({ ...common, zone: 'nyarugenge' }), await startSampler({ ...common, zone: 'gasabo' })];
  for (const sampler of samplers) closing.push(sampler.close);
  const route = {
    name: 'r-texts', host: 'app.example', pathPrefix: '/texts/', routeType: 'streaming', timeoutMs: 15000,
    targetLatencyMs: 400, priorityLevel: 2, serviceRef: 'texts', maxAttempts: 3,
  };
  await fleet.configure(configurationOf([route], [{ name: 'texts', healthPath: '/health', maxConnections: 110, protocol: 'h1', tls: false }]));
  await fleet.ready();
  await pause(3500);

  const [stopped, other] = fleet.of('front');
  const answers = [];
  let [going, nth] = [true, 0];
  /** Keeps its connection; after one that was closed it goes on at the other front, as the platform would have it. */
  const client = async (place) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let front = fleet.frontOf(stopped);
    await pause(place * 130);
    while (going) {
      nth += 1;
      const attempt = `d${place}${process.pid.toString(16)}${String(nth).padStart(6, '0')}`;
      const open = Object.keys(agent.freeSockets).length > 0;
      if (!open && stoppedAt !== undefined) front = fleet.frontOf(other);
      const answer = await askStream({ front, path: '/texts/1', attempt, timeLeftMs: 12000, agent });
      answers.push({ ...answer, front });
      record(`client ${place}: ${attempt} on ${answer.kept ? 'a kept' : 'a new'} connection: ${answer.how} ${answer.status ?? ''}, Connection: ${answer.headers.connection}`);
      await pause(150);
    }
    agent.destroy();
  };
  let stoppedAt;
  const clients = Array.from({ length: 28 }, (_, place) => client(place));
  await pause(9000);
  if (trouble) fleet.signal(stopped, 'SIGTERM');
  stoppedAt = trouble ? Date.now() : undefined;
  await pause(bounds.graceS * 1000 + 1500);
  going = false;
  await Promise.all(clients);

  // A request that was sent within 3 s of the SIGTERM and whose sampler was at work in the last sixth of graceS is
  // excused; here only those sent later than that count.
  const ran = new Map(samplers.flatMap((sampler) => sampler.runs.map((run) => [run.attempt, run])));
  const cut = answers.filter(({ how, attempt }) => how !== 'whole' && ran.has(attempt));
  const lost = stoppedAt === undefined ? cut : cut.filter(({ sentAt }) => sentAt > stoppedAt + 3000 && sentAt < stoppedAt + (bounds.graceS + 1) * 1000);
  for (const { attempt, sentAt, how } of lost)
    record(`lost: ${attempt}, sent ${stoppedAt === undefined ? '' : `${sentAt - stoppedAt} ms after the SIGTERM, `}run at a sampler; ${how}`);
  record(`streams ${answers.length}, whole ${answers.filter(({ how, status }) => how === 'whole' && status === 200).length}, cut ${cut.length}, of these lost ${lost.length}`);
  if (answers.filter(({ how }) => how === 'whole').length < 20) throw new Error('too few requests were served to judge');
  return lost.length > 0 ? `LOST: ${lost.length} requests, sent later than 3 s after the SIGTERM and passed on to a sampler, end without a complete answer` : undefined;
});
