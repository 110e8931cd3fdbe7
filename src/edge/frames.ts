import { fromBinary } from '@bufbuild/protobuf';
import { sizeDelimitedEncode, sizeDelimitedPeek } from '@bufbuild/protobuf/wire';
import { FrameSchema, type Frame } from '../gen/foxdeck_pb.js';

const wire = 1;
const mostBytes = 64 * 1024 * 1024;

async function* read(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<Frame> {
  let held: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    held = held.length === 0 ? Buffer.from(chunk) : Buffer.concat([held, chunk]);
    for (;;) {
      const peeked = sizeDelimitedPeek(held);
      if (peeked.eof) {
        if (held.length > 10) throw new Error('a frame of no readable size');
        break;
      }
      if (peeked.size > mostBytes) throw new Error(`a frame of ${peeked.size} bytes is over the limit`);
      if (held.length < peeked.offset + peeked.size) break;
      const frame = fromBinary(FrameSchema, held.subarray(peeked.offset, peeked.offset + peeked.size));
      held = held.subarray(peeked.offset + peeked.size);
      if (frame.wire !== wire) throw new Error(`a frame of wire version ${frame.wire}, not ${wire}`);
      yield frame;
    }
  }
}

/** Frames between the fleet's processes: size-delimited protobuf, of one wire version. */
export const frames = {
  wire,
  mostBytes,
  read,
  encode: (frame: Frame): Uint8Array => sizeDelimitedEncode(FrameSchema, frame),
};
