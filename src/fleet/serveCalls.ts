import type { Channels } from '../edge/channels.js';
import { packing } from '../edge/packing.js';
import type { Answer, Ask } from '../gen/foxdeck_pb.js';
import { answers } from '../shared/answers.js';
import { Fault } from '../shared/fault.js';
import type { ProgramTools } from './program.js';

/** Serves calls by name, and what else is asked; a call that fails is answered with its reason. */
export const serveCalls = (
  channels: Channels,
  address: string,
  handle: (name: string, body: unknown) => Promise<unknown> | undefined,
  log: ProgramTools['log'],
  others?: (ask: Ask, reply: (answer: Answer) => void) => void,
): Promise<unknown> =>
  channels.serve(address, (ask, reply) => {
    if (ask.kind.case !== 'call')
      return others ? others(ask, reply) : reply(answers.bounce('ask', 'not answered here'));
    const { name } = ask.kind.value;
    const bounced = (cause: unknown): void => {
      const reason = cause instanceof Error ? cause.message : String(cause);
      if (!(cause instanceof Error && '_tag' in cause)) log.event('call_failed', { call: name, reason });
      // An error that no handler foresaw may have come in the middle of its work.
      const unknown = !(cause instanceof Fault) || cause.unknown === true;
      reply(answers.bounce(name, reason, 0, unknown));
    };
    try {
      const work = handle(name, packing.unpack(ask.kind.value));
      if (!work) return reply(answers.bounce(name, 'not answered here'));
      work.then((value) => {
        reply(answers.answer({ case: 'call', value: packing.pack(value) }));
      }, bounced);
    } catch (cause) {
      bounced(cause);
    }
  });
