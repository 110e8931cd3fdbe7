// Work of a sampler on a stream, and a client of streams.
import http from 'node:http';

const chunk = (text) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/** Answers a request with a stream of so many events, one each `gapMs`; `head` may change the answer's head. */
export const streamWork =
  ({ events, gapMs, head = (text) => text }) =>
  ({ ask, socket, done, stamp }) => {
    const text =
      `HTTP/1.1 200 OK\r\nFoxdeck-Attempt-Id: ${ask.attempt}\r\nFoxdeck-Server-Stamp: ${stamp}\r\n` +
      'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
    socket.write(head(text, ask));
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

/** Asks for a stream; answers how it ended, with the head of the answer and what came of its body. */
export const askStream = ({ front, path, attempt, timeLeftMs, agent = false }) =>
  new Promise((resolve) => {
    const [host, port] = front.split(':');
    const sentAt = Date.now();
    const sent = http.request({
      host, port, agent, method: 'POST', path,
      headers: { Host: 'app.example', 'Foxdeck-Attempt-Id': attempt, 'Foxdeck-Remaining-Time-Ms': String(timeLeftMs), 'Content-Length': '4' },
    });
    let over = false;
    const end = (how, message, body = '') => {
      if (over) return;
      over = true;
      resolve({ attempt, how, sentAt, kept: sent.reusedSocket, status: message?.statusCode, headers: message?.headers ?? {}, body });
    };
    sent.on('response', (message) => {
      let body = '';
      message.on('data', (bytes) => (body += bytes));
      message.on('end', () => message.complete && end('whole', message, body));
      message.on('error', () => undefined);
      message.on('close', () => end('cut short', message, body));
    });
    sent.on('error', (cause) => end(`closed (${cause.code})`));
    sent.end('body');
  });
