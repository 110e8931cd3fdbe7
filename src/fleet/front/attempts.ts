import type { Dialect, SamplerCall, SamplerHead } from '../dialect.js';
import type { Sampler } from '../fleetTypes.js';
import type { CallEvents, SamplerClient } from '../samplerClient.js';
import type { HedgeControl } from './hedgeControl.js';
import { samplerAnswer } from './samplerAnswer.js';
import type { SamplerDirectory } from './samplerDirectory.js';
import { retryBackoffMs } from '../../policy/retryBackoff.js';

/** How a request with a short answer ended. */
export type Attempted =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly raw: ReadonlyArray<string>;
      readonly head: SamplerHead;
      readonly body: Buffer;
    }
  /** Nothing ran and nothing will. */
  | { readonly kind: 'notRun'; readonly reason: string }
  /** It may have run. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** What a request allows. */
export type AttemptRules = {
  readonly attempt: string;
  readonly service: string;
  readonly repeatable: boolean;
  readonly most: number;
  readonly aimMs: number;
  readonly timeLeftMs: number;
  readonly call: (sampler: Sampler, timeLeftMs: number) => SamplerCall;
  /** False once no more may be sent. */
  readonly allowed: () => boolean;
  /** Answers of 5xx are tried elsewhere too; they are the sampler's own word otherwise. */
  readonly retryFaults: boolean;
  /** Hears of each sampler that had no room for it. */
  readonly turnedAway?: () => void;
};

/** Less time than this is not worth another round of attempts. */
const roundMs = 25;
const awayMs = 400;
const fullMs = 60;

/**
 * Sends a request to one sampler after another until one gives its whole answer. A repeatable request that takes long
 * is sent to a second sampler while the first goes on; the first whole answer counts.
 */
export const attempts = (
  tools: {
    readonly client: SamplerClient;
    readonly directory: SamplerDirectory;
    readonly dialect: Dialect;
    readonly hedges: HedgeControl;
    readonly now: () => number;
    readonly chance: () => number;
  },
  rules: AttemptRules,
  done: (outcome: Attempted) => void,
): { readonly cancel: () => void } => {
  const { client, directory, dialect, hedges, now, chance } = tools;
  const start = now();
  /** Requests of one service with one aim take alike. */
  const kind = `${rules.service} ${rules.aimMs}`;
  const hedgeAfterMs = rules.repeatable ? hedges.began(kind, rules.aimMs) : Infinity;
  const deadline = start + rules.timeLeftMs;
  const tried = new Set<string>();
  const open = new Map<number, { readonly abort: () => void }>();
  let [sends, rounds, over, doubtful] = [0, 0, false, false];
  /** Kept connections that a sampler had forgotten don't use up attempts, as long as they are few. */
  let staleSends = 2;
  let last: Attempted | undefined;
  let hedge: NodeJS.Timeout | undefined;
  let retry: NodeJS.Timeout | undefined;
  const left = (): number => deadline - now();

  const finish = (outcome: Attempted): void => {
    if (over) return;
    over = true;
    clearTimeout(hedge);
    clearTimeout(retry);
    clearTimeout(timer);
    done(outcome);
  };
  const giveUp = (reason: string): void =>
    finish(last?.kind === 'answered' ? last : { kind: doubtful ? 'unknown' : 'notRun', reason });
  const timer = setTimeout(() => {
    for (const call of open.values()) call.abort();
    if (open.size > 0) doubtful = true;
    giveUp('out of time');
  }, rules.timeLeftMs);

  const next = (): void => {
    if (over || open.size > 0 || retry) return;
    if (!rules.allowed()) return giveUp('not wanted any more');
    if (sends >= rules.most) return giveUp('every attempt was used');
    if (!send()) {
      if (tried.size > 0 && left() > 3 * roundMs) tried.clear();
      if (left() < 2 * roundMs) return giveUp('no sampler took it');
      const pauseMs = Math.min(retryBackoffMs(rounds, rules.aimMs, chance()), left() - roundMs);
      rounds += 1;
      retry = setTimeout(() => {
        retry = undefined;
        next();
      }, pauseMs);
    }
  };
  const send = (): boolean => {
    const sampler = directory.choose(rules.service, tried, !rules.repeatable);
    if (!sampler || !rules.allowed()) return false;
    tried.add(sampler.id);
    sends += 1;
    const place = sends;
    const began = now();
    const chunks: Buffer[] = [];
    let head: SamplerHead | undefined;
    let notRun = false;
    let status = 0;
    let raw: ReadonlyArray<string> = [];
    directory.began(sampler.id);
    const failed = (reason: string, sent: boolean, away: number): void => {
      open.delete(place);
      directory.ended(sampler.id, undefined, away);
      if (sent) {
        doubtful = true;
        if (!rules.repeatable) return giveUp(reason);
      }
      next();
    };
    const events: CallEvents = {
      head: (seen, message) => {
        status = seen;
        raw = message.rawHeaders;
        head = dialect.samplerHead(message.headers);
        const kind = samplerAnswer.kindOf(rules.attempt, seen, head);
        notRun = kind === 'notRun';
        if (kind === 'own' || kind === 'notRun') return;
        // Its connection is out of step and goes.
        open.get(place)?.abort();
        failed(samplerAnswer.reasons[kind], true, 0);
      },
      data: (chunk) => void chunks.push(chunk as Buffer),
      ended: () => {
        if (notRun) {
          sends -= 1;
          rules.turnedAway?.();
          return failed(`turned away with ${status}`, false, status === 421 ? awayMs : fullMs);
        }
        open.delete(place);
        directory.ended(sampler.id, status < 500 ? now() - began : undefined, status < 500 ? 0 : 50);
        if (rules.repeatable && place === 1 && status < 500) hedges.answered(kind, now() - began);
        const answer: Attempted = { kind: 'answered', status, raw, head: head!, body: Buffer.concat(chunks) };
        if (status < 500 || !rules.repeatable || !rules.retryFaults) return finish(answer);
        last = answer;
        next();
      },
      failed: (reason, sent, stale) => {
        if (stale && rules.repeatable) {
          tried.delete(sampler.id);
          sends -= staleSends > 0 ? 1 : 0;
          staleSends -= 1;
        }
        // It waited for a connection to a sampler that left meanwhile: no attempt was made.
        if (!sent && directory.left(sampler.id)) sends -= 1;
        failed(reason, sent, stale ? 0 : awayMs);
      },
    };
    const call = client.call(sampler.address, rules.call(sampler, left()), left(), events, !rules.repeatable);
    open.set(place, call);
    if (rules.repeatable && sends < rules.most && hedge === undefined && hedgeAfterMs < left())
      hedge = setTimeout(() => {
        if (!over && open.size === 1 && sends < rules.most && hedges.spend(kind)) send();
      }, hedgeAfterMs);
    return true;
  };
  next();
  return {
    cancel: () => {
      for (const call of open.values()) call.abort();
      finish({ kind: 'unknown', reason: 'cancelled' });
    },
  };
};
