import { createHash } from 'node:crypto';

const words = [
  'ami',
  'bora',
  'cyane',
  'dusa',
  'eza',
  'fata',
  'gira',
  'hora',
  'ikaze',
  'jya',
  'kora',
  'leta',
  'mera',
  'neza',
  'ora',
  'pima',
  'rara',
  'seka',
  'tega',
  'umva',
  'vuga',
  'wowe',
  'yego',
  'zana',
];
const draw = (...parts: ReadonlyArray<string | number>): number =>
  createHash('sha256').update(parts.join('\u0000')).digest().readUInt32BE();

/** Texts in which each piece follows from the version and all that came before, so that splices and mixes show. */
export const textOf = {
  length: (prompt: string, maxTokens: number | undefined): number =>
    Math.min(6 + (draw('length', prompt) % 60), maxTokens ?? Infinity),
  piece: (
    prompt: string,
    version: number,
    before: string,
    index: number,
  ): { readonly text: string; readonly tokens: number; readonly version: number } => {
    const number = draw(prompt, version, before, index);
    const text = `${words[number % words.length]}-v${version}.${index} ${'la '.repeat(number % 8)}`;
    return { text, tokens: textOf.tokens(text), version };
  },
  tokens: (text: string): number => Math.ceil(text.length / 2),
  promptTokens: (prompt: string): number => Math.ceil(prompt.length / 3),
  /** What a model answers to an ordinary request. */
  answer: (path: string, version: number): string =>
    Array.from({ length: 12 }, (_, place) => words[draw(path, version, place) % words.length]).join(' '),
  /** Whether pieces are what one run of the stated versions gives, each continuing the one before. */
  holds: (prompt: string, pieces: ReadonlyArray<{ readonly text: string; readonly version: number }>): boolean => {
    let before = '';
    return pieces.every((piece, index) => {
      const due = textOf.piece(prompt, piece.version, before, index + 1);
      before += piece.text;
      return due.text === piece.text;
    });
  },
};
