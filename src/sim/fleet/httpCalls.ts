import { Agent, request, type IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import type { Transport } from '../../shared/transport.js';
import { httpSilence } from './httpSilence.js';

/** An answer; status 0 stands for silence, a refused or a broken connection. */
export type HttpAnswer = {
  readonly status: number;
  readonly body: string;
  readonly headers?: IncomingHttpHeaders;
};

/** Calls over HTTP by the simulated outside, on kept connections. */
export type HttpCalls = {
  readonly call: (
    address: string,
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string,
    timeLeftMs: number,
  ) => Promise<HttpAnswer>;
};

/** Makes the calls of one process. */
export const httpCalls = (transport: Transport): HttpCalls => {
  const agents = new Map<string, Agent>();
  const agentOf = (address: string): Agent => {
    const known = agents.get(address);
    if (known) return known;
    const agent = new Agent({ keepAlive: true });
    agent.createConnection = () => transport.connect(address) as Socket;
    agents.set(address, agent);
    return agent;
  };
  return {
    call: (address, method, path, headers, body, timeLeftMs) =>
      new Promise((resolve) => {
        const [host, port] = address.split(':');
        const length = { 'content-length': String(Buffer.byteLength(body)) };
        let over = false;
        const finish = (answer: HttpAnswer): void => {
          if (over) return;
          over = true;
          clearTimeout(timer);
          resolve(answer);
        };
        const given = { host, port, method, path, headers: { ...headers, ...length }, agent: agentOf(address) };
        const sent = request(given, (message) => {
          let text = '';
          message.setEncoding('utf8');
          message.on('data', (chunk: string) => (text += chunk));
          message.on('end', () => {
            const status = message.complete ? (message.statusCode ?? 0) : 0;
            finish({ status, body: text, headers: message.headers });
          });
          message.on('error', () => finish({ status: 0, body: 'broken off' }));
          message.on('close', () => finish({ status: 0, body: 'broken off' }));
        });
        const timer = setTimeout(() => {
          finish({ status: 0, body: httpSilence });
          sent.destroy();
        }, timeLeftMs);
        sent.on('error', (cause) => finish({ status: 0, body: cause.message }));
        sent.end(body);
      }),
  };
};
