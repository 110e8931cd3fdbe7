import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { packing } from '../edge/packing.js';

describe('packed bodies', () => {
  test('come out as they went in, short and long ones', () => {
    fc.assert(
      fc.property(fc.jsonValue(), fc.integer({ min: 0, max: 3000 }), (value, length) => {
        const body = { value, text: 'x'.repeat(length) };
        expect(packing.unpack(packing.pack(body))).toEqual(JSON.parse(JSON.stringify(body)));
      }),
      { seed: 7, numRuns: 200 },
    );
  });
  test('long ones take less room, and damage is noticed', () => {
    const packed = packing.pack({ text: 'abcdefgh'.repeat(1000) });
    expect(packed.packed).toBe(true);
    expect(packed.body.length).toBeLessThan(800);
    expect(() => packing.unpack({ ...packed, body: packed.body.subarray(0, packed.body.length - 5) })).toThrow();
    expect(() => packing.unpack({ body: Buffer.from('{'), packed: false })).toThrow();
  });
  test('nothing is null', () => {
    expect(packing.unpack(packing.pack(undefined))).toBeNull();
  });
});
