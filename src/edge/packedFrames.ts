import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { FrameSchema, type Frame } from '../gen/foxdeck_pb.js';
import { frames } from './frames.js';

/** Values of the configuration log are some 30 KB of text that deflates to a fifth; less than this is not worth it. */
const leastBytes = 2048;
const how = { level: 1, memLevel: 8, windowBits: 15 };

/** Calls by name bring bodies that are packed already. */
const isCall = ({ body }: Frame): boolean =>
  (body.case === 'ask' || body.case === 'answer') && body.value.kind.case === 'call';

/** Frames on their way between processes, deflated where that saves bytes. */
export const packedFrames = {
  pack: (frame: Frame): Frame => {
    if (isCall(frame)) return frame;
    const bytes = toBinary(FrameSchema, frame);
    if (bytes.length < leastBytes) return frame;
    const { wire, index, generation } = frame;
    return create(FrameSchema, {
      wire,
      index,
      generation,
      body: { case: 'packed', value: deflateRawSync(bytes, how) },
    });
  },
  /** Throws where the bytes are not a packed frame. */
  unpack: (frame: Frame): Frame =>
    frame.body.case === 'packed'
      ? fromBinary(FrameSchema, inflateRawSync(frame.body.value, { maxOutputLength: frames.mostBytes }))
      : frame,
};
