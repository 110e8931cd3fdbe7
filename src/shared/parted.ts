let collected: Uint8Array[] | undefined;

/** Bytes inside a JSON value: they go beside the JSON, never through it. */
export class Parted {
  constructor(readonly bytes: Uint8Array) {}

  /** The place of the bytes among a value's parts, while `split` writes it; what is split nowhere has none. */
  toJSON(): { readonly $part: number } {
    return { $part: collected ? collected.push(this.bytes) - 1 : -1 };
  }

  /** A value's JSON, with the bytes that it holds, in order. */
  static split(value: unknown): { readonly json: string; readonly parts: ReadonlyArray<Uint8Array> } {
    const parts: Uint8Array[] = [];
    collected = parts;
    try {
      return { json: JSON.stringify(value ?? null), parts };
    } finally {
      collected = undefined;
    }
  }

  /** The value again; throws a SyntaxError where the JSON is none or names a part that is not there. */
  static join(json: string, parts: ReadonlyArray<Uint8Array>): unknown {
    const value = JSON.parse(json) as unknown;
    return parts.length === 0 ? value : joined(value, parts);
  }
}

const joined = (value: unknown, parts: ReadonlyArray<Uint8Array>): unknown => {
  if (typeof value !== 'object' || value === null) return value;
  const place = (value as { readonly $part?: unknown }).$part;
  if (typeof place === 'number') {
    const bytes = parts[place];
    if (!bytes) throw new SyntaxError(`part ${place} of ${parts.length} is not there`);
    // A copy of its own: the message that it came in is large and goes.
    return new Parted(Buffer.from(bytes));
  }
  const fields = value as Record<string, unknown>;
  for (const key of Object.keys(fields)) {
    const field = fields[key];
    if (typeof field === 'object' && field !== null) fields[key] = joined(field, parts);
  }
  return value;
};
