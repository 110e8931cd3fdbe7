import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { hostPort } from '../shared/hostPort.js';
import type { CallMetrics } from '../edge/callMetrics.js';
import { answerEnd, type AnswerEnd } from './answerEnd.js';
import type { SamplerCall } from './dialect.js';
import type { CallEvents, OpenCall } from './samplerClient.js';
import type { SamplerConnections } from './samplerConnections.js';

/** What a call needs of the client that makes it. */
export type ExchangeTools = {
  readonly connections: SamplerConnections;
  readonly metrics: Pick<CallMetrics, 'observe' | 'connected'> | undefined;
  /** Hears of errors that were thrown by those who are told of a call. */
  readonly threw: (cause: unknown) => void;
  /** A connection was opened. */
  readonly opened: () => void;
};

/** A call that is being made. */
export type SamplerExchange = OpenCall & {
  /** Fails the call if it still waits for a connection. */
  readonly withdraw: () => void;
};

const connectMs = 700;
/** Bytes of a header line beside its name and value, and of the line before the headers of an answer. */
const lineBytes = 4;
const statusLineBytes = 19;
/** Final statuses (RFC 9110, 15); whatever else the parser lets pass is no answer, and can't be passed on. */
const finalStatus = { least: 200, most: 599 };
const lateReason = 'no answer in time';

const isFinal = (status: number | undefined): status is number =>
  status !== undefined && status >= finalStatus.least && status <= finalStatus.most;
const requestBytes = ({ method, path, headers, body }: SamplerCall): number =>
  Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length + lineBytes, 0) +
  method.length +
  path.length +
  statusLineBytes +
  body.length;
const headBytes = ({ rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce((sum, each) => sum + each.length + lineBytes / 2, statusLineBytes);

/** Makes one call over a kept or a new connection, and tells what becomes of it. */
export const samplerExchange = (
  tools: ExchangeTools,
  address: string,
  call: SamplerCall,
  how: { readonly timeLeftMs: number; readonly once: boolean },
  events: CallEvents,
  /** Called once the call has a connection, or is over. */
  waitsNoMore: () => void,
): SamplerExchange => {
  const { connections, metrics, threw } = tools;
  const kind = call.kind ?? 'sampler';
  let [over, waits, connected, reused, answered, ending] = [false, true, false, false, false, false];
  let idleMs = 0;
  let receivedBytes = 0;
  let sent: ClientRequest | undefined;
  let connecting: NodeJS.Timeout | undefined;

  const finish = (): boolean => {
    if (over) return false;
    over = true;
    waitsNoMore();
    clearTimeout(timer);
    clearTimeout(connecting);
    metrics?.observe({ address, call: kind, sentBytes: requestBytes(call), receivedBytes });
    return true;
  };
  /** Nothing catches an error that is thrown in a connection's event: here it ends the call, not the process. */
  const guarded = (work: () => void): void => {
    try {
      work();
    } catch (cause) {
      threw(cause);
      fail(`an error of this process: ${String(cause)}`);
    }
  };
  const fail = (reason: string): void => {
    const stale = reused && !answered && reason !== lateReason;
    if (stale && !over) connections.forgotten(address, idleMs);
    if (finish()) guarded(() => events.failed(reason, connected, stale));
    sent?.destroy();
  };
  const timer = setTimeout(() => fail(lateReason), Math.max(1, how.timeLeftMs));

  const countConnection = (): void => {
    tools.opened();
    metrics?.connected(address, kind);
  };
  const onNewConnection = (socket: Socket): void => {
    countConnection();
    socket.setNoDelay(true);
    connecting = setTimeout(() => {
      if (!connected) fail('no connection in time');
    }, connectMs);
    socket.once('connect', () => {
      connected = true;
      clearTimeout(connecting);
    });
  };
  const onSocket = (socket: Socket): void => {
    const taken = connections.take(socket, call.attempt);
    if (taken === 'used') return sendElsewhere();
    waits = false;
    waitsNoMore();
    if (socket.connecting) return onNewConnection(socket);
    connected = true;
    if (taken === 'new') return;
    reused = true;
    idleMs = taken.idleMs;
  };
  const onEnd = (end: AnswerEnd): void => {
    if (end === 'reset' || end === 'unproven') return fail(answerEnd.reasons[end]);
    if (finish()) guarded(events.ended);
  };
  const onResponse = (message: IncomingMessage): void => {
    if (over) return void message.destroy();
    answered = true;
    const status = message.statusCode;
    if (!isFinal(status)) return fail(`status ${status}, which is none of an answer`);
    receivedBytes += headBytes(message);
    const judge = answerEnd.judge(call.method, message, () => connections.alive(address, countConnection));
    guarded(() => events.head(status, message));
    message.on('data', (chunk: Buffer | string) => {
      receivedBytes += chunk.length;
      if (!over) guarded(() => events.data(chunk));
    });
    message.on('end', () => {
      ending = true;
      if (!over) judge(onEnd);
    });
    message.on('error', (cause) => fail(cause.message));
    message.on('close', () => {
      if (!ending) fail(answerEnd.reasons.reset);
    });
  };
  const send = (): void => {
    const { method, path, headers, body, attempt } = call;
    const agent = connections.agentFor(address, attempt, how.once);
    const sending = request({ ...hostPort(address), method, path, headers, agent, setHost: false });
    sent = sending;
    sending.on('socket', onSocket);
    sending.on('error', (cause) => {
      if (sending === sent) fail(cause.message);
    });
    // Nobody asked for another protocol; without this the call would hear nothing any more.
    sending.on('upgrade', (_message, socket) => {
      answered = true;
      socket.destroy();
      fail('a switch of protocols');
    });
    sending.on('response', onResponse);
    sending.end(body);
  };
  /** Gives up a connection that this call must not use before any byte went over it, and asks for another. */
  const sendElsewhere = (): void => {
    const unsent = sent;
    send();
    unsent?.destroy();
  };
  try {
    send();
  } catch (cause) {
    setImmediate(() => fail((cause as Error).message));
  }
  return {
    abort: () => {
      finish();
      sent?.destroy();
    },
    withdraw: () => {
      if (waits) fail('withdrawn while it waited for a connection');
    },
  };
};
