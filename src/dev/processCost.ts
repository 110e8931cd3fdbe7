import { readFileSync, readdirSync, statSync } from 'node:fs';
import { join } from 'node:path';

/** What a process has used since it began, and what it holds now. */
export type ProcessCost = {
  readonly cpuMs: number;
  readonly residentMb: number;
  /** Bytes that left or came by system calls, sockets and files alike. */
  readonly wrote: number;
  readonly read: number;
};

const tickMs = 10;
const field = (text: string, name: string): number => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(text)?.[1] ?? 0);

const of = (pid: number): ProcessCost => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    cpuMs: (Number(fields[11]) + Number(fields[12])) * tickMs,
    residentMb: field(readFileSync(`/proc/${pid}/status`, 'utf8'), 'VmRSS') / 1024,
    wrote: field(io, 'wchar'),
    read: field(io, 'rchar'),
  };
};
const folderBytes = (folder: string): number =>
  readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .reduce((sum, entry) => sum + statSync(join(entry.parentPath, entry.name)).size, 0);

/** Processor, memory and bytes of processes, read from /proc; a tick of its clock is 10 ms. */
export const processCost = { of, folderBytes };
