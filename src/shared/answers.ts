import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { AnswerSchema, AskSchema, type Answer, type Ask } from '../gen/foxdeck_pb.js';

type AskKind = NonNullable<MessageInitShape<typeof AskSchema>['kind']>;
type AnswerKind = NonNullable<MessageInitShape<typeof AnswerSchema>['kind']>;

/** Makers of peer messages. */
export const answers = {
  ask: (kind: AskKind): Ask => create(AskSchema, { kind }),
  answer: (kind: AnswerKind): Answer => create(AnswerSchema, { kind }),
  /** `unknown` where what was asked may have been done all the same. */
  bounce: (step: string, reason: string, token = 0, unknown = false): Answer =>
    create(AnswerSchema, { kind: { case: 'bounce', value: { step, reason, token, unknown } } }),
  done: (): Answer => create(AnswerSchema, { kind: { case: 'done', value: {} } }),
};
