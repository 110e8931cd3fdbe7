import { Duration, Stream } from 'effect';
import { Fault } from '../shared/fault.js';
import type { HttpReply } from '../shared/http.js';

const hops = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);
const passed = (headers: Readonly<Record<string, string>>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !hops.has(name)));

/** What of a request and of an answer is passed on. */
export const passing = {
  headers: passed,
  /** A sampler's body as it comes; one that is cut or too late fails, and so never ends like a whole one. */
  body: (
    body: HttpReply['body'],
    timeLeft: number,
    late: () => Fault,
    cut: (fault: Fault) => Fault,
  ): HttpReply['body'] =>
    body instanceof Uint8Array ? body : Stream.mapError(Stream.timeoutFail(body, late, Duration.millis(timeLeft)), cut),
};
