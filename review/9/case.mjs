// A sampler crashes while it sends streams whose answers have no length. Counted: streams that clients get as complete
// answers although pieces are missing; those that end in the middle of an event are named.
import { spawn } from 'node:child_process';
import http from 'node:http';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { limitsOfClients, pause, randomId, runCase, startFleet } from '../lib2/fleet.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const host = 'ficu95.example';
const service = 'huvo11a';
const eventCount = 10;
const perSecond = 45;
const seconds = 14;
const downMs = 4500;

await runCase(folder, async ({ record, trouble, closing }) => {
  const fleet = await startFleet({ counts: { core: 3, store: 3, front: 3 }, record });
  closing.push(fleet.stop);
  const samplers = [];
  const start = (k) => {
    const child = spawn(process.execPath, [join(folder, '../lib2/streamer.mjs'), service, fleet.samplerHost(k), fleet.of('front')[k % 3].zone, fleet.controls.join(','), '12'], { stdio: 'inherit' });
    samplers[k] = child;
  };
  for (let k = 0; k < 6; k += 1) start(k);
  closing.push(() => samplers.forEach((child) => child.kill('SIGKILL')));
  process.once('exit', () => samplers.forEach((child) => child.kill('SIGKILL')));
  await fleet.configure(
    {
      versionNumber: 5,
      routeTable: [{ name: 'r-stream', host, pathPrefix: '/lohu930/', routeType: 'streaming', timeoutMs: 8000, targetLatencyMs: 400, priorityLevel: 1, serviceRef: service, maxAttempts: 2 }],
      services: [{ name: service, healthPath: '/health', maxConnections: 160, protocol: 'h1', tls: false }],
      limits: limitsOfClients,
    },
    0,
  );
  await fleet.ready();
  await pause(2000);

  const fronts = fleet.of('front').map(fleet.frontOf);
  const answers = [];
  const ask = () =>
    new Promise((done) => {
      const attempt = randomId();
      const [address, port] = fronts[Math.floor(Math.random() * fronts.length)].split(':');
      const answer = { attempt, status: 0, complete: false, text: '' };
      answers.push(answer);
      const sent = http.request({
        host: address, port: Number(port), method: 'POST', path: `/lohu930/${attempt.slice(0, 2)}`, agent: false,
        headers: { Host: host, 'Foxdeck-Attempt-Id': attempt, 'Foxdeck-Remaining-Time-Ms': '6000', 'Content-Length': '0' },
      }, (message) => {
        answer.status = message.statusCode;
        message.on('data', (chunk) => (answer.text += chunk));
        message.on('error', () => undefined);
        message.on('close', () => {
          answer.complete = message.complete;
          done();
        });
      });
      sent.on('error', () => done());
      sent.end();
    });
  const open = new Set();
  const until = Date.now() + seconds * 1000;
  const crashing = (async () => {
    await pause(3000);
    if (!trouble) return;
    record('sampler 0 crashes (SIGKILL)');
    samplers[0].kill('SIGKILL');
    await pause(downMs);
    start(0);
  })();
  while (Date.now() < until) {
    const one = ask().finally(() => open.delete(one));
    open.add(one);
    await pause((-Math.log(1 - Math.random()) * 1000) / perSecond);
  }
  await Promise.all(open);
  await crashing;

  const broken = [];
  const counts = { whole: 0, cut: 0, refused: 0, short: 0 };
  for (const { attempt, status, complete, text } of answers) {
    const events = text.split('\n\n').length - 1;
    const inside = !text.endsWith('\n\n');
    const what = status !== 200 ? 'refused' : !complete ? 'cut' : events < eventCount ? 'short' : 'whole';
    counts[what] += 1;
    record(`${attempt} status ${status}, ${complete ? 'complete' : 'cut'}, ${events} events${inside && text ? ', ends in the middle of an event' : ''}`);
    if (what === 'short')
      broken.push(`ORDER: ${attempt} came as a complete answer with ${events} of ${eventCount} events${inside ? ', ending in the middle of an event' : ''}: ...${JSON.stringify(text.slice(-50))}`);
  }
  record(JSON.stringify(counts));
  console.log(JSON.stringify(counts));
  if (counts.whole < 100) throw new Error('too few streams were served');
  return broken;
});
