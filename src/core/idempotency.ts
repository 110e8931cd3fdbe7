import { createHash } from 'node:crypto';

/** A change that was accepted earlier: the sequence that it got, and the digest of the bytes that it came with. */
export type AcceptedChange = { readonly sequence: number; readonly digest: Uint8Array };

/** How many of the newest accepted changes are remembered. */
const capacity = 2048;
/** Bytes of the id's hash and of the body's digest in one record. */
const hashBytes = 12;
const recordBytes = 2 * hashBytes;

const hash = (input: string | Uint8Array): Buffer => createHash('sha256').update(input).digest().subarray(0, hashBytes);

/**
 * Idempotency records, carried inside each value of the replicated configuration log so that every voter which knows
 * the newest value can tell an accepted change from a new one, whenever it joined. They are packed: a record is the
 * hash of the change's id and the digest of its bytes; each sequence but the founding one adds exactly one record, so
 * the sequences follow from the places.
 */
export const idempotency = {
  capacity,
  digestOf: (body: Uint8Array): Uint8Array => hash(body),
  /** The records after one more change. */
  add: (records: Uint8Array, id: string, body: Uint8Array): Uint8Array => {
    const kept = records.subarray(Math.max(0, records.length - (capacity - 1) * recordBytes));
    return Buffer.concat([kept, hash(id), hash(body)]);
  },
  /** Finds a change by its id among the records of the value at `sequence`. */
  find: (records: Uint8Array, sequence: number, id: string): AcceptedChange | undefined => {
    const wanted = hash(id);
    const bytes = Buffer.from(records.buffer, records.byteOffset, records.length);
    const count = bytes.length / recordBytes;
    for (let place = count - 1; place >= 0; place -= 1) {
      const at = place * recordBytes;
      if (bytes.compare(wanted, 0, hashBytes, at, at + hashBytes) !== 0) continue;
      return {
        sequence: sequence - (count - 1 - place),
        digest: bytes.subarray(at + hashBytes, at + recordBytes),
      };
    }
    return undefined;
  },
};
