import { request } from 'node:http';

/** An answer of a node. */
export type Told = { readonly status: number; readonly text: string; readonly bytes: Buffer };

/** Calls a node; fails when it cannot be reached. */
export const call = (address: string, method: string, path: string, body?: Uint8Array): Promise<Told> =>
  new Promise((resolve, reject) => {
    const at = address.lastIndexOf(':');
    const sent = request(
      {
        host: address.slice(0, at),
        port: Number(address.slice(at + 1)),
        method,
        path,
        headers: { 'content-type': 'application/json', 'content-length': String(body?.length ?? 0) },
        timeout: 60_000,
      },
      (answer) => {
        const parts: Buffer[] = [];
        answer
          .on('data', (part: Buffer) => void parts.push(part))
          .on('error', reject)
          .on('end', () => {
            const bytes = Buffer.concat(parts);
            resolve({ status: answer.statusCode ?? 0, text: bytes.toString('utf8'), bytes });
          });
      },
    );
    sent
      .on('timeout', () => sent.destroy(new Error('no answer in 60 s')))
      .on('error', reject)
      .end(body);
  });
