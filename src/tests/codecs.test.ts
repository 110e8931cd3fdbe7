import { describe, expect, test } from '@jest/globals';
import { create } from '@bufbuild/protobuf';
import { Effect } from 'effect';
import fc from 'fast-check';
import { frames } from '../edge/frames.js';
import { FrameSchema, type Frame } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import { checked } from '../shared/checked.js';
import { configurationSchema } from '../shared/configurationSchema.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import { settings } from '../shared/settings.js';

const text = fc.string({ maxLength: 40 });
const whole = fc.nat({ max: 2 ** 31 });
const frame: fc.Arbitrary<Frame> = fc.oneof(
  fc
    .record({ key: text, round: whole, proposer: text, value: fc.uint8Array({ maxLength: 200 }) })
    .map(({ key, round, proposer, value }) =>
      create(FrameSchema, {
        wire: frames.wire,
        index: round % 100,
        generation: round,
        body: {
          case: 'ask',
          value: answers.ask({
            case: 'accept',
            value: { target: { role: 'store', disk: proposer, epoch: 1 }, key, ballot: { round, proposer }, value },
          }),
        },
      }),
    ),
  fc.record({ step: text, reason: text }).map(({ step, reason }) =>
    create(FrameSchema, {
      wire: frames.wire,
      index: 1,
      generation: 2,
      body: { case: 'answer', value: answers.bounce(step, reason, 7) },
    }),
  ),
);

async function* inChunks(bytes: Uint8Array, sizes: ReadonlyArray<number>): AsyncGenerator<Uint8Array> {
  let from = 0;
  for (let place = 0; from < bytes.length; place += 1) {
    const size = sizes[place % sizes.length]!;
    yield bytes.subarray(from, from + size);
    from += size;
  }
}
const readAll = async (
  chunks: AsyncIterable<Uint8Array>,
): Promise<{ readonly got: ReadonlyArray<Frame>; readonly fault: string | undefined }> => {
  const got: Frame[] = [];
  try {
    for await (const each of frames.read(chunks)) got.push(each);
    return { got, fault: undefined };
  } catch (cause) {
    return { got, fault: String(cause) };
  }
};

describe('frames', () => {
  test('come out as they went in, however the bytes are cut up', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(frame, { minLength: 1, maxLength: 6 }),
        fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1, maxLength: 8 }),
        async (sent, sizes) => {
          const { got, fault } = await readAll(inChunks(Buffer.concat(sent.map(frames.encode)), sizes));
          expect(fault).toBeUndefined();
          expect(got).toEqual(sent);
        },
      ),
      { seed: 7, numRuns: 200 },
    );
  });

  test('garbage never gets through as more frames than its honest beginning held', async () => {
    await fc.assert(
      fc.asyncProperty(frame, fc.uint8Array({ minLength: 1, maxLength: 60 }), async (honest, garbage) => {
        const { got } = await readAll(inChunks(Buffer.concat([frames.encode(honest), garbage]), [13]));
        expect(got[0]).toEqual(honest);
        for (const each of got.slice(1)) expect(each.wire).toBe(frames.wire);
      }),
      { seed: 8, numRuns: 300 },
    );
  });

  test('another wire version and an oversize frame end the channel with a reason', async () => {
    const other = frames.encode(create(FrameSchema, { wire: 9, body: { case: 'answer', value: answers.done() } }));
    expect((await readAll(inChunks(other, [100]))).fault).toMatch(/wire version 9/);
    expect((await readAll(inChunks(Uint8Array.from([0xff, 0xff, 0xff, 0xff, 0x0f, 1, 2]), [100]))).fault).toMatch(
      /over the limit/,
    );
  });
});

describe('sealed files', () => {
  test('a flipped, cut or lengthened file never unseals to another body', () => {
    fc.assert(
      fc.property(
        fc.uint8Array({ minLength: 1, maxLength: 100 }),
        fc.nat(),
        fc.constantFrom('flip', 'cut', 'lengthen'),
        (body, place, how) => {
          const sealed = Buffer.from(sealedFiles.seal(body));
          const harmed =
            how === 'cut'
              ? sealed.subarray(0, place % sealed.length)
              : how === 'lengthen'
                ? Buffer.concat([sealed, Buffer.from([place % 256])])
                : Buffer.from(sealed);
          if (how === 'flip') harmed[place % harmed.length] = harmed[place % harmed.length]! ^ (1 + (place % 255));
          const read = Effect.runSync(Effect.either(sealedFiles.unseal('f', harmed)));
          if (read._tag === 'Right') expect(Buffer.compare(read.right, body)).toBe(0);
        },
      ),
      { seed: 9, numRuns: 1000 },
    );
  });
});

describe('documents', () => {
  test('any JSON is either taken by the schema or bounced with reasons that have paths and messages', () => {
    fc.assert(
      fc.property(
        fc.object({
          key: fc.constantFrom(
            'id',
            'services',
            'bindings',
            'stores',
            'moves',
            'weights',
            'voters',
            'seating',
            'expected',
            'kind',
            'path',
          ),
          maxDepth: 4,
        }),
        (document) => {
          const shape = checked<{ readonly id: string }>(configurationSchema, document);
          if (shape.isOk) expect(typeof shape.value.id).toBe('string');
          else
            expect(shape.error.every((reason) => typeof reason.path === 'string' && reason.message.length > 0)).toBe(
              true,
            );
        },
      ),
      { seed: 10, numRuns: 500 },
    );
  });

  test('settings name every wrong place at once', () => {
    const good = {
      name: 'a',
      domain: 'd',
      roles: ['front'],
      peer: '127.0.0.1:1',
      http: '127.0.0.1:2',
      seeds: ['127.0.0.1:1'],
    };
    const reasons = (document: object): string => {
      const shape = checked(settings.schema, document);
      return shape.isErr ? shape.error.map((reason) => `${reason.path} ${reason.message}`).join('\n') : '';
    };
    expect(reasons(good)).toBe('');
    expect(reasons({ ...good, peer: 'here', surprise: 1 })).toMatch(
      /peer must be an IP number[\s\S]*surprise|surprise[\s\S]*peer must be an IP number/,
    );
    expect(reasons({ ...good, http: good.peer })).toMatch(/differ/);
    expect(reasons({ ...good, roles: ['store'] })).toMatch(/data is needed/);
    expect(reasons({ ...good, name: undefined })).toMatch(/name/);
  });
});
