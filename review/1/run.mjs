// A surplus answer of a sampler, a second copy of one that it gave before, comes in the slot where the answer to a
// stream's request is due. Its id tells that it belongs to another request.
import http from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configurationOf, pause, runCase, startDeployment } from '../lib/deployment.mjs';
import { startSampler } from '../lib/sampler.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const [calmS, troubleS] = [3, 5];
/** The dose of the site's `garble`, `extra late`: x 0.03 of the answers in 5 s come a second time, here at half of the samplers. */
const surplusOneIn = 34;
const [events, gapMs] = [2, 15];

await runCase(folder, async ({ record, trouble, closing }) => {
  const fleet = await startDeployment({ record });
  closing.push(fleet.stop);
  /** Streams its events; the last one ends the answer. */
  const work = ({ ask, socket, done, stamp }) => {
    const chunk = (text) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
    socket.write(
      `HTTP/1.1 200 OK\r\nFoxdeck-Attempt-Id: ${ask.attempt}\r\nFoxdeck-Server-Stamp: ${stamp}\r\n` +
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n',
    );
    let id = 0;
    const timer = setInterval(() => {
      if (socket.destroyed) return clearInterval(timer);
      id += 1;
      socket.write(chunk(`id: ${id}\ndata: piece ${id} of ${ask.attempt}\n\n`));
      if (id < events) return;
      clearInterval(timer);
      socket.write('0\r\n\r\n');
      done('answered');
    }, gapMs);
  };
  const common = { host: `${fleet.net}.100`, controls: fleet.controls, record, service: 'texts', work };
  const before = (socket, ask, self) => {
    if (!socket.surplus) return;
    record(`${self.id} sends its answer to ${socket.surplus.attempt} a second time, where the one to ${ask.attempt} is due`);
    socket.write(socket.surplus.bytes);
    socket.surplus = undefined;
  };
  const samplers = [
    await startSampler({ ...common, zone: 'nyarugenge', slots: 4, before }),
    await startSampler({ ...common, zone: 'gasabo', slots: 9 }),
  ];
  let until = 0;
  if (trouble)
    samplers[0].answered = (socket, ask, status, bytes, nth) => {
      if (Date.now() < until && nth % surplusOneIn === 0) socket.surplus = { attempt: ask.attempt, bytes };
    };
  for (const sampler of samplers) closing.push(sampler.close);
  const route = {
    name: 'r-texts', host: 'app.example', pathPrefix: '/texts/', routeType: 'streaming', timeoutMs: 5000,
    targetLatencyMs: 400, priorityLevel: 2, serviceRef: 'texts', maxAttempts: 3,
  };
  await fleet.configure(configurationOf([route], [{ name: 'texts', healthPath: '/health', maxConnections: 110, protocol: 'h1', tls: false }]));
  await fleet.ready();
  await pause(3500);

  const fronts = fleet.of('front').map(fleet.frontOf);
  const answered = new Map();
  let [going, nth] = [true, 0];
  const ask = (front) =>
    new Promise((resolve) => {
      nth += 1;
      const attempt = `b${process.pid.toString(16)}${String(nth).padStart(8, '0')}`;
      const [host, port] = front.split(':');
      const sent = http.request({
        host, port, agent: false, method: 'POST', path: '/texts/1',
        headers: { Host: 'app.example', 'Foxdeck-Attempt-Id': attempt, 'Foxdeck-Remaining-Time-Ms': '4000', 'Content-Length': '4' },
      });
      const end = (how) => {
        if (answered.has(attempt)) return;
        answered.set(attempt, how);
        record(`client: ${attempt} answered ${how}`);
        resolve();
      };
      sent.on('response', (message) => {
        message.resume();
        message.on('end', () => end(String(message.statusCode)));
        message.on('error', () => undefined);
        message.on('close', () => end(`${message.statusCode}, cut short`));
      });
      sent.on('error', (cause) => end(`closed (${cause.code})`));
      sent.end('body');
    });
  const client = async (front) => {
    while (going) {
      await ask(front);
      await pause(5 + Math.random() * 20);
    }
  };
  const clients = Array.from({ length: 28 }, (_, place) => client(fronts[place % fronts.length]));
  await pause(calmS * 1000);
  until = Date.now() + troubleS * 1000;
  if (trouble) record('the trouble begins; it lasts 5 s');
  await pause((troubleS + calmS) * 1000);
  going = false;
  await Promise.all(clients);
  await pause(500);

  const runs = new Map();
  for (const sampler of samplers)
    for (const run of sampler.runs) runs.set(run.attempt, [...(runs.get(run.attempt) ?? []), `${sampler.id} (${run.ended})`]);
  const twice = [...runs].filter(([, at]) => at.length > 1);
  const refused = [...answered].filter(([attempt, how]) => /^(429|503|408|421)$/.test(how) && runs.has(attempt));
  for (const [attempt, at] of twice) record(`ran twice: ${attempt} at ${at.join(' and ')}; answered ${answered.get(attempt)}`);
  for (const [attempt, how] of refused) record(`answered ${how} though it ran: ${attempt} at ${runs.get(attempt).join(' and ')}`);
  const count = (how) => [...answered.values()].filter((each) => each === how).length;
  record(`requests ${answered.size}, answered 200 ${count('200')}, 503 ${count('503')}; run at two samplers ${twice.length}, refused though they ran ${refused.length}`);
  if (count('200') < 100) throw new Error('too few requests were served to judge');
  if (twice.length + refused.length === 0) return undefined;
  return `TWICE: ${twice.length} requests that are not repeatable ran at two samplers; REFUSED: ${refused.length} ran and were answered 503`;
});
