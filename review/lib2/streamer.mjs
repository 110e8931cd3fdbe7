// A stand-in sampler of streams as a process of its own, so that a case can let it crash. Its answers to streams have
// no length and end with their connection. Without a model an event holds several tokens, each written as it comes; with
// one the sampler runs items: each event is written whole, its data follow from the item's id, and it goes on behind
// Last-Event-Id. Arguments: service, host, zone, controls (with commas), slots, model.
import { createServer } from 'node:net';
import { call, randomId } from './fleet.mjs';

const [service, host, zone, list, slotsText, model] = process.argv.slice(2);
const [controls, slots] = [list.split(','), Number(slotsText)];
const eventCount = 10;
let version = 1;
const id = `i-${randomId().slice(0, 8)}`;
let [running, beat] = [0, 0];

const handle = (socket, headers, path, body) => {
  if (path === '/api/order') {
    version = JSON.parse(body.toString()).versionNumber;
    return socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  }
  const attempt = headers['foxdeck-attempt-id'] ?? '';
  const expected = headers['foxdeck-expected-instance'];
  const notRun = (status) => socket.write(`HTTP/1.1 ${status} Not run\r\nFoxdeck-Attempt-Id: ${attempt}\r\nFoxdeck-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
  if (expected !== undefined && expected !== id) return notRun(421);
  if (attempt === '') return notRun(400);
  if (running >= slots) return notRun(503);
  running += 1;
  let timer;
  socket.once('close', () => {
    running -= 1;
    clearTimeout(timer);
  });
  const stamp = randomId();
  const pieces = [`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nFoxdeck-Attempt-Id: ${attempt}\r\nFoxdeck-Server-Stamp: ${stamp}\r\nConnection: close\r\n\r\n`];
  const from = Number(headers['last-event-id'] ?? 0) + 1;
  if (model) {
    pieces[0] = pieces[0].replace('\r\n\r\n', `\r\nFoxdeck-Weight-Versions: ${version}\r\n\r\n`);
    for (let n = from; n <= eventCount; n += 1) pieces.push(`id: ${n}\ndata: ${attempt} event-${n}\n\n`);
  }
  for (let n = 1; n <= eventCount && !model; n += 1) {
    pieces.push(`id: ${n}\ndata: ${stamp}`);
    for (let token = 1; token <= 3; token += 1) pieces.push(` token-${token}`);
    pieces.push(`\n\n`);
  }
  const step = () => {
    const piece = pieces.shift();
    if (piece === undefined) return socket.end();
    socket.write(piece);
    // The end of an event leaves with its last token, and the next event begins with its first one.
    timer = setTimeout(step, piece === '\n\n' || piece.startsWith('HTTP') ? 0 : model ? 60 : 25);
  };
  step();
};
const server = createServer((socket) => {
  let held = Buffer.alloc(0);
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => {
    held = Buffer.concat([held, chunk]);
    const end = held.indexOf('\r\n\r\n');
    if (end < 0) return;
    const headers = Object.fromEntries(held.subarray(0, end).toString('latin1').split('\r\n').slice(1).map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
    const length = Number(headers['content-length'] ?? 0);
    if (held.length < end + 4 + length) return;
    const path = held.subarray(0, end).toString('latin1').split(' ')[1];
    const body = held.subarray(end + 4, end + 4 + length);
    held = held.subarray(end + 4 + length);
    handle(socket, headers, path, body);
  });
});
server.listen(0, host, () => {
  const tell = async () => {
    beat += 1;
    const body = JSON.stringify({ serviceRef: service, address: `${host}:${server.address().port}`, zone, versionNumber: 'v1', slotCount: slots, state: 'ready', coldRemainingMs: 0, sequenceNumber: beat, ...(model && { stage: 'prefill_decode', modelList: [{ name: model, versionNumber: version, adapterList: [] }] }) });
    for (let k = 0; k < controls.length; k += 1)
      try {
        const { status } = await call(controls[(beat + k) % controls.length], { method: 'PUT', path: `/api/instances/${id}`, headers: { 'Content-Type': 'application/json' }, body });
        if (status < 300) return;
      } catch {
        // The next node is called.
      }
  };
  void tell();
  setInterval(() => void tell(), 1200);
});
