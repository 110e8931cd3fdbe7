import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** A call's body on its way: JSON, deflated where it is long enough to be worth the processor's time. */
export type Packed = { readonly body: Uint8Array; readonly packed: boolean };

const leastBytes = 1500;
const mostBytes = 256 * 1024 * 1024;
const level = 1;

/** Packing of calls' bodies: links between zones cost more than the processor does. */
export const packing = {
  pack: (value: unknown): Packed => {
    const body = Buffer.from(JSON.stringify(value ?? null));
    return body.length < leastBytes ? { body, packed: false } : { body: deflateRawSync(body, { level }), packed: true };
  },
  /** Throws where the bytes are not what they say they are. */
  unpack: ({ body, packed }: Packed): unknown => {
    const whole = packed ? inflateRawSync(body, { maxOutputLength: mostBytes }) : Buffer.from(body);
    return JSON.parse(whole.toString()) as unknown;
  },
};
