import { create, equals, toBinary } from '@bufbuild/protobuf';
import { describe, expect, test } from '@jest/globals';
import { packedFrames } from '../edge/packedFrames.js';
import { FrameSchema, type Frame } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';

const value = Buffer.from(JSON.stringify(Array.from({ length: 200 }, (_, at) => ({ name: `route-${at}`, weight: 1 }))));
const learn = (bytes: Uint8Array): Frame => {
  const ask = answers.ask({ case: 'learn', value: { value: bytes } });
  return create(FrameSchema, { wire: 1, index: 7, generation: 2, body: { case: 'ask', value: ask } });
};
const size = (frame: Frame): number => toBinary(FrameSchema, frame).length;

describe('a frame of the configuration log', () => {
  test('travels deflated where it is large, under its own place, and is the same again', () => {
    const frame = learn(value);
    const packed = packedFrames.pack(frame);
    expect({ index: packed.index, generation: packed.generation, kind: packed.body.case }).toEqual({
      index: 7,
      generation: 2,
      kind: 'packed',
    });
    expect(size(packed)).toBeLessThan(size(frame) / 3);
    expect(equals(FrameSchema, packedFrames.unpack(packed), frame)).toBe(true);
  });
  test('stays as it is where it is small, and a call by name always', () => {
    const small = learn(value.subarray(0, 500));
    expect(packedFrames.pack(small)).toBe(small);
    const call = answers.ask({ case: 'call', value: { name: 'lot.read', body: value, packed: true, parts: [] } });
    const frame = create(FrameSchema, { wire: 1, index: 1, generation: 1, body: { case: 'ask', value: call } });
    expect(packedFrames.pack(frame)).toBe(frame);
  });
  test('that was damaged is no frame', () => {
    const packed = packedFrames.pack(learn(value));
    const bytes = Buffer.from(packed.body.value as Uint8Array).subarray(0, 40);
    expect(() => packedFrames.unpack({ ...packed, body: { case: 'packed', value: bytes } })).toThrow();
  });
});
