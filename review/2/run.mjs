// One answer of a sampler in trouble, spoilt by one bit in its status line, and what becomes of the requests of others
// that the same front has at sound samplers.
import http from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configurationOf, pause, runCase, startDeployment } from '../lib/deployment.mjs';
import { startSampler } from '../lib/sampler.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const [calmS, troubleS] = [3, 5];
/** The dose of `garble`: for 5 s, half of the samplers of a service, one answer in fifty. */
const spoiltOneIn = 50;

await runCase(folder, async ({ record, trouble, closing }) => {
  const fleet = await startDeployment({ record });
  closing.push(fleet.stop);
  const work = ({ reply, done, stamp }) =>
    setTimeout(() => {
      reply(200, { 'Foxdeck-Server-Stamp': stamp }, `answer ${stamp}`);
      done('answered');
    }, 120);
  const quick = ({ reply, done, stamp }) =>
    setTimeout(() => {
      reply(200, { 'Foxdeck-Server-Stamp': stamp }, `answer ${stamp}`);
      done('answered');
    }, 20);
  let until = 0;
  const spoil = (bytes, ask, status, answers) => {
    if (!trouble || Date.now() > until || answers % spoiltOneIn !== 0 || status !== 200) return bytes;
    const spoilt = Buffer.from(bytes);
    spoilt[9] ^= 2; // "HTTP/1.1 200" becomes "HTTP/1.1 000": bytes that are no answer
    record(`the sampler in trouble spoils its answer to ${ask.attempt}: ${spoilt.subarray(0, 15).toString()}`);
    return spoilt;
  };
  const common = { host: `${fleet.net}.100`, controls: fleet.controls, record };
  const sound = [
    await startSampler({ ...common, service: 'records', zone: 'nyarugenge', slots: 16, work }),
    await startSampler({ ...common, service: 'records', zone: 'gasabo', slots: 16, work }),
  ];
  const others = [
    await startSampler({ ...common, service: 'cards', zone: 'nyarugenge', slots: 6, work: quick, spoil }),
    await startSampler({ ...common, service: 'cards', zone: 'gasabo', slots: 6, work: quick }),
  ];
  for (const sampler of [...sound, ...others]) closing.push(sampler.close);
  const route = (name, serviceRef) => ({
    name: `r-${name}`, host: 'app.example', pathPrefix: `/${name}/`, routeType: 'idempotent', timeoutMs: 2000,
    targetLatencyMs: 400, priorityLevel: 2, serviceRef, maxAttempts: 2,
  });
  const service = (name) => ({ name, healthPath: '/health', maxConnections: 110, protocol: 'h1', tls: false });
  await fleet.configure(configurationOf([route('records', 'records'), route('cards', 'cards')], [service('records'), service('cards')]));
  await fleet.ready();
  await pause(3500);

  const front = fleet.frontOf(fleet.of('front')[0]);
  const [host, port] = front.split(':');
  const counts = { answered: 0, refused: 0, failed: 0 };
  const lost = [];
  let [going, nth] = [true, 0];
  const agent = new http.Agent({ keepAlive: true, maxSockets: 24 });
  const ask = (path) =>
    new Promise((resolve) => {
      nth += 1;
      const attempt = `a${process.pid.toString(16)}${String(nth).padStart(8, '0')}`;
      const sent = http.request({
        host, port, agent, method: 'POST', path,
        headers: { Host: 'app.example', 'Foxdeck-Attempt-Id': attempt, 'Foxdeck-Remaining-Time-Ms': '1500', 'Content-Length': '4' },
      });
      let over = false;
      const end = (how) => {
        if (over) return;
        over = true;
        record(`client: ${path} ${attempt} on ${sent.reusedSocket ? 'a kept' : 'a new'} connection: ${how}`);
        resolve(how);
      };
      sent.on('response', (message) => {
        message.resume();
        message.on('end', () => {
          counts[message.statusCode === 200 ? 'answered' : 'refused'] += 1;
          end(`${message.statusCode}`);
        });
        message.on('error', () => undefined);
        message.on('close', () => end('cut short'));
      });
      sent.on('error', (cause) => {
        counts.failed += 1;
        if (sent.reusedSocket) lost.push({ attempt, path, at: Date.now(), code: cause.code });
        end(`closed without an answer (${cause.code})`);
      });
      sent.end('body');
    });
  const client = async (path, gapMs) => {
    while (going) {
      const how = await ask(path);
      await pause(how.startsWith('closed') ? 200 : gapMs);
    }
  };
  const clients = [
    ...Array.from({ length: 12 }, () => client('/records/1', 10)),
    ...Array.from({ length: 4 }, () => client('/cards/1', 30)),
  ];
  await pause(calmS * 1000);
  until = Date.now() + troubleS * 1000;
  if (trouble) record('the trouble begins; it lasts 5 s');
  await pause((troubleS + calmS) * 1000);
  going = false;
  await Promise.all(clients);

  // Only requests that a sound sampler was at work on count, and only those on connections that were kept.
  const passedOn = new Set(sound.flatMap((sampler) => sampler.runs.map((run) => run.attempt)));
  const counted = lost.filter(({ attempt }) => passedOn.has(attempt));
  const crashes = fleet.ended.filter(({ byItself }) => byItself);
  record(`answers: ${counts.answered}, refusals: ${counts.refused}, closed without an answer: ${counts.failed}`);
  record(`of these on kept connections and passed on to a sound sampler: ${counted.length}; processes that ended by themselves: ${crashes.length}`);
  if (counts.answered < 200) throw new Error('too few requests were served to judge');
  return counted.length > 3
    ? `LOST: ${counted.length} requests from kept connections, at sound samplers, closed without an answer; ${crashes.length} process ends by themselves`
    : undefined;
});
