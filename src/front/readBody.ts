import { Chunk, Effect, Stream } from 'effect';
import type { Fault } from '../shared/fault.js';

/** Reads a reply's whole body; a cut one fails. */
export const readBody = (body: Uint8Array | Stream.Stream<Uint8Array, Fault>): Effect.Effect<Uint8Array, Fault> =>
  body instanceof Uint8Array
    ? Effect.succeed(body)
    : Effect.map(Stream.runCollect(body), (chunks) => Buffer.concat(Chunk.toReadonlyArray(chunks)));
