import { createParser } from 'eventsource-parser';
import { Effect, Stream } from 'effect';
import type { Address } from '../shared/brands.js';
import type { Lot } from '../front/lot.js';
import type { Configuration } from '../shared/configuration.js';
import { Http } from '../shared/http.js';
import type { Seen, Told } from './clients.js';
import type { SimFleet } from './simFleet.js';
import type { World } from './world.js';

/** Trainers who hand lots over, name weights and end lots, and those who follow texts as they grow. */
export const makeTrainers = (given: {
  readonly world: World;
  readonly fleet: SimFleet;
  readonly seen: Seen[];
  readonly stopAt: () => number;
  readonly going: () => boolean;
  readonly front: () => Address;
  readonly ask: (
    address: Address,
    method: string,
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
    timeLeft?: number,
  ) => Effect.Effect<Told, never, Http>;
  readonly note: (kind: string, asked: number, fields: Record<string, unknown>) => void;
  readonly model: string;
  readonly plain: string;
}) => {
  const { world, fleet, seen, stopAt, going, front, ask, note, model, plain } = given;
  const following = { count: 0 };

  const trainer = (name: string): Effect.Effect<void, never, Http> =>
    Effect.gen(function* () {
      let version = 1;
      for (let step = 0; going(); step += 1) {
        const lot = {
          key: `${name}-${step}`,
          service: model,
          step,
          taskType: fleet.given.taskTypes[step % fleet.given.taskTypes.length],
          minVersion: Math.max(1, version - (world.chance() < 0.5 ? 1 : 0)),
          singleVersion: world.chance() < 0.4,
          stalenessBound: 3,
          ...(world.chance() < 0.7 ? { ratingService: plain } : {}),
          groups: Array.from({ length: 3 }, (_, group) => ({
            items: Array.from({ length: 4 }, () => ({
              prompt: [name, step, group, 'practice '.repeat(10 + Math.floor(world.chance() * 60))].join(' '),
            })),
          })),
        };
        let taken: Told;
        do {
          taken = yield* ask(front(), 'POST', '/foxdeck/lots', lot);
          note('lot-told', taken.asked, {
            key: lot.key,
            lot,
            status: taken.status,
            outcome: taken.outcome,
            id: taken.body['id'],
          });
          if (taken.status !== 201) yield* Effect.sleep(500);
        } while (taken.status !== 201 && going());
        if (taken.status !== 201) return;
        const id = taken.body['id'] as string;
        const ending = world.chance() < 0.3;
        const until = world.now() + (ending ? world.between(200, 3000) : 25_000);
        for (;;) {
          yield* Effect.sleep(700);
          const at = front();
          const shown = yield* ask(at, 'GET', `/foxdeck/lots/${id}`);
          note('lot-read', shown.asked, {
            id,
            front: at,
            status: shown.status,
            outcome: shown.outcome,
            body: shown.body,
          });
          if (shown.status === 200 && shown.body['state'] !== 'open') break;
          if (world.now() > until || !going()) break;
        }
        if (ending) {
          const told = yield* ask(front(), 'POST', `/foxdeck/lots/${id}/end`);
          note('end-told', told.asked, { id, status: told.status, state: told.body['state'] });
        }
        if (world.chance() < 0.6) {
          const named = yield* ask(
            front(),
            'POST',
            '/foxdeck/weights',
            { service: model, version: version + 1, step },
            {},
            30_000,
          );
          note('weights-told', named.asked, {
            version: version + 1,
            status: named.status,
            sequence: named.body['sequence'],
          });
          if (named.status === 200) version += 1;
        }
      }
    });

  /** Names the weights that are current for a step far ahead, so that no lot waits for a trainer who has gone home. */
  const lastStep: Effect.Effect<void, never, Http> = Effect.gen(function* () {
    for (let tries = 0; tries < 40; tries += 1) {
      const shown = yield* ask(front(), 'GET', '/foxdeck/configuration', undefined, {}, 2000);
      const current = (shown.body['configuration'] as Configuration | undefined)?.weights[model];
      if (shown.status === 200 && current && current.step < 1000) {
        const body = { service: model, version: current.version, step: 1000 };
        const named = yield* ask(front(), 'POST', '/foxdeck/weights', body, {}, 10_000);
        note('weights-told', named.asked, { status: named.status, sequence: named.body['sequence'] });
      } else if (shown.status === 200) return;
      yield* Effect.sleep(500);
    }
  });

  /** Follows an item's stream, breaking off and going on at another front. */
  const follower = (id: string, group: number, item: number): Effect.Effect<void, never, Http> =>
    Effect.gen(function* () {
      const http = yield* Http;
      const asked = world.now();
      const pieces: Array<{ text: string; version: number }> = [];
      let wrong: string | undefined;
      let end: string | undefined;
      while (end === undefined && wrong === undefined && world.now() < stopAt() + 40_000) {
        const most = world.chance() < 0.5 ? Math.floor(world.between(1, 12)) : Infinity;
        let taken = 0;
        const parser = createParser({
          onEvent: (event) => {
            if (event.event !== undefined) {
              end = `${event.event} ${event.data}`;
              return;
            }
            if (event.id !== String(pieces.length + 1)) wrong ??= `piece ${event.id} after ${pieces.length} pieces`;
            pieces.push(JSON.parse(event.data) as { text: string; version: number });
            taken += 1;
          },
        });
        const decoder = new TextDecoder();
        yield* Effect.scoped(
          Effect.gen(function* () {
            const reply = yield* http.call(front(), {
              method: 'GET',
              path: `/foxdeck/lots/${id}/items/${group}/${item}/stream`,
              headers: { 'last-event-id': String(pieces.length) },
              body: new Uint8Array(),
            });
            if (reply.status === 410) end = 'gone';
            if (reply.status !== 200) return;
            const body = reply.body instanceof Uint8Array ? Stream.make(reply.body) : reply.body;
            yield* Stream.runForEachWhile(body, (bytes) =>
              Effect.sync(() => {
                parser.feed(decoder.decode(bytes, { stream: true }));
                return taken < most && end === undefined && wrong === undefined;
              }),
            );
          }),
        ).pipe(Effect.timeout(8000), Effect.ignore);
        yield* Effect.sleep(world.between(10, 400));
      }
      following.count -= 1;
      note('stream', asked, { id, group, item, pieces, wrong, end });
    });

  const followers = Effect.gen(function* () {
    const followed = new Set<string>();
    while (going()) {
      yield* Effect.sleep(300);
      for (const each of seen.filter(
        (one) => one.kind === 'lot-told' && one['status'] === 201 && !followed.has(one['id'] as string),
      )) {
        followed.add(each['id'] as string);
        following.count += 2;
        const { groups } = each['lot'] as Lot;
        for (let number = 0; number < 2; number += 1) {
          const group = Math.floor(world.chance() * groups.length);
          const item = Math.floor(world.chance() * groups[group]!.items.length);
          yield* Effect.forkDaemon(follower(each['id'] as string, group, item));
        }
      }
    }
  });

  return { trainer, lastStep, followers, following };
};
