import { createParser } from 'eventsource-parser';
import { Effect, Stream } from 'effect';
import { readBody } from '../front/readBody.js';
import type { Address } from '../shared/brands.js';
import { Http } from '../shared/http.js';
import type { SimFleet } from './simFleet.js';
import type { World } from './world.js';

/** What clients, trainers and operators saw, each with the times of asking and of the answer. */
export type Seen = {
  readonly kind: string;
  readonly asked: number;
  readonly at: number;
  readonly [field: string]: unknown;
};
export type Told = {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly text: string;
  readonly body: Record<string, unknown>;
  readonly asked: number;
  readonly at: number;
};

/** The scripted clients of a simulated day. */
export const makeClients = (world: World, fleet: SimFleet, seen: Seen[], stopAt: () => number) => {
  const note = (kind: string, asked: number, fields: Record<string, unknown>): void =>
    void seen.push({ kind, asked, at: world.now(), ...fields });
  const front = (): Address => fleet.fronts[Math.floor(world.chance() * fleet.fronts.length)]!;
  const going = (): boolean => world.now() < stopAt();

  const ask = (
    address: Address,
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    timeLeft = 12_000,
  ): Effect.Effect<Told, never, Http> =>
    Effect.gen(function* () {
      const http = yield* Http;
      const asked = world.now();
      const bytes =
        body === undefined ? new Uint8Array() : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body));
      const failed = { status: 0, outcome: undefined, text: '', body: {} };
      const answer = yield* Effect.scoped(
        Effect.gen(function* () {
          const reply = yield* http.call(address, {
            method,
            path,
            headers: { 'content-type': 'application/json', ...headers },
            body: bytes,
          });
          const text = Buffer.from(yield* readBody(reply.body)).toString('utf8');
          let parsed: Record<string, unknown> = {};
          try {
            parsed = JSON.parse(text) as Record<string, unknown>;
          } catch {
            parsed = {};
          }
          return { status: reply.status, outcome: reply.headers['foxdeck-outcome'], text, body: parsed };
        }),
      ).pipe(
        Effect.timeout(timeLeft),
        Effect.catchAll(() => Effect.succeed(failed)),
      );
      return { ...answer, asked, at: world.now() };
    });

  const services = Object.entries(fleet.given.change.services);
  const model = services.find(([, service]) => service.kind === 'model')![0];
  const plain = services.find(([, service]) => service.kind === 'plain')![0];
  const bindings = Object.values(fleet.given.change.bindings);
  const onceOnly = bindings.find((binding) => binding.onceOnly)!;
  const readOnly = bindings.find((binding) => binding.methods.includes('GET'))!;

  const change = (document: Record<string, unknown>): Effect.Effect<Told, never, Http> =>
    Effect.gen(function* () {
      note('change-sent', world.now(), { id: document['id'], document });
      const told = yield* ask(front(), 'POST', '/foxdeck/changes', document, {}, 30_000);
      const state =
        told.status === 200 ? 'accepted' : ((told.body['state'] as string | undefined) ?? told.outcome ?? 'unanswered');
      note('change-told', told.asked, {
        id: document['id'],
        state: told.outcome === 'unknown' || told.status === 0 ? 'unknown' : state,
        sequence: told.body['sequence'],
        document,
      });
      return told;
    });

  /** Moves a binding between two services and off, and races itself with a second operator. */
  const operator = (name: string): Effect.Effect<void, never, Http> =>
    Effect.gen(function* () {
      for (let number = 0; going(); number += 1) {
        yield* Effect.sleep(world.between(500, 5000));
        const shown = yield* ask(front(), 'GET', '/foxdeck/configuration');
        const sequence = shown.status === 200 ? (shown.body['sequence'] as number) : undefined;
        if (sequence !== undefined) note('configuration-read', shown.asked, { sequence });
        const target = [plain, 'other', null][Math.floor(world.chance() * 3)]!;
        const binding = target === null ? null : { path: '/toggle', methods: ['GET'], service: target };
        const document = {
          id: `${name}-${number}`,
          ...(sequence !== undefined && world.chance() < 0.7 ? { expected: sequence } : {}),
          bindings: { toggle: binding },
          seating: { starvationMs: 4000 + number },
        };
        const told = yield* change(document);
        if (told.status === 0 || told.outcome === 'unknown') yield* change(document);
      }
    });

  const ordinary = (name: string): Effect.Effect<void, never, Http> =>
    Effect.gen(function* () {
      for (let number = 0; going(); number += 1) {
        yield* Effect.sleep(world.between(50, 500));
        const id = `${name}-${number}`;
        const once = world.chance() < 0.5;
        const toggled = !once && world.chance() < 0.5;
        const path = once ? `${onceOnly.path}/${id}` : toggled ? `/toggle/${id}` : `${readOnly.path}/${id}`;
        const key: Record<string, string> = once ? { 'idempotency-key': `key-${id}` } : {};
        const send = (timeLeft: number) =>
          Effect.map(
            ask(
              front(),
              once ? onceOnly.methods[0]! : 'GET',
              path,
              once ? { id } : undefined,
              { 'x-ask-id': id, ...key },
              timeLeft,
            ),
            (told) => {
              note('ordinary', told.asked, {
                id,
                path,
                once,
                status: told.status,
                outcome: told.outcome,
                text: told.text,
              });
              return told;
            },
          );
        const told = yield* send(world.chance() < 0.1 ? 30 : 12_000);
        if (once && (told.status === 0 || told.outcome === 'unknown')) yield* send(12_000);
      }
    });

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
              prompt: `${name} step ${step} group ${group} of a drill on ${'practice '.repeat(10 + Math.floor(world.chance() * 60))}`,
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
        const ending = world.chance() < 0.2;
        const until = world.now() + (ending ? world.between(200, 3000) : 25_000);
        for (;;) {
          yield* Effect.sleep(700);
          const shown = yield* ask(front(), 'GET', `/foxdeck/lots/${id}`);
          note('lot-read', shown.asked, { id, status: shown.status, body: shown.body });
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
        yield* Effect.forkDaemon(
          follower(each['id'] as string, Math.floor(world.chance() * 3), Math.floor(world.chance() * 4)),
        );
        yield* Effect.forkDaemon(
          follower(each['id'] as string, Math.floor(world.chance() * 3), Math.floor(world.chance() * 4)),
        );
      }
    }
  });

  const sequences = Effect.gen(function* () {
    while (going()) {
      for (const address of fleet.fronts) {
        const told = yield* ask(address, 'GET', '/foxdeck/status', undefined, {}, 1000);
        if (told.status === 200)
          note('front-sequence', told.asked, {
            front: address,
            sequence: told.body['sequence'],
            inForce: told.body['inForce'],
          });
      }
      yield* Effect.sleep(1000);
    }
  });

  return { ask, change, operator, ordinary, trainer, followers, sequences, note, front, model, plain };
};

/** The clients of one day. */
export type Clients = ReturnType<typeof makeClients>;
