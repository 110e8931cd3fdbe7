import { Context } from 'effect';

/** Figures of an event; every value is printed as key=value. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Events with cause and figures: one line each, and kept for a while for those who ask. */
export class Log extends Context.Tag('foxdeck/Log')<
  Log,
  {
    readonly event: (name: string, fields: Fields) => void;
    readonly recent: (filter: { from: number; until: number; about: string; most: number }) => ReadonlyArray<string>;
    /** The fields of a line, read back. */
    readonly fields: (line: string) => Readonly<Record<string, string>>;
    readonly count: (name: string, by?: number) => void;
    readonly counts: () => Readonly<Record<string, number>>;
  }
>() {}
