import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Parted } from '../shared/parted.js';

/**
 * A call's body on its way: JSON, deflated where it is long enough to be worth the processor's time, and beside it the
 * bytes that the value holds, as they are.
 */
export type Packed = {
  readonly body: Uint8Array;
  readonly packed: boolean;
  readonly parts: ReadonlyArray<Uint8Array>;
};

const leastBytes = 1500;
const mostBytes = 256 * 1024 * 1024;
const how = { level: 1, memLevel: 7, windowBits: 14 };

/** Packing of calls' bodies: links between zones cost more than the processor does. */
export const packing = {
  pack: (value: unknown): { body: Uint8Array; packed: boolean; parts: Uint8Array[] } => {
    const { json, parts } = Parted.split(value);
    const body = Buffer.from(json);
    const packed = body.length >= leastBytes;
    return { body: packed ? deflateRawSync(body, how) : body, packed, parts: [...parts] };
  },
  /** Throws where the bytes are not what they say they are. */
  unpack: ({ body, packed, parts }: Packed): unknown => {
    const whole = packed
      ? inflateRawSync(body, { maxOutputLength: mostBytes })
      : Buffer.from(body.buffer, body.byteOffset, body.length);
    return Parted.join(whole.toString(), parts);
  },
};
