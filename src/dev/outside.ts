import { request } from 'node:http';

type Answer = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  readonly body: Record<string, never>;
};

const call = (
  address: string,
  method: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
  timeoutMs = 30_000,
): Promise<Answer> =>
  new Promise((resolve) => {
    const bytes =
      body === undefined ? Buffer.alloc(0) : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body));
    const at = address.lastIndexOf(':');
    const failed = (cause: Error): void => resolve({ status: 0, headers: {}, text: cause.message, body: {} });
    const sent = request(
      {
        host: address.slice(0, at),
        port: Number(address.slice(at + 1)),
        method,
        path,
        agent: false,
        timeout: timeoutMs,
        headers: { 'content-type': 'application/json', 'content-length': String(bytes.length), ...headers },
      },
      (answer) => {
        let text = '';
        answer
          .setEncoding('utf8')
          .on('data', (part: string) => {
            text += part;
          })
          .on('error', failed)
          .on('end', () => {
            if (!answer.complete) return failed(new Error('cut'));
            let parsed = {};
            try {
              parsed = JSON.parse(text) as object;
            } catch {
              parsed = {};
            }
            resolve({ status: answer.statusCode ?? 0, headers: answer.headers, text, body: parsed });
          });
      },
    );
    sent
      .on('timeout', () => sent.destroy(new Error('no answer in time')))
      .on('error', failed)
      .end(bytes);
  });

/** What development programs do from outside the fleet; a failed call has status 0. */
export const outside = {
  call,
  pause: (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms)),
  until: async (what: string, ms: number, done: () => Promise<boolean>): Promise<number> => {
    const start = Date.now();
    while (Date.now() - start < ms) {
      if (await done()) return Date.now() - start;
      await outside.pause(100);
    }
    throw new Error(`waited ${ms} ms in vain for ${what}`);
  },
};
