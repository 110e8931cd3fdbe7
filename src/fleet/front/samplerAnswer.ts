import type { SamplerHead } from '../dialect.js';

/** What the head of a sampler's answer says of the request in whose place it came. */
export type AnswerKind =
  /** The answer to that request. */
  | 'own'
  /** A promise that the sampler did not run that request and never will. */
  | 'notRun'
  /** The answer to another request, a late copy say; it tells nothing of this one. */
  | 'foreign'
  /** A success without the sampler's stamp, which is none, whoever may have run the request. */
  | 'unstamped';

/** The least status that is no success. */
const failureStatus = 300;

/** Reads the head of an answer to a call that samplers don't stamp; `attempt` is the id that was sent. */
const kindOfUnstamped = (attempt: string, head: SamplerHead): AnswerKind => {
  // The id comes first: what an answer to another request promises was promised to that one.
  if (head.attempt !== attempt) return 'foreign';
  return head.notRun ? 'notRun' : 'own';
};
/** Reads the head of an answer to a request; `attempt` is the id that was sent. */
const kindOf = (attempt: string, status: number, head: SamplerHead): AnswerKind => {
  const kind = kindOfUnstamped(attempt, head);
  return kind === 'own' && status < failureStatus && head.stamp === '' ? 'unstamped' : kind;
};

/** Why a request is in doubt whose answer does not count. */
const reasons = {
  foreign: 'an answer of another request',
  unstamped: 'a success without its stamp',
} as const;

/** Which of a sampler's answers count, and as what; the same for requests, items, ratings and orders. */
export const samplerAnswer = { kindOf, kindOfUnstamped, reasons };
