import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Parted } from './parted.js';

/** A text as it travels and lies on disks: deflated once, where it was made, if it is long enough to be worth it. */
export type Text = string | Parted;

const leastBytes = 400;
const mostBytes = 256 * 1024 * 1024;
/** Texts are short: a small window costs a third less processor time than the default and hardly more bytes. */
const how = { level: 1, memLevel: 6, windowBits: 13 };

/** Packing of texts. */
export const texts = {
  pack: (text: string): Text => (text.length < leastBytes ? text : new Parted(deflateRawSync(Buffer.from(text), how))),
  /** Throws where the bytes are not those of a packed text. */
  read: (text: Text): string =>
    typeof text === 'string' ? text : inflateRawSync(text.bytes, { maxOutputLength: mostBytes }).toString(),
  /** Bytes that it takes on its way. */
  size: (text: Text): number => (typeof text === 'string' ? text.length : text.bytes.length),
  /** About how long it is when read. */
  readSize: (text: Text): number => (typeof text === 'string' ? text.length : text.bytes.length * 2),
};
