import { Context, type Effect, type Scope, type Stream } from 'effect';
import type { Address } from './brands.js';
import type { Fault } from './fault.js';

/** An HTTP request with its body read. */
export type HttpAsk = {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
};

/** An HTTP response; a body that fails is passed on as a cut, never as a clean end. */
export type HttpReply = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | Stream.Stream<Uint8Array, Fault>;
};

/** Answers a request; closing the scope ends what still runs for it. */
export type HttpHandler = (ask: HttpAsk) => Effect.Effect<HttpReply, never, Scope.Scope>;

/** Calls towards samplers and other outside addresses, and the serving of callers. */
export class Http extends Context.Tag('foxdeck/Http')<
  Http,
  {
    readonly serve: (
      address: Address,
      handler: HttpHandler,
      bodyLimit: number,
    ) => Effect.Effect<void, Fault, Scope.Scope>;
    /** Fails with `unknown` unset only while no byte can have left. */
    readonly call: (address: Address, ask: HttpAsk) => Effect.Effect<HttpReply, Fault, Scope.Scope>;
  }
>() {}
