import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { realFiles } from '../../edge/realFiles.js';
import { Fault } from '../../shared/fault.js';
import type { FileSystem, OpenFile } from '../../shared/fileSystem.js';
import { Parted } from '../../shared/parted.js';

/** An append-only journal of JSON records in segments; what `append` answered for lasts. */
export type Journal = {
  /** Answers once the record lasts on disk; the lot names what the segment is kept for. */
  readonly append: (lot: string, record: object) => Promise<void>;
  /** Takes away the oldest segments that no lot needs any more. */
  readonly retire: (needed: (lot: string) => boolean) => Promise<void>;
  readonly stats: () => { readonly bytes: number; readonly syncs: number; readonly segments: number };
};

type Segment = { readonly number: number; readonly lots: Set<string>; bytes: number };
type Entry = {
  readonly lot: string;
  readonly bytes: Buffer;
  readonly done: () => void;
  readonly failed: (f: Fault) => void;
};

const segmentMost = 8 * 1024 * 1024;
const header = 8;
const nameOf = (number: number): string => `${String(number).padStart(8, '0')}.log`;

const syncFolder = async (files: FileSystem, folder: string): Promise<void> => {
  const handle = await files.open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** A record is JSON; where it holds bytes, a zero, the JSON's length, the JSON, and each part behind its length. */
const written = (record: object): Buffer => {
  const { json, parts } = Parted.split(record);
  const text = Buffer.from(json);
  if (parts.length === 0) return text;
  const pieces: Uint8Array[] = [Buffer.of(0)];
  for (const piece of [text, ...parts]) {
    const length = Buffer.allocUnsafe(4);
    length.writeUInt32LE(piece.length);
    pieces.push(length, piece);
  }
  return Buffer.concat(pieces);
};
const read = (body: Buffer): unknown => {
  if (body[0] !== 0) return JSON.parse(body.toString()) as unknown;
  const pieces: Buffer[] = [];
  for (let at = 1; at < body.length; at += 4 + pieces.at(-1)!.length)
    pieces.push(body.subarray(at + 4, at + 4 + body.readUInt32LE(at)));
  return Parted.join(pieces[0]!.toString(), pieces.slice(1));
};

const frame = (record: object): Buffer => {
  const body = written(record);
  const whole = Buffer.allocUnsafe(header + body.length);
  whole.writeUInt32LE(body.length, 0);
  whole.writeUInt32LE(crc32(body), 4);
  body.copy(whole, header);
  return whole;
};

/** Reads records up to the first that is cut short or torn; what comes behind it was never answered for. */
const replay = (bytes: Buffer, found: (record: unknown) => void): void => {
  for (let at = 0; at + header <= bytes.length;) {
    const length = bytes.readUInt32LE(at);
    const body = bytes.subarray(at + header, at + header + length);
    if (length === 0 || body.length < length || crc32(body) !== bytes.readUInt32LE(at + 4)) return;
    found(read(body));
    at += header + length;
  }
};

/**
 * Opens a folder's journal, telling each record that lasts in order. Records of one turn share one sync. A failed write
 * ends its segment: the records are answered with a Fault and the next ones go to a new file.
 */
export const openJournal = async (
  folder: string,
  found: (record: { readonly lot: string }) => void,
  files: FileSystem = realFiles,
): Promise<Journal> => {
  await files.makeFolder(folder);
  await syncFolder(files, join(folder, '..'));
  const names = (await files.list(folder)).filter((name) => name.endsWith('.log')).sort();
  const segments: Segment[] = [];
  for (const name of names) {
    const segment: Segment = { number: Number(name.slice(0, 8)), lots: new Set(), bytes: 0 };
    const bytes = await files.read(join(folder, name));
    segment.bytes = bytes.length;
    replay(bytes, (record) => {
      const known = record as { readonly lot: string };
      segment.lots.add(known.lot);
      found(known);
    });
    segments.push(segment);
    // What an earlier life wrote without a sync may be read here and still go with the power: it is made to last first.
    const opened = await files.open(join(folder, name), 'r+');
    try {
      await opened.datasync();
    } finally {
      await opened.close();
    }
  }
  let handle: OpenFile | undefined;
  let queue: Entry[] = [];
  let running = false;
  let syncs = 0;

  const current = async (): Promise<{ handle: OpenFile; segment: Segment }> => {
    const last = segments.at(-1);
    if (handle && last && last.bytes < segmentMost) return { handle, segment: last };
    if (handle) await handle.close().catch(() => undefined);
    handle = undefined;
    const segment: Segment = { number: (last?.number ?? 0) + 1, lots: new Set(), bytes: 0 };
    handle = await files.open(join(folder, nameOf(segment.number)), 'w');
    await syncFolder(files, folder);
    segments.push(segment);
    return { handle, segment };
  };

  const run = async (): Promise<void> => {
    running = true;
    while (queue.length > 0) {
      const batch = queue;
      queue = [];
      try {
        const { handle: file, segment } = await current();
        const whole = batch.length === 1 ? batch[0]!.bytes : Buffer.concat(batch.map((entry) => entry.bytes));
        for (const entry of batch) segment.lots.add(entry.lot);
        segment.bytes += whole.length;
        for (let at = 0; at < whole.length;) at += (await file.write(whole, at)).bytesWritten;
        await file.datasync();
        syncs += 1;
        for (const entry of batch) entry.done();
      } catch (cause) {
        const fault = new Fault({ step: 'journal', reason: String(cause), unknown: true });
        await handle?.close().catch(() => undefined);
        handle = undefined;
        // What came meanwhile may stand on the records that failed.
        const waited = queue;
        queue = [];
        for (const entry of [...batch, ...waited]) entry.failed(fault);
      }
    }
    running = false;
  };

  return {
    append: (lot, record) =>
      new Promise((done, failed) => {
        queue.push({ lot, bytes: frame(record), done, failed });
        if (!running) {
          running = true;
          setImmediate(() => void run());
        }
      }),
    retire: async (needed) => {
      while (segments.length > 1 && ![...segments[0]!.lots].some(needed)) {
        const gone = segments.shift()!;
        await files.remove(join(folder, nameOf(gone.number)));
      }
    },
    stats: () => ({ bytes: segments.reduce((sum, each) => sum + each.bytes, 0), syncs, segments: segments.length }),
  };
};
