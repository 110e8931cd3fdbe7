import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** What tells the reader of an answer where it ends (RFC 9112, 6.3). */
export type AnswerFraming = 'length' | 'chunks' | 'close';

/** How an answer ended, which says whether it is whole. */
export type AnswerEnd =
  /** All bytes of its length came. */
  | 'length'
  /** Its last chunk came. */
  | 'lastChunk'
  /** It has no length; its connection was closed in order, and its sampler's process lives. */
  | 'close'
  /** Its connection was reset, or closed before the end that its head announced. */
  | 'reset'
  /** It has no length, and its connection was closed, which the end of a process does too: it proves nothing. */
  | 'unproven';

/** What is known of the close of a connection. */
type CloseKind = 'clean' | 'reset' | 'unproven';

/** Why an answer with such an end does not count. */
const reasons = {
  reset: 'the answer was cut short',
  unproven: 'the answer has no length, and its sampler is gone',
} as const satisfies Partial<Record<AnswerEnd, string>>;

const withoutBody = new Set([204, 304]);
/** Bytes that a server skips before a request (RFC 9112, 2.2). */
const emptyLine = '\r\n';

const framingOf = (method: string, { statusCode, headers }: IncomingMessage): AnswerFraming => {
  if (method === 'HEAD' || withoutBody.has(statusCode ?? 0)) return 'length';
  if (/(^|,)\s*chunked\s*$/i.test(headers['transfer-encoding'] ?? '')) return 'chunks';
  return headers['transfer-encoding'] === undefined && headers['content-length'] !== undefined ? 'length' : 'close';
};

/**
 * Tells how a connection closes, on which an answer without a length is read. Where data and a reset are found in one
 * poll the runtime reports an end and drops the error, but the next write fails: an empty line is written as soon as
 * the end is reported, before this side of the connection is closed.
 */
const closeOf = (socket: Socket): Promise<CloseKind> =>
  new Promise((resolve) => {
    socket.prependOnceListener('end', () => socket.write(emptyLine, (error) => resolve(error ? 'reset' : 'clean')));
    socket.once('error', () => resolve('reset'));
    socket.once('close', () => resolve('unproven'));
  });

/**
 * Judges the end of an answer whose head has come; to be called at that time. The function that it answers is called
 * once the message has ended, and tells the verdict: at once, but where a close has to be looked into. `alive` tells
 * whether the sampler's process lives.
 */
const judge = (
  method: string,
  message: IncomingMessage,
  alive: () => Promise<boolean>,
): ((told: (end: AnswerEnd) => void) => void) => {
  const framing = framingOf(method, message);
  const closing = framing === 'close' ? closeOf(message.socket) : undefined;
  const judgeClose = async (): Promise<AnswerEnd> => {
    const close = await closing!;
    if (close !== 'clean') return close;
    return (await alive()) ? 'close' : 'unproven';
  };
  return (told) => {
    if (!message.complete) return told('reset');
    if (framing === 'length') return told('length');
    if (framing === 'chunks') return told('lastChunk');
    void judgeClose().then(told);
  };
};

/** How answers end, judged in this one place for all calls to samplers. */
export const answerEnd = { framingOf, judge, reasons };
