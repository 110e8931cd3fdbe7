// A sampler in trouble spoils the name of the stamp in the head of some streams: the answers are successes without a
// stamp, and the front passes them on as such.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configurationOf, pause, runCase, startDeployment } from '../lib/deployment.mjs';
import { startSampler } from '../lib/sampler.mjs';
import { askStream, streamWork } from '../lib/streams.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const [calmS, troubleS] = [3, 5];
/** The dose of `garble`: for 5 s, half of the samplers of a service, one answer in fifty. */
const spoiltOneIn = 50;

await runCase(folder, async ({ record, trouble, closing }) => {
  const fleet = await startDeployment({ record });
  closing.push(fleet.stop);
  let [heads, until] = [0, 0];
  const spoil = (text, ask) => {
    heads += 1;
    if (!trouble || Date.now() > until || heads % spoiltOneIn !== 0) return text;
    record(`the sampler in trouble spoils a bit in the head of its answer to ${ask.attempt}`);
    return text.replace('Foxdeck-Server-Stamp', 'Foxdeck-Server-Stamq');
  };
  const common = { host: `${fleet.net}.100`, controls: fleet.controls, record, service: 'texts', slots: 8 };
  const samplers = [
    await startSampler({ ...common, zone: 'nyarugenge', work: streamWork({ events: 4, gapMs: 25, head: spoil }) }),
    await startSampler({ ...common, zone: 'gasabo', work: streamWork({ events: 4, gapMs: 25 }) }),
  ];
  for (const sampler of samplers) closing.push(sampler.close);
  const route = {
    name: 'r-texts', host: 'app.example', pathPrefix: '/texts/', routeType: 'streaming', timeoutMs: 5000,
    targetLatencyMs: 400, priorityLevel: 2, serviceRef: 'texts', maxAttempts: 3,
  };
  await fleet.configure(configurationOf([route], [{ name: 'texts', healthPath: '/health', maxConnections: 110, protocol: 'h1', tls: false }]));
  await fleet.ready();
  await pause(3500);

  const fronts = fleet.of('front').map(fleet.frontOf);
  const answers = [];
  let [going, nth] = [true, 0];
  const client = async (front) => {
    while (going) {
      nth += 1;
      const attempt = `e${process.pid.toString(16)}${String(nth).padStart(8, '0')}`;
      const answer = await askStream({ front, path: '/texts/1', attempt, timeLeftMs: 4000 });
      answers.push(answer);
      record(`client: ${attempt}: ${answer.how} ${answer.status ?? ''}, stamp ${answer.headers['foxdeck-server-stamp']}`);
      await pause(60);
    }
  };
  const clients = Array.from({ length: 16 }, (_, place) => client(fronts[place % fronts.length]));
  await pause(calmS * 1000);
  until = Date.now() + troubleS * 1000;
  if (trouble) record('the trouble begins; it lasts 5 s');
  await pause((troubleS + calmS) * 1000);
  going = false;
  await Promise.all(clients);

  const successes = answers.filter(({ status, how }) => status >= 200 && status < 300 && how === 'whole');
  const bare = successes.filter(({ headers }) => headers['foxdeck-server-stamp'] === undefined);
  record(`streams ${answers.length}, whole successes ${successes.length}, of these without a stamp ${bare.length}`);
  if (successes.length < 100) throw new Error('too few requests were served to judge');
  return bare.length > 0 ? `MIXED: ${bare.length} of ${successes.length} successes come without the sampler's stamp` : undefined;
});
