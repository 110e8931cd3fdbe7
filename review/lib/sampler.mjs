// A stand-in sampler, as PROTOCOL describes one: it announces itself, works on `slots` requests at once and turns
// others away, checks Foxdeck-Expected-Instance, and gives back the attempt's id and a stamp with each answer.
import { createServer } from 'node:net';
import { call, pause } from './deployment.mjs';

let made = 0;

/** Bytes of an answer with a length. */
export const answerBytes = (status, headers, body = '') => {
  const text = { 200: 'OK', 421: 'Misdirected Request', 500: 'Internal Server Error', 503: 'Service Unavailable' }[status] ?? 'Answer';
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} ${text}\r\n${lines}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n`), Buffer.from(body)]);
};

/**
 * Starts a sampler; up to `queue` requests wait for one of its slots. `work` is told each request that it runs and answers it; `before` may write to the connection of a
 * request first, and `spoil` may change the bytes of an answer.
 */
export const startSampler = async ({ service, host, zone, controls, slots = 6, queue = 0, record, work, before, spoil, model, beatMs = 1200 }) => {
  made += 1;
  const id = `i-${process.pid.toString(16)}${made.toString(16).padStart(4, '0')}`;
  const runs = [];
  const asks = [];
  const sockets = new Set();
  const waiting = [];
  let [running, beat, state, answers, stopped] = [0, 0, 'ready', 0, false];

  const handle = (socket, ask) => {
    asks.push({ attempt: ask.attempt, at: Date.now() });
    before?.(socket, ask, self);
    const reply = (status, headers, body) => {
      answers += 1;
      // A leaving sampler puts Connection: close in its answers.
      const closes = state === 'draining' ? { Connection: 'close' } : {};
      const whole = answerBytes(status, { 'Foxdeck-Attempt-Id': ask.attempt, ...headers, ...closes }, body);
      if (!socket.destroyed) socket.write(spoil?.(whole, ask, status, answers) ?? whole);
      if (state === 'draining') socket.end();
      self.answered?.(socket, ask, status, whole, answers);
    };
    const notRun = (status) => reply(status, { 'Foxdeck-Not-Executed': '1' });
    if (ask.method === 'GET' && ask.path === '/health') return reply(state === 'ready' ? 200 : 503, { 'Foxdeck-Instance-Id': id });
    const expected = ask.headers['foxdeck-expected-instance'];
    if (expected !== undefined && expected !== id) return notRun(421);
    if (ask.attempt === '') return notRun(400);
    if (running < slots) return begin(socket, ask, reply);
    if (waiting.length >= queue) return notRun(503);
    const entry = { socket, ask, reply };
    waiting.push(entry);
    socket.once('close', () => {
      const place = waiting.indexOf(entry);
      if (place >= 0) waiting.splice(place, 1);
    });
  };
  const begin = (socket, ask, reply) => {
    running += 1;
    const run = { attempt: ask.attempt, path: ask.path, at: Date.now(), ended: undefined };
    runs.push(run);
    record(`${id} (${service}) begins to run ${ask.attempt}`);
    let over = false;
    const done = (how) => {
      if (over) return;
      over = true;
      running -= 1;
      socket.off('close', closed);
      const next = waiting.shift();
      if (next) setImmediate(() => (next.socket.destroyed ? undefined : begin(next.socket, next.ask, next.reply)));
      run.ended = how;
      record(`${id} ends ${ask.attempt}: ${how}`);
    };
    const closed = () => done('its connection closed');
    socket.once('close', closed);
    work({ ask, socket, reply, done, stamp: `${id}.${runs.length}.${ask.attempt}` });
  };

  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.setMaxListeners(100);
    let held = Buffer.alloc(0);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      held = Buffer.concat([held, chunk]);
      for (;;) {
        const end = held.indexOf('\r\n\r\n');
        if (end < 0) return;
        const [first, ...lines] = held.subarray(0, end).toString('latin1').split('\r\n');
        const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
        const size = Number(headers['content-length'] ?? 0);
        if (held.length < end + 4 + size) return;
        const body = held.subarray(end + 4, end + 4 + size);
        held = held.subarray(end + 4 + size);
        const [method, path] = first.split(' ');
        handle(socket, { method, path, headers, body, attempt: headers['foxdeck-attempt-id'] ?? '' });
      }
    });
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const address = `${host}:${server.address().port}`;

  /** One call to the control side; the next node is called where one does not acknowledge within a second. */
  const tell = async (method, body) => {
    for (const control of controls) {
      try {
        const answer = await call(control, {
          method, path: `/api/instances/${id}`, timeoutMs: 1000,
          headers: { 'Content-Type': 'application/json' }, body: body ? JSON.stringify(body) : '',
        });
        if (answer.status >= 200 && answer.status < 300) return control;
      } catch {
        // The next one.
      }
    }
    return undefined;
  };
  const beatBody = () => ({
    serviceRef: service, address, zone, versionNumber: 'v1', slotCount: slots, state, coldRemainingMs: 0,
    ...(model && { stage: 'prefill_decode', modelList: [{ name: model, versionNumber: 1, adapterList: [] }] }),
    sequenceNumber: (beat += 1),
  });
  let beating = true;
  const beats = async () => {
    while (beating && !stopped) {
      await tell('PUT', beatBody());
      await pause(beatMs);
    }
  };
  void beats();
  const self = {
    id, address, service, runs, asks, beatBody, tell,
    drain: () => (state = 'draining'),
    answers: () => answers,
    running: () => running,
    stopBeats: () => (beating = false),
    close: () => {
      stopped = true;
      beating = false;
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
  return self;
};
