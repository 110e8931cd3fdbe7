import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AskHead, Caller, Dialect, LotCall, Reply } from '../dialect.js';
import type { HostBinding, Traffic } from '../fleetTypes.js';
import { sendReply } from '../sendReply.js';
import { tenantKeys } from '../tenantKeys.js';
import { traffic } from '../traffic.js';
import type { ConfigurationContact } from './configurationContact.js';
import type { LotAsks } from './lotAsks.js';
import { ordinaryAsks, type AskTools } from './ordinaryAsks.js';

/** Finds out what a request wants and who sends it, and has it served or refuses it. */
export type RequestRouter = (message: IncomingMessage, response: ServerResponse, body: Buffer) => void;

type Refusal = { readonly status: number; readonly reason: string; readonly retryAfterMs?: number };

const newcomerMs = 1500;
const newcomerShare = 0.4;
const newcomerPauseMs = 20;
const retryAfterMs = 500;

/** Makes a front's router. */
export const makeRequestRouter = (options: {
  readonly dialect: Dialect;
  readonly declared: () => Traffic | undefined;
  readonly contact: ConfigurationContact;
  readonly asks: AskTools;
  readonly lots: LotAsks;
  readonly leaving: () => boolean;
  /** True once this front ends so soon that what comes now may not be answered in time. */
  readonly closed: () => boolean;
  readonly now: () => number;
  readonly notServed: (status: number, reason: string) => void;
  /** Hears of a request that failed by an error of this process. */
  readonly failed: (url: string, cause: unknown) => void;
}): RequestRouter => {
  const { dialect, contact, now } = options;
  const refuse = (response: ServerResponse, { attempt }: AskHead, refusal: Refusal): void => {
    options.notServed(refusal.status, refusal.reason);
    const reply = dialect.refusal(refusal.status, attempt, refusal.retryAfterMs, refusal.reason);
    sendReply(response, reply, options.leaving());
  };
  const stopping: Refusal = { status: 503, reason: 'this front is about to end', retryAfterMs };
  const notSure: Refusal = { status: 503, reason: 'not sure of the newest configuration', retryAfterMs };
  /** Callers try no more after a 401 or 404: only a front that knows the newest configuration says so. */
  const final = (status: number, reason: string): Refusal => (contact.current() ? { status, reason } : notSure);
  const keyRefusal = (head: AskHead, caller: Caller): Refusal | undefined => {
    if (!caller.keysInUse) return undefined;
    if (caller.tenant === undefined)
      return final(401, head.key === undefined ? 'a key is needed' : 'the key is not known');
    return contact.keysHold() ? undefined : notSure;
  };
  const failed = (message: IncomingMessage, response: ServerResponse, cause: unknown): void => {
    options.failed(message.url ?? '', cause);
    const { attempt } = dialect.ask(message.headers);
    const refusal = dialect.refusal(500, attempt, undefined, 'an error of this front');
    sendReply(response, refusal, options.leaving());
  };
  /** Nothing catches an error that is thrown in an event or a timer: here it fails the request, not the process. */
  const guarded = (message: IncomingMessage, response: ServerResponse, work: () => void): void => {
    try {
      work();
    } catch (cause) {
      failed(message, response, cause);
    }
  };
  const reply = (message: IncomingMessage, response: ServerResponse, work: Promise<Reply>): void =>
    void work
      .then((each) => sendReply(response, each, options.leaving()))
      .catch((cause: unknown) => failed(message, response, cause));

  const serveLotCall = (
    declared: Traffic,
    call: LotCall,
    head: AskHead,
    message: IncomingMessage,
    response: ServerResponse,
  ): void => {
    const host = String(message.headers.host ?? '');
    const caller = tenantKeys.callerOf(declared, head.key);
    const refusal = tenantKeys.lotsExempt(declared, host) ? undefined : keyRefusal(head, caller);
    if (refusal) return refuse(response, head, refusal);
    reply(message, response, options.lots.call(call, caller));
  };
  const serveByBinding = (
    binding: HostBinding,
    caller: Caller,
    head: AskHead,
    message: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): void => {
    if (binding.kind === 'rollout')
      return reply(message, response, options.lots.hand(head, binding.host, binding, body, caller));
    const serve = binding.kind === 'streaming' ? ordinaryAsks.stream : ordinaryAsks.answer;
    serve(options.asks, { binding, caller, head, message, body, response, leaving: options.leaving });
  };

  const route = (message: IncomingMessage, response: ServerResponse, body: Buffer, since: number): void => {
    const head = dialect.ask(message.headers);
    if (options.closed()) return refuse(response, head, stopping);
    const declared = options.declared();
    if (!declared) {
      // A front that has just begun learns the traffic in a moment; a refusal would cost the caller a whole try.
      if (now() - since < Math.min(newcomerMs, head.timeLeftMs * newcomerShare))
        return void setTimeout(
          () => guarded(message, response, () => route(message, response, body, since)),
          newcomerPauseMs,
        );
      return refuse(response, head, { status: 503, reason: 'no traffic is declared yet', retryAfterMs });
    }
    const url = message.url ?? '/';
    const host = String(message.headers.host ?? '');
    const call = dialect.lotCall(message.method ?? '', url, message.headers);
    if (call) return serveLotCall(declared, call, head, message, response);
    const binding = traffic.match(declared, host, url.split('?')[0]!);
    if (!binding) return refuse(response, head, final(404, 'no such route'));
    const caller = tenantKeys.callerOf(declared, head.key);
    const refusal = binding.authExempt === true ? undefined : keyRefusal(head, caller);
    if (refusal) return refuse(response, head, refusal);
    serveByBinding(binding, caller, head, message, response, body);
  };
  return (message, response, body) => guarded(message, response, () => route(message, response, body, now()));
};
