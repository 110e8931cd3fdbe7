import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { packing } from '../edge/packing.js';
import { Parted } from '../shared/parted.js';
import { texts } from '../shared/texts.js';

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
    expect(() => packing.unpack({ body: Buffer.from('{'), packed: false, parts: [] })).toThrow();
  });
  test('bytes inside a value go beside it and come back where they were', () => {
    const bytes = fc.uint8Array({ maxLength: 40 });
    const { tree } = fc.letrec((tie) => ({
      tree: fc.oneof({ depthSize: 'small' }, fc.integer(), fc.string(), bytes, fc.array(tie('tree'), { maxLength: 4 })),
    }));
    const held = (value: unknown): unknown =>
      value instanceof Uint8Array ? new Parted(value) : Array.isArray(value) ? { some: value.map(held) } : value;
    const plain = (value: unknown): unknown =>
      value instanceof Parted
        ? Uint8Array.from(value.bytes)
        : typeof value === 'object' && value !== null
          ? (value as { readonly some: ReadonlyArray<unknown> }).some.map(plain)
          : value;
    fc.assert(
      fc.property(tree, (value) => expect(plain(packing.unpack(packing.pack(held(value))))).toEqual(value)),
      { seed: 11, numRuns: 300 },
    );
  });
  test('a part that did not come is noticed', () => {
    const packed = packing.pack([new Parted(Buffer.from('one')), new Parted(Buffer.from('two'))]);
    expect(packed.parts).toHaveLength(2);
    expect(() => packing.unpack({ ...packed, parts: packed.parts.slice(0, 1) })).toThrow('part 1 of 1 is not there');
  });
  test('texts come out as they went in; long ones are bytes, whose damage is noticed', () => {
    fc.assert(
      fc.property(fc.string({ unit: 'grapheme', maxLength: 900 }), (text) =>
        expect(texts.read(texts.pack(text))).toBe(text),
      ),
      { seed: 13, numRuns: 200 },
    );
    const long = texts.pack('a text of some length, '.repeat(60)) as Parted;
    expect(long.bytes.length).toBeLessThan(200);
    expect(() => texts.read(new Parted(long.bytes.subarray(0, long.bytes.length - 4)))).toThrow();
  });
  test('nothing is null', () => {
    expect(packing.unpack(packing.pack(undefined))).toBeNull();
  });
});
