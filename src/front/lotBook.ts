import { create } from '@bufbuild/protobuf';
import { Effect } from 'effect';
import { CheckpointSchema, type Checkpoint } from '../gen/foxdeck_pb.js';
import type { NodeContext } from '../node/nodeContext.js';
import { Fault } from '../shared/fault.js';
import { lot, type ItemResult, type Lot, type Rating, type TextPiece } from './lot.js';

/** What a checkpoint tells besides the text. */
export type SavedPlace = {
  readonly final: boolean;
  readonly fault?: string;
  readonly sampler: string | undefined;
  readonly incarnation: number;
  readonly version: number;
  readonly promptTokens: number;
};

/** A lot as the stores have it. */
export type FoundLot = {
  readonly lot: Lot;
  readonly results: ReadonlyMap<string, ItemResult>;
  readonly rated: ReadonlySet<string>;
  readonly texts: ReadonlyMap<string, { readonly pieces: ReadonlyArray<TextPiece>; readonly place: SavedPlace }>;
};

const encode = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value));
const decode = <T>(bytes: Uint8Array): T => JSON.parse(Buffer.from(bytes).toString('utf8')) as T;

/** Reads and writes of lots on the stores, as JSON in write-once records and checkpoints. */
export const lotBook = (archive: NodeContext['archive']) => {
  const read = <T>(key: string): Effect.Effect<T | undefined, Fault> =>
    Effect.map(archive.read(key), (bytes) => (bytes ? decode<T>(bytes) : undefined));
  const once = <T>(key: string, value: T): Effect.Effect<T, Fault> =>
    Effect.map(archive.decide(key, encode(value)), (decision) => decode<T>(decision.value));
  const checkpointKey = (duty: string, item: string): string => `${duty}|${item}`;
  const checkpoint = (
    duty: string,
    token: number,
    item: string,
    pieces: ReadonlyArray<TextPiece>,
    place: SavedPlace,
    from = 0,
  ): Checkpoint =>
    create(CheckpointSchema, {
      key: checkpointKey(duty, item),
      token,
      count: pieces.length + (place.final ? 1 : 0),
      state: JSON.stringify(place),
      promptTokens: place.promptTokens,
      from,
      pieces: pieces
        .slice(from)
        .map((piece, index) => ({ $typeName: 'foxdeck.Piece' as const, index: from + index, ...piece })),
    });
  return {
    read,
    once,
    checkpoint,
    lot: (id: string) => read<Lot>(lot.keys.lot(id)),
    end: (id: string) => read<{ reason: string }>(lot.keys.end(id)),
    result: (item: string) => read<ItemResult>(lot.keys.result(item)),
    retired: (id: string) => read<{ reason: string }>(lot.keys.retired(id)),
    rating: (item: string) => read<Rating>(lot.keys.rating(item)),
    /** The lots that some store does not know to be ended, among those not known yet. */
    openLots: (
      known: (id: string) => boolean,
    ): Effect.Effect<{ readonly ids: ReadonlyArray<string>; readonly complete: boolean }, Fault> =>
      Effect.gen(function* () {
        const { keys, complete } = yield* archive.list('open/');
        return { ids: keys.map((key) => key.slice('open/'.length)).filter((id) => !known(id)), complete };
      }),
    load: (id: string, duty: string, token: number): Effect.Effect<FoundLot | undefined, Fault> =>
      Effect.gen(function* () {
        const found = yield* read<Lot>(lot.keys.lot(id));
        if (!found) return undefined;
        const items = lot.itemsOf(found).map((each) => lot.keys.item(id, each.group, each.item));
        const listed = yield* archive.list(`result/${id}/`);
        const rated = yield* archive.list(`rating/${id}/`);
        if (!listed.complete) return yield* new Fault({ step: 'load lot', reason: 'too few stores answer' });
        const results = new Map<string, ItemResult>();
        yield* Effect.forEach(
          listed.keys,
          (key) =>
            Effect.map(read<ItemResult>(key), (result) => {
              if (result) results.set(key.slice('result/'.length), result);
            }),
          { concurrency: 8 },
        );
        const open = items.filter((item) => !results.has(item));
        const checkpoints = yield* archive.get(
          id,
          duty,
          token,
          open.map((item) => checkpointKey(duty, item)),
        );
        const texts = new Map(
          checkpoints.map((each) => [
            each.key.slice(duty.length + 1),
            {
              pieces: each.pieces.map(({ text, tokens, version }) => ({ text, tokens, version })),
              place: JSON.parse(each.state) as SavedPlace,
            },
          ]),
        );
        const again = [...texts].map(([item, { pieces, place }]) => checkpoint(duty, token, item, pieces, place));
        if (again.length > 0) yield* archive.put(id, duty, again);
        return { lot: found, results, rated: new Set(rated.keys.map((key) => key.slice('rating/'.length))), texts };
      }),
    forget: (id: string, duty: string, token: number, items: ReadonlyArray<string>): Effect.Effect<void, Fault> =>
      archive.put(
        id,
        duty,
        items.map((item) =>
          create(CheckpointSchema, { key: checkpointKey(duty, item), token, count: 2 ** 31, state: 'gone' }),
        ),
      ),
  };
};
