import { Context, type Effect, type Scope } from 'effect';
import type { Answer, Ask } from '../gen/foxdeck_pb.js';
import type { Address } from './brands.js';
import type { Fault } from './fault.js';

/** What a node answers to its cohort members. */
export type AskHandler = (ask: Ask) => Effect.Effect<Answer>;

/** Channels between the fleet's own processes. */
export class Links extends Context.Tag('foxdeck/Links')<
  Links,
  {
    readonly serve: (address: Address, handler: AskHandler) => Effect.Effect<void, Fault, Scope.Scope>;
    readonly ask: (address: Address, ask: Ask, timeLeft: number) => Effect.Effect<Answer, Fault>;
  }
>() {}
