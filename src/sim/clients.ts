import { Effect } from 'effect';
import { readBody } from '../front/readBody.js';
import type { Address } from '../shared/brands.js';
import { Http } from '../shared/http.js';
import type { Configuration } from '../shared/configuration.js';
import type { SimFleet } from './simFleet.js';
import { makeTrainers } from './trainers.js';
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
  /** Whether the answer was marked as one that was given before. */
  readonly repeat: boolean;
  readonly text: string;
  readonly body: Record<string, unknown>;
  readonly asked: number;
  readonly at: number;
};

/** The scripted clients of a simulated day. */
export const makeClients = (
  world: World,
  fleet: SimFleet,
  seen: Seen[],
  stopAt: () => number,
  acknowledged: (seen: Seen) => void = () => undefined,
) => {
  const note = (kind: string, asked: number, fields: Record<string, unknown>): void => {
    const each = { kind, asked, at: world.now(), ...fields };
    seen.push(each);
    if (fields['status'] === 201 || fields['state'] === 'accepted') acknowledged(each);
  };
  let operated = 0;
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
      const failed = { status: 0, outcome: undefined, repeat: false, text: '', body: {} };
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
          return {
            status: reply.status,
            outcome: reply.headers['foxdeck-outcome'],
            repeat: reply.headers['foxdeck-repeat'] !== undefined,
            text,
            body: parsed,
          };
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
  const interactive = bindings.find((binding) => binding.service === model)!;

  const change = (document: Record<string, unknown>, at: Address = front()): Effect.Effect<Told, never, Http> =>
    Effect.gen(function* () {
      note('change-sent', world.now(), { id: document['id'], document });
      const told = yield* ask(at, 'POST', '/foxdeck/changes', document, {}, 30_000);
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
        if (!going()) return;
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

  /** Swaps a store or a voter for the machine that joined, or has two operators race on one sequence. */
  const operate = (what: 'store' | 'voter' | 'race', machine: string): Effect.Effect<void, never, Http> =>
    Effect.gen(function* () {
      const named = (document: Record<string, unknown>) => ({
        id: `${what}-${Math.floor(world.now())}-${++operated}`,
        ...document,
      });
      const read = Effect.map(ask(front(), 'GET', '/foxdeck/configuration'), (shown) =>
        shown.status === 200 ? (shown.body as { sequence: number; configuration: Configuration }) : undefined,
      );
      const insist = (document: Record<string, unknown>) =>
        Effect.gen(function* () {
          for (let tries = 0; tries < 6; tries += 1) {
            const told = yield* change(document);
            if (told.status === 200 || told.status === 422 || told.status === 409) return told.status === 200;
            yield* Effect.sleep(1000);
          }
          return false;
        });
      if (what === 'race') {
        const found = yield* read;
        if (!found) return;
        const one = {
          expected: found.sequence,
          bindings: { raced: { path: '/raced', methods: ['GET'], service: plain } },
        };
        const two = {
          expected: found.sequence,
          bindings: { raced: { path: '/raced', methods: ['GET'], service: 'other' } },
        };
        const both = yield* Effect.all([change(named(one)), change(named(two))], { concurrency: 2 });
        note('raced', world.now(), { won: both.filter((told) => told.status === 200).length });
        return;
      }
      yield* Effect.sleep(1500);
      const found = yield* read;
      if (!found) return;
      const members = (what === 'store' ? found.configuration.stores.current : found.configuration.voters).map(
        ({ name }) => name,
      );
      const spare = [...fleet.machines.values()].find(
        (each) => each.role === (what === 'store' ? 'store' : 'core') && !members.includes(each.name),
      );
      if (!spare || !members.includes(machine)) return;
      if (what === 'store') {
        yield* insist(named({ stores: [...members.filter((name) => name !== machine), spare.name] }));
        return;
      }
      if (yield* insist(named({ voters: { add: spare.name } }))) yield* insist(named({ voters: { remove: machine } }));
    });

  const ordinary = (name: string): Effect.Effect<void, never, Http> =>
    Effect.gen(function* () {
      for (let number = 0; going(); number += 1) {
        yield* Effect.sleep(world.between(50, 500));
        const id = `${name}-${number}`;
        const kind = ['once', 'once', 'once', 'toggled', 'toggled', 'read', 'read', 'model'][
          Math.floor(world.chance() * 8)
        ]!;
        const once = kind === 'once';
        const given = {
          once: onceOnly,
          toggled: { path: '/toggle', methods: ['GET'] },
          read: readOnly,
          model: interactive,
        }[kind]!;
        const path = `${given.path}/${id}`;
        const method = given.methods[0]!;
        const key: Record<string, string> = once ? { 'idempotency-key': `key-${id}` } : {};
        const send = (timeLeft: number) =>
          Effect.map(
            ask(front(), method, path, method === 'GET' ? undefined : { id }, { 'x-ask-id': id, ...key }, timeLeft),
            (told) => {
              note('ordinary', told.asked, {
                id,
                path,
                method,
                asks: kind,
                caller: name,
                once,
                repeat: told.repeat,
                status: told.status,
                outcome: told.outcome,
                text: told.text,
              });
              return told;
            },
          );
        let told = yield* send(world.chance() < 0.1 ? 30 : 12_000);
        for (let tries = 0; once && tries < 3 && told.status !== 200; tries += 1) {
          yield* Effect.sleep(world.between(20, 800));
          told = yield* send(12_000);
        }
      }
    });

  const { trainer, lastStep, followers, following } = makeTrainers({
    world,
    fleet,
    seen,
    stopAt,
    going,
    front,
    ask,
    note,
    model,
    plain,
  });

  const sequences = Effect.gen(function* () {
    while (going()) {
      yield* Effect.forEach(
        [...fleet.fronts],
        (address) =>
          Effect.map(ask(address, 'GET', '/foxdeck/status', undefined, {}, 1000), (told) => {
            const { sequence, inForce } = told.body;
            if (told.status === 200) note('front-sequence', told.asked, { front: address, sequence, inForce });
          }),
        { concurrency: 'unbounded' },
      );
      yield* Effect.sleep(1000);
    }
  });

  return {
    ask,
    change,
    operator,
    operate,
    ordinary,
    trainer,
    lastStep,
    followers,
    following,
    sequences,
    note,
    front,
    model,
    plain,
  };
};

/** The clients of one day. */
export type Clients = ReturnType<typeof makeClients>;
