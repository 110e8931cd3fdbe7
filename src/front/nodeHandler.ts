import { Cause, Effect, type Scope } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import type { HttpAsk, HttpHandler, HttpReply } from '../shared/http.js';
import { slab } from '../shared/slab.js';
import { makeNodeControlHandler } from './nodeControlHandler.js';
import { makeLotsHandler } from './lotsHandler.js';
import { makeOrdinary } from './ordinary.js';
import { replies } from './replies.js';

/** Handles all requests to a node, and counts those that it is carrying. */
export type NodeHandler = { readonly handle: HttpHandler; readonly inFlight: () => number };

/** Makes a node's handler: control calls anywhere, lots and bound requests at ready fronts under a lease. */
export const makeNodeHandler = (context: NodeContext): NodeHandler => {
  const control = makeNodeControlHandler(context);
  const lots = makeLotsHandler(context);
  const ordinary = makeOrdinary(context);
  const inFlight = slab<{ readonly path: string; readonly since: number }>();

  const served = (ask: HttpAsk): Effect.Effect<HttpReply, never, Scope.Scope> =>
    Effect.gen(function* () {
      const reading = ask.path.startsWith('/foxdeck/lots/') && ask.method === 'GET';
      if (!context.settings.roles.includes('front')) return replies.bounce(421, 'this node is no front');
      if (context.state() === 'draining' && !reading) return replies.bounce(503, 'this front is draining', 1);
      if (!context.leases.inForce()) return replies.bounce(503, 'this front holds no lease on the configuration', 1);
      if (inFlight.size() >= context.settings.inFlight) {
        context.log.count('overload_bounces');
        return replies.bounce(503, `this front carries ${inFlight.size()} requests already`, 1);
      }
      yield* Effect.acquireRelease(
        Effect.sync(() => inFlight.insert({ path: ask.path, since: context.time.held() })),
        ({ index, generation }) => Effect.sync(() => inFlight.take(index, generation)),
      );
      return yield* ask.path.startsWith('/foxdeck/lots') ? lots(ask) : ordinary(ask);
    });

  return {
    inFlight: inFlight.size,
    handle: (ask) =>
      Effect.gen(function* () {
        context.log.count('asks');
        const owned = ask.path.startsWith('/foxdeck/') || ask.path === '/foxdeck';
        const reply = yield* owned && !ask.path.startsWith('/foxdeck/lots') ? control(ask) : served(ask);
        context.log.count(`replies_${reply.status}`);
        return reply;
      }).pipe(
        Effect.catchAllCause((cause) =>
          Effect.sync(() => {
            context.log.event('ask_failed', {
              method: ask.method,
              path: ask.path,
              reason: Cause.pretty(cause).slice(0, 300),
            });
            return replies.unknown(500, 'the node failed on this request');
          }),
        ),
      ),
  };
};
