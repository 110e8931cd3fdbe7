import type { ServerResponse } from 'node:http';
import type { Reply } from './dialect.js';

/** Sends a reply, whole, unless the caller is gone; `last` closes the connection after it. */
export const sendReply = (response: ServerResponse, reply: Reply, last: boolean): void => {
  if (response.destroyed || response.writableEnded) return;
  // Part of another answer has left: nothing that follows it may look like its end.
  if (response.headersSent) return void response.destroy();
  const body = Buffer.from(reply.body ?? '');
  response.writeHead(reply.status, {
    ...reply.headers,
    ...(last && { connection: 'close' }),
    'content-length': String(body.length),
  });
  response.end(body);
};
