import { create } from '@bufbuild/protobuf';
import {
  BallotSchema,
  RecordSchema,
  VoteSchema,
  type Ballot,
  type Record as Kept,
  type Vote,
} from '../gen/foxdeck_pb.js';

const none: Ballot = create(BallotSchema, { round: 0, proposer: '' });

const compare = (left: Ballot | undefined, right: Ballot | undefined): number => {
  const [a, b] = [left ?? none, right ?? none];
  return a.round - b.round || (a.proposer < b.proposer ? -1 : a.proposer > b.proposer ? 1 : 0);
};

const vote = (granted: boolean, record: Kept): Vote =>
  create(VoteSchema, {
    granted,
    promised: record.promised,
    accepted: record.accepted,
    value: record.value,
    chosen: record.chosen,
  });

type Step = { readonly record: Kept; readonly vote: Vote; readonly changed: boolean };

const kept = (record: Kept): Step => ({ record, vote: vote(false, record), changed: false });

/** What one voter does for one write-once value: the reducer behind the register and the stores' records. */
export const acceptor = {
  compare,
  fresh: (key: string): Kept => create(RecordSchema, { key }),
  prepare: (record: Kept, ballot: Ballot): Step => {
    if (record.chosen || compare(ballot, record.promised) < 0) return kept(record);
    const next = create(RecordSchema, { ...record, promised: ballot });
    return { record: next, vote: vote(true, next), changed: compare(ballot, record.promised) !== 0 };
  },
  accept: (record: Kept, ballot: Ballot, value: Uint8Array): Step => {
    if (record.chosen || compare(ballot, record.promised) < 0) return kept(record);
    const next = create(RecordSchema, { ...record, promised: ballot, accepted: ballot, value });
    return { record: next, vote: vote(true, next), changed: true };
  },
  learn: (record: Kept, ballot: Ballot, value: Uint8Array): Step => {
    if (record.chosen) return kept(record);
    const next = create(RecordSchema, { ...record, accepted: ballot, value, chosen: true });
    return { record: next, vote: vote(true, next), changed: true };
  },
  read: (record: Kept): Vote => vote(true, record),
};
