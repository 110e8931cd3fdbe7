import { Effect } from 'effect';
import type { Http } from '../shared/http.js';
import type { Clients, Seen } from './clients.js';
import type { Final } from './oracle.js';

const triesMost = 20;

/** Reads everything that was acknowledged, as a client would, patient with fronts that are not ready. */
export const readFinal = (clients: Clients, seen: ReadonlyArray<Seen>): Effect.Effect<Final, never, Http> =>
  Effect.gen(function* () {
    const insist = (path: string) =>
      Effect.gen(function* () {
        for (let tries = 0; ; tries += 1) {
          const told = yield* clients.ask(clients.front(), 'GET', path);
          if ((told.status !== 503 && told.status !== 0 && told.status !== 504) || tries > triesMost) return told;
          yield* Effect.sleep(500);
        }
      });
    const shown = yield* insist('/foxdeck/configuration');
    const sequence = (shown.body['sequence'] as number | undefined) ?? 0;
    const chain: Array<Final['chain'][number]> = [];
    for (let place = 1; place <= sequence; place += 1)
      chain.push((yield* insist(`/foxdeck/configuration?sequence=${place}`)).body as unknown as Final['chain'][number]);
    const lots = new Map<string, { status: number; state: string; items: Map<string, Record<string, unknown>> }>();
    for (const told of seen.filter((each) => each.kind === 'lot-told' && each['status'] === 201)) {
      const id = told['id'] as string;
      const lot = yield* insist(`/foxdeck/lots/${id}`);
      const items = new Map<string, Record<string, unknown>>();
      for (const item of (lot.body['items'] ?? []) as ReadonlyArray<{ group: number; item: number }>) {
        items.set(
          `${item.group}/${item.item}`,
          (yield* insist(`/foxdeck/lots/${id}/items/${item.group}/${item.item}`)).body,
        );
      }
      lots.set(id, { status: lot.status, state: String(lot.body['state']), items });
    }
    return { chain, sequence, askedAt: shown.asked, lots };
  });
