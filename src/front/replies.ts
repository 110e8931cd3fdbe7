import type { HttpReply } from '../shared/http.js';

const json = (status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): HttpReply => ({
  status,
  headers: { 'content-type': 'application/json', ...headers },
  body: Buffer.from(`${JSON.stringify(body)}\n`),
});

/** Replies of foxdeck's own; a bounce says that nothing ran, an unknown outcome says that nobody can tell. */
export const replies = {
  json,
  bounce: (status: number, message: string, retryAfter?: number, extra: object = {}): HttpReply =>
    json(
      status,
      { error: message, outcome: 'bounced', ...extra },
      { 'foxdeck-outcome': 'bounced', ...(retryAfter === undefined ? {} : { 'retry-after': String(retryAfter) }) },
    ),
  unknown: (status: number, message: string): HttpReply =>
    json(status, { error: message, outcome: 'unknown' }, { 'foxdeck-outcome': 'unknown' }),
};
