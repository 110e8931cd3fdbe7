import { createHash } from 'node:crypto';
import * as yup from 'yup';
import { brands, type LotId } from '../shared/brands.js';

const whole = () => yup.number().integer().min(0);

const schema = yup
  .object({
    key: yup
      .string()
      .matches(/^[\x21-\x7e]{1,200}$/, '${path} must be 1 to 200 printable characters without blanks')
      .required(),
    service: yup.string().required(),
    step: whole().required(),
    taskType: yup.string().max(100).required(),
    minVersion: whole(),
    singleVersion: yup.boolean(),
    stalenessBound: whole(),
    ratingService: yup.string(),
    groups: yup
      .array(
        yup
          .object({
            items: yup
              .array(
                yup
                  .object({
                    prompt: yup.string().required(),
                    maxTokens: whole().min(1),
                  })
                  .noUnknown()
                  .strict()
                  .required(),
              )
              .min(1)
              .max(1024)
              .required(),
          })
          .noUnknown()
          .strict()
          .required(),
      )
      .min(1)
      .max(1024)
      .required(),
  })
  .noUnknown()
  .strict();

/** A trainer step's lot: groups of generations that belong together. */
export type Lot = {
  readonly key: string;
  readonly service: string;
  readonly step: number;
  readonly taskType: string;
  readonly minVersion?: number;
  readonly singleVersion?: boolean;
  readonly stalenessBound?: number;
  readonly ratingService?: string;
  readonly groups: ReadonlyArray<{
    readonly items: ReadonlyArray<{ readonly prompt: string; readonly maxTokens?: number }>;
  }>;
};

/** A piece of a text, as it came from a sampler. */
export type TextPiece = { readonly text: string; readonly tokens: number; readonly version: number };

/** What became of an item; it is written once. */
export type ItemResult =
  | {
      readonly state: 'complete';
      readonly pieces: ReadonlyArray<TextPiece>;
      readonly promptTokens: number;
      readonly digest: string;
    }
  | { readonly state: 'failed'; readonly reason: string; readonly pieces: ReadonlyArray<TextPiece> };

/** A rating, bound to the text that it was asked for. */
export type Rating = { readonly digest: string; readonly rating: unknown };

/** Lots: their schema, identity and keys on the stores. */
export const lot = {
  schema,
  idOf: (key: string): LotId => brands.lotId(`lot-${createHash('sha256').update(key).digest('hex').slice(0, 20)}`),
  digestOf: (text: string): string => createHash('sha256').update(text).digest('hex'),
  itemsOf: (
    given: Lot,
  ): ReadonlyArray<{
    readonly group: number;
    readonly item: number;
    readonly prompt: string;
    readonly maxTokens: number | undefined;
  }> =>
    given.groups.flatMap((group, groupIndex) =>
      group.items.map((item, itemIndex) => ({
        group: groupIndex,
        item: itemIndex,
        prompt: item.prompt,
        maxTokens: item.maxTokens,
      })),
    ),
  keys: {
    lot: (id: string): string => `lot/${id}`,
    end: (id: string): string => `end/${id}`,
    retired: (id: string): string => `retired/${id}`,
    result: (item: string): string => `result/${item}`,
    rating: (item: string): string => `rating/${item}`,
    item: (id: string, group: number, item: number): string => `${id}/${group}/${item}`,
  },
};
