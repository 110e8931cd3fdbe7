import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AskHead, Caller, Dialect } from '../dialect.js';
import type { HostBinding, Sampler } from '../fleetTypes.js';
import type { CallEvents, SamplerClient } from '../samplerClient.js';
import { sendReply } from '../sendReply.js';
import { traffic } from '../traffic.js';
import { attempts } from './attempts.js';
import type { HedgeControl } from './hedgeControl.js';
import { makeEventTail, type EventTail } from './eventTail.js';
import { samplerAnswer } from './samplerAnswer.js';
import type { SamplerDirectory } from './samplerDirectory.js';

/** What the serving of requests needs of its front. */
export type AskTools = {
  readonly client: SamplerClient;
  readonly directory: SamplerDirectory;
  readonly dialect: Dialect;
  readonly hedges: HedgeControl;
  readonly now: () => number;
  readonly chance: () => number;
  /** Notes a request that was not served, and why. */
  readonly notServed: (status: number, reason: string) => void;
};

/** A request that is to be served by a binding. */
export type Ask = {
  readonly binding: HostBinding;
  readonly caller: Caller;
  readonly head: AskHead;
  readonly message: IncomingMessage;
  readonly body: Uint8Array;
  readonly response: ServerResponse;
  readonly leaving: () => boolean;
};

const networkMs = 4;
/** For so long a sampler that failed a stream is passed by where there are others. */
const ejectionMs = 400;
const failureStatus = 300;
const isEventStream = (status: number, { headers }: IncomingMessage): boolean =>
  status < failureStatus &&
  /^text\/event-stream\b/i.test(headers['content-type'] ?? '') &&
  headers['content-encoding'] === undefined;
const retryAfterMs = 300;

const callOf =
  (tools: AskTools, { message, caller, head, body }: Ask, resumeAfter?: number) =>
  (sampler: Sampler, timeLeftMs: number) => ({
    kind: 'sampler.request',
    attempt: head.attempt,
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: {
      ...tools.dialect.passedOn(message.rawHeaders, caller, sampler, Math.max(1, Math.round(timeLeftMs)), resumeAfter),
      'content-length': String(body.length),
    },
    body,
  });

/** Serves a request with a short answer: the sampler's whole answer, a promise that it never ran, or doubt. */
const answer = (tools: AskTools, ask: Ask): void => {
  const { binding, head, response, leaving } = ask;
  const timeLeftMs = Math.max(1, Math.min(head.timeLeftMs - networkMs, binding.timeLeftMs));
  const work = attempts(
    tools,
    {
      attempt: head.attempt,
      service: traffic.serviceFor(binding, tools.chance()),
      repeatable: binding.kind === 'idempotent',
      most: binding.attempts,
      aimMs: binding.aimMs,
      timeLeftMs,
      call: callOf(tools, ask),
      allowed: () => !response.destroyed,
      retryFaults: true,
    },
    (outcome) => {
      if (outcome.kind === 'answered')
        return sendReply(
          response,
          { status: outcome.status, headers: tools.dialect.passedBack(outcome.raw), body: outcome.body },
          leaving(),
        );
      const status = outcome.kind === 'notRun' ? 503 : 504;
      const again = outcome.kind === 'notRun' ? retryAfterMs : undefined;
      if (!response.destroyed) tools.notServed(status, outcome.reason);
      sendReply(response, tools.dialect.refusal(status, head.attempt, again, outcome.reason), leaving());
    },
  );
  response.on('close', () => {
    if (!response.writableEnded && binding.kind === 'idempotent') work.cancel();
  });
};

/** Passes a stream on as it comes; one that breaks off breaks off here too, never as a clean end. */
const stream = (tools: AskTools, ask: Ask): void => {
  const { binding, head, response, leaving } = ask;
  const { client, directory, dialect, now } = tools;
  const deadline = now() + Math.max(1, Math.min(head.timeLeftMs - networkMs, binding.timeLeftMs));
  const tried = new Set<string>();
  const service = traffic.serviceFor(binding, tools.chance());
  let doubtful = false;
  /** Kept connections that a sampler had forgotten don't use up attempts, as long as they are few. */
  let staleSends = 2;
  let open: { readonly abort: () => void } | undefined;
  const refuse = (reason: string): void => {
    const status = doubtful ? 504 : 503;
    tools.notServed(status, reason);
    sendReply(response, dialect.refusal(status, head.attempt, doubtful ? undefined : retryAfterMs, reason), leaving());
  };
  const next = (): void => {
    if (response.destroyed) return;
    const sampler = tried.size < binding.attempts ? directory.choose(service, tried, !binding.resumable) : undefined;
    if (!sampler || now() >= deadline) return refuse('no sampler took it');
    tried.add(sampler.id);
    directory.began(sampler.id);
    const began = now();
    let passing = false;
    let notRun = false;
    /** Set while a stream of events is passed on. */
    let tail: EventTail | undefined;
    const call = callOf(tools, ask, head.resumeAfter)(sampler, deadline - now());
    const events: CallEvents = {
      head: (status, answered) => {
        const kind = samplerAnswer.kindOf(head.attempt, status, dialect.samplerHead(answered.headers));
        if (kind === 'foreign' || kind === 'unstamped') {
          open?.abort();
          directory.ended(sampler.id, undefined, 0);
          doubtful = true;
          return binding.resumable ? next() : refuse(samplerAnswer.reasons[kind]);
        }
        notRun = kind === 'notRun';
        if (notRun) return;
        passing = true;
        if (isEventStream(status, answered)) tail = makeEventTail();
        response.writeHead(status, {
          ...dialect.passedBack(answered.rawHeaders),
          ...(leaving() && { connection: 'close' }),
        });
        response.flushHeaders();
      },
      data: (chunk) => {
        if (!passing) return;
        tail?.feed(chunk);
        response.write(chunk);
      },
      ended: () => {
        if (tail && tail.place() !== 'behind') return events.failed('ended before a whole event', true, false);
        directory.ended(sampler.id, notRun ? undefined : now() - began, notRun ? 60 : 0);
        if (passing) return void response.end();
        next();
      },
      failed: (reason, sent, stale) => {
        const again = stale && binding.resumable && staleSends > 0;
        if (again) {
          staleSends -= 1;
          tried.delete(sampler.id);
        }
        // It waited for a connection to a sampler that left meanwhile: no attempt was made.
        if (!sent && directory.left(sampler.id)) tried.delete(sampler.id);
        directory.ended(sampler.id, undefined, stale ? 0 : ejectionMs);
        if (passing) return void response.destroy();
        if (sent) doubtful = true;
        if (sent && !binding.resumable) return refuse(reason);
        next();
      },
    };
    open = client.call(sampler.address, call, deadline - now(), events, !binding.resumable);
  };
  response.on('close', () => {
    if (!response.writableEnded) open?.abort();
  });
  next();
};

/** The serving of requests by binding. */
export const ordinaryAsks = { answer, stream };
