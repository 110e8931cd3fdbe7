import { createHash } from 'node:crypto';
import { Effect } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import { Fault } from '../shared/fault.js';
import type { HttpAsk, HttpReply } from '../shared/http.js';

/** What became of a claim: certainly nothing left, or the sampler's complete answer, or one too long to keep. */
type ClaimEnd =
  | { readonly state: 'not sent' }
  | {
      readonly state: 'answered';
      readonly status: number;
      readonly headers: HttpReply['headers'];
      readonly body: string;
    }
  | { readonly state: 'too long' };

/** How a key stands for one request. */
export type Claimed =
  | { readonly state: 'mine'; readonly attempt: number }
  | { readonly state: 'answered'; readonly reply: HttpReply }
  | { readonly state: 'other body' }
  | { readonly state: 'unknown'; readonly why: string };

type Claim = { readonly node: string; readonly attempt: string; readonly ask: string; readonly at: number };

/** An answer of up to this many bytes is kept for those who repeat its key. */
const answerMost = 64 * 1024;
const attemptsMost = 32;
/** A key that is retired keeps its claims for a minute longer; a claim that took near that long may be a second one. */
const claimMostMs = 30_000;

const hashOf = (parts: ReadonlyArray<string | Uint8Array>): string => {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(part).update('\u0000');
  return hash.digest('hex');
};
const encode = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value));
const decode = <T>(bytes: Uint8Array): T => JSON.parse(Buffer.from(bytes).toString('utf8')) as T;

/**
 * Keys of once-only requests. Each attempt at a key is a write-once claim, made before a byte leaves; its end is
 * written once by the claimant alone. An attempt that ended as not sent lets the next one claim anew.
 */
export const makeOnceOnly = (context: NodeContext) => {
  const { archive, time } = context;
  const claimKey = (key: string, attempt: number): string => `claim/${hashOf([key])}/${attempt}`;
  const endKey = (key: string, attempt: number): string => `claim-end/${hashOf([key])}/${attempt}`;

  const claim = (key: string, ask: HttpAsk): Effect.Effect<Claimed, Fault> =>
    Effect.gen(function* () {
      const askDigest = hashOf([ask.method, ask.path, ask.body]);
      const startedAt = time.held();
      const retired = yield* archive.read(`retired/${hashOf([key])}`);
      if (retired) return { state: 'unknown', why: 'its key was used long ago and has been retired' } as const;
      for (let attempt = 0; attempt < attemptsMost; attempt += 1) {
        const own: Claim = {
          node: context.settings.name,
          attempt: time.identity(),
          ask: askDigest,
          at: time.wall(),
        };
        const { value } = yield* archive.decide(claimKey(key, attempt), encode(own));
        if (time.held() - startedAt > claimMostMs)
          return { state: 'unknown', why: 'its key took too long to claim' } as const;
        const chosen = decode<Claim>(value);
        if (chosen.attempt === own.attempt) return { state: 'mine', attempt } as const;
        if (chosen.ask !== askDigest) return { state: 'other body' } as const;
        const end = yield* Effect.either(archive.read(endKey(key, attempt)));
        if (end._tag === 'Left') return { state: 'unknown', why: 'what became of its key cannot be read now' } as const;
        if (!end.right) return { state: 'unknown', why: 'its key was claimed by an earlier request' } as const;
        const ended = decode<ClaimEnd>(end.right);
        if (ended.state === 'too long') return { state: 'unknown', why: 'it ran; its answer was too long' } as const;
        if (ended.state === 'answered') {
          const headers = { ...ended.headers, 'foxdeck-repeat': 'true' };
          const body = Buffer.from(ended.body, 'base64');
          return { state: 'answered', reply: { status: ended.status, headers, body } } as const;
        }
      }
      return yield* new Fault({ step: 'claim', reason: `its key was tried ${attemptsMost} times and never sent` });
    });

  const end = (key: string, attempt: number, value: ClaimEnd): Effect.Effect<boolean> =>
    archive.decide(endKey(key, attempt), encode(value)).pipe(
      Effect.map((decision) => Buffer.compare(decision.value, encode(value)) === 0),
      Effect.catchAll(() => Effect.succeed(false)),
    );

  return {
    answerMost,
    claim,
    /** Says that nothing left under a claim; true once that stands. */
    notSent: (key: string, attempt: number): Effect.Effect<boolean> => end(key, attempt, { state: 'not sent' }),
    /** Keeps a complete answer for those who repeat the key; undefined for one that was too long. */
    answered: (key: string, attempt: number, reply: HttpReply, body: Uint8Array | undefined): Effect.Effect<boolean> =>
      end(
        key,
        attempt,
        body === undefined
          ? { state: 'too long' }
          : {
              state: 'answered',
              status: reply.status,
              headers: reply.headers,
              body: Buffer.from(body).toString('base64'),
            },
      ),
  };
};
