import type { Context } from 'effect';
import winston from 'winston';
import type { Log } from '../shared/log.js';
import { memoryLog } from '../shared/memoryLog.js';

/** Events on standard error, a line each. */
export const realLog = (node: string): Context.Tag.Service<typeof Log> => {
  const printer = winston.createLogger({
    level: 'info',
    format: winston.format.printf((info) => String(info.message)),
    transports: [new winston.transports.Console({ stderrLevels: ['info', 'warn', 'error'] })],
  });
  return memoryLog({ node, wall: Date.now, most: 5000, print: (line) => printer.info(line) });
};
