import type { SamplerHead } from '../dialect.js';

/** What the head of a sampler's answer says of the request in whose place it came. */
export type AnswerKind =
  /** The answer to that request. */
  | 'own'
  /** A promise that the sampler did not run that request and never will. */
  | 'notRun'
  /** The answer to another request, a late copy say; it tells nothing of this one. */
  | 'foreign';

/** Reads the head of an answer; `attempt` is the id of the request that was sent. */
const kindOf = (attempt: string, head: SamplerHead): AnswerKind => {
  // The id comes first: what an answer to another request promises was promised to that one.
  if (head.attempt !== attempt) return 'foreign';
  return head.notRun ? 'notRun' : 'own';
};

/** Why a request is in doubt whose connection brought the answer to another one. */
const foreignReason = 'an answer of another request';

/** Which of a sampler's answers count, and as what; the same for requests, items, ratings and orders. */
export const samplerAnswer = { kindOf, foreignReason };
