import { realFiles } from '../edge/realFiles.js';
import { realLog } from '../edge/realLog.js';
import { realTime } from '../edge/realTime.js';
import { realTransport } from '../edge/realTransport.js';
import type { Edge } from './program.js';

/** The outside of a process of this machine: its network, files, clocks and log. */
export const realEdge = (node: string): Edge => ({
  transport: realTransport,
  files: realFiles,
  time: realTime(),
  log: realLog(node),
});
