// A stand-in sampler that speaks as PROTOCOL says: beats, Foxdeck-Expected-Instance, slots, plain answers, streams of
// tokens with ids, orders and reports. It reads requests from the socket itself, so that a case can shape the bytes.
import { createServer } from 'node:net';
import { call, randomId } from './fleet.mjs';

const texts = { 200: 'OK', 202: 'Accepted', 400: 'Bad Request', 421: 'Misdirected Request', 422: 'Unprocessable Content', 500: 'Internal Server Error', 503: 'Service Unavailable' };
const headOf = (status, headers) =>
  `HTTP/1.1 ${status} ${texts[status]}\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
export const whole = (status, headers, body = '') =>
  Buffer.concat([Buffer.from(headOf(status, { ...headers, 'Content-Length': Buffer.byteLength(body) })), Buffer.from(body)]);

/**
 * `work(ask)` tells what a run gives: `{ ms, status, body }`, or `{ ms, events, everyMs }` for a stream.
 * `answered(bytes, ask, status)` may answer bytes that come late, in the slot where the next answer is due.
 */
export const startSampler = async ({ service, host, zone, controls, slots, models = [], work, answered = () => undefined, record = () => undefined }) => {
  const id = `i-${randomId().slice(0, 8)}`;
  const runs = [];
  const versions = new Map(models.map((name) => [name, 1]));
  let [running, beat, orders, state, ended] = [0, 0, 0, 'ready', false];
  const sockets = new Set();

  const handle = (socket, ask) =>
    new Promise((done) => {
      const late = socket.late;
      socket.late = undefined;
      if (late && !socket.destroyed) socket.write(late);
      const reply = (status, headers = {}, body = '') => {
        const bytes = whole(status, { 'Foxdeck-Attempt-Id': ask.attempt, ...headers }, body);
        if (!socket.destroyed) socket.write(bytes);
        socket.late = answered(bytes, ask, status);
        done();
      };
      const expected = ask.headers['foxdeck-expected-instance'];
      if (expected !== undefined && expected !== id) return reply(421, { 'Foxdeck-Not-Executed': '1' });
      if (ask.method === 'GET' && ask.path === '/health') return reply(200, { 'Foxdeck-Instance-Id': id });
      if (ask.path === '/api/report') {
        const modelList = models.map((name) => ({ name, versionNumber: versions.get(name), adapterList: [] }));
        return reply(200, {}, JSON.stringify({ stage: 'prefill_decode', modelList, busy: false, sequenceNumber: orders, waitingCount: 0, runningCount: running, kvUsed: 0, kvTotal: 100000, handledModels: 0 }));
      }
      if (ask.path === '/api/order') {
        const order = JSON.parse(ask.body.toString());
        orders += 1;
        versions.set(order.modelId, order.versionNumber);
        if (!socket.destroyed) socket.write(whole(200, {}));
        return done();
      }
      if (ask.attempt === '') return reply(400, { 'Foxdeck-Not-Executed': '1' });
      if (running >= slots) return reply(503, { 'Foxdeck-Not-Executed': '1' });
      running += 1;
      const run = { attempt: ask.attempt, at: Date.now(), path: ask.path, sampler: id };
      runs.push(run);
      const plan = work(ask);
      const stamp = randomId();
      let open = true;
      const over = () => {
        if (!open) return;
        open = false;
        running -= 1;
        clearTimeout(timer);
        done();
      };
      // The request is dropped when its connection closes.
      socket.once('close', over);
      let timer;
      const finish = () => {
        if (!open) return;
        socket.off('close', over);
        run.status = plan.status ?? 200;
        run.answeredAt = Date.now();
        over();
      };
      if (!plan.events) {
        timer = setTimeout(() => {
          if (!open) return;
          finish();
          reply(plan.status ?? 200, plan.status >= 300 ? {} : { 'Foxdeck-Server-Stamp': stamp }, plan.body ?? '');
        }, plan.ms);
        run.stamp = stamp;
        return;
      }
      let next = Number(ask.headers['last-event-id'] ?? 0) + 1;
      timer = setTimeout(() => {
        socket.write(headOf(200, {
          'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked', 'Foxdeck-Attempt-Id': ask.attempt,
          'Foxdeck-Server-Stamp': stamp, 'Foxdeck-Weight-Versions': String(versions.get(ask.headers['foxdeck-model-id']) ?? 1),
        }));
        const step = () => {
          if (!open) return;
          if (next > plan.events.length) {
            socket.write('0\r\n\r\n');
            return finish();
          }
          const event = `id: ${next}\ndata: ${plan.events[next - 1]}\n\n`;
          socket.write(`${Buffer.byteLength(event).toString(16)}\r\n${event}\r\n`);
          next += 1;
          timer = setTimeout(step, plan.everyMs);
        };
        step();
      }, plan.ms);
    });

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let held = Buffer.alloc(0);
    let busy = false;
    const pump = async () => {
      if (busy) return;
      busy = true;
      for (;;) {
        const end = held.indexOf('\r\n\r\n');
        if (end < 0) break;
        const [first, ...lines] = held.subarray(0, end).toString('latin1').split('\r\n');
        const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
        const length = Number(headers['content-length'] ?? 0);
        if (held.length < end + 4 + length) break;
        const [method, path] = first.split(' ');
        const body = held.subarray(end + 4, end + 4 + length);
        held = held.subarray(end + 4 + length);
        await handle(socket, { method, path, headers, body, attempt: headers['foxdeck-attempt-id'] ?? '' });
      }
      busy = false;
    };
    socket.on('data', (chunk) => {
      held = Buffer.concat([held, chunk]);
      void pump();
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  const address = `${host}:${server.address().port}`;
  const tell = async () => {
    beat += 1;
    const modelList = models.map((name) => ({ name, versionNumber: versions.get(name), adapterList: [] }));
    const body = JSON.stringify({
      serviceRef: service, address, zone, versionNumber: 'v1', slotCount: slots, state, coldRemainingMs: 0,
      ...(models.length > 0 && { stage: 'prefill_decode', modelList }), sequenceNumber: beat,
    });
    for (let k = 0; k < controls.length && !ended; k += 1) {
      try {
        const { status } = await call(controls[(beat + k) % controls.length], { method: 'PUT', path: `/api/instances/${id}`, headers: { 'Content-Type': 'application/json' }, body });
        if (status < 300) return;
      } catch {
        // The next node is called.
      }
    }
  };
  void tell();
  const beating = setInterval(() => void tell(), 1200);
  record(`sampler ${id} of ${service} at ${address}, ${slots} slots`);
  return {
    id, address, service, runs, running: () => running,
    close: () => {
      ended = true;
      clearInterval(beating);
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
};
