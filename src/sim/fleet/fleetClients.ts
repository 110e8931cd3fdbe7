import type { PlainDocument } from '../../dev/plainDialect.js';
import type { Transport } from '../../shared/transport.js';
import { fleetKeys } from './fleetKeys.js';
import { fleetTraffic } from './fleetTraffic.js';
import { httpCalls, type HttpAnswer, type HttpCalls } from './httpCalls.js';
import { httpSilence } from './httpSilence.js';
import type { Observation } from './observations.js';
import type { VirtualFleet } from './virtualFleet.js';
import type { OutsideWorld } from './virtualWorld.js';

/** Those who call a simulated fleet from outside. Each of them is a process of its own. */
export type FleetClients = {
  /** Declares, reads and resends, and names new weights, until the work is over. */
  readonly operator: (name: string) => void;
  readonly caller: (name: string) => void;
  readonly trainer: (name: string) => void;
  /** Reads the newest version until a core tells it; answers nothing where none does in time. */
  readonly readFinal: (until: number) => Promise<number | undefined>;
  /** The names of the hosts that clients call from. */
  readonly hosts: () => ReadonlyArray<string>;
};

type Change = {
  readonly version: number;
  readonly basedOn: number;
  readonly mark: string;
  /** Whether the whole document is sent, or the parts that change. */
  readonly whole: boolean;
};

const controlMs = 1200;
const requestMs = 3000;
const readWaitMs = 600;
const itemsOfBatch = 12;
const groupSize = 4;
/** So many changes an operator has under way at once, now and then. */
const ordersAtOnce = 8;
const markPrefix = 'mark-';
const clear = (status: number): boolean => status === 200 || status === 400 || status === 412;

/** Makes the clients of a day; `over` tells when no new work begins, `acknowledged` hears of every acknowledgement. */
export const makeFleetClients = (options: {
  readonly world: OutsideWorld;
  readonly fleet: VirtualFleet;
  readonly saw: (observation: Observation) => void;
  readonly over: () => boolean;
  /** When trainers stop waiting for what is still open. */
  readonly until: number;
  readonly acknowledged: (address: string) => void;
  /** The marks of the changes that operators know to be accepted; callers take their keys by them. */
  readonly marks: string[];
}): FleetClients => {
  const { world, fleet, saw, over } = options;
  const hosts: string[] = [];
  let weights = 1;
  let marks = 0;
  const accepted: Change[] = [];

  const begin = (name: string, run: (transport: Transport) => Promise<void>): void => {
    const process = world.spawn(name);
    hosts.push(name);
    world.schedule(process, 0, () => void run(fleet.network.transport({ name, lit: () => true }, process)));
  };
  const control = (): string => fleet.controlOf(world.pick(fleet.of('core').filter((core) => core.running())));
  const front = (): string => fleet.frontOf(world.pick(fleet.of('front').filter((each) => each.running())));

  /** Asks a core for the newest version; undefined where it does not tell. */
  const readVersion = async (calls: HttpCalls): Promise<number | undefined> => {
    const [core, sentAt] = [control(), world.now()];
    const heard = await calls.call(core, 'GET', '/foxdeck/traffic', {}, '', controlMs);
    if (heard.status !== 200) return undefined;
    const told = JSON.parse(heard.body) as PlainDocument;
    const marked = told.bindings.find((each) => each.name.startsWith(markPrefix))?.name;
    const markOfKeys = fleetKeys.markOf(told.tenants);
    const markOfBinding = marked?.slice(markPrefix.length) ?? '';
    const mark = markOfKeys === markOfBinding ? markOfBinding : `${markOfBinding} with the keys of ${markOfKeys}`;
    saw({ kind: 'read', sentAt, at: world.now(), version: told.version, mark, core });
    return told.version;
  };
  const operator = (name: string): void =>
    begin(name, async (transport) => {
      const calls = httpCalls(transport);
      let known = 0;
      const read = async (): Promise<void> => {
        known = Math.max(known, (await readVersion(calls)) ?? 0);
      };
      const send = async (change: Change, again: boolean): Promise<HttpAnswer> => {
        const [core, sentAt] = [control(), world.now()];
        const { version, basedOn, mark, whole } = change;
        const document = fleetTraffic(version, mark);
        const { bindings, tenants } = document;
        const body = JSON.stringify(whole ? document : { version, bindings, tenants });
        const headers = { 'if-match': String(basedOn) };
        const heard = await calls.call(core, whole ? 'PUT' : 'PATCH', '/foxdeck/traffic', headers, body, controlMs);
        const { status, body: reason } = heard;
        saw({ kind: 'declared', sentAt, at: world.now(), version, basedOn, mark, status, reason, again });
        if (status === 200) options.acknowledged(core);
        return heard;
      };
      const declare = async (): Promise<void> => {
        const mark = `${(marks += 1)}`;
        const version = known + 1 + Math.floor(world.chance() * 2);
        const change = { version, basedOn: known, mark, whole: known === 0 || world.chance() < 0.6 };
        for (let attempt = 0; attempt < 8; attempt += 1) {
          const { status } = await send(change, false);
          if (status === 200) {
            accepted.push(change);
            options.marks.push(mark);
            known = Math.max(known, change.version);
          }
          if (clear(status)) return;
          await world.sleep(100 * (attempt + 1));
        }
      };
      const nameWeights = async (): Promise<void> => {
        const version = weights + 1;
        const body = JSON.stringify({ model: 'writer', version });
        const core = control();
        const { status } = await calls.call(core, 'PUT', '/foxdeck/weights', {}, body, controlMs);
        if (status !== 200) return;
        weights = Math.max(weights, version);
        options.acknowledged(core);
      };
      while (!over()) {
        const draw = world.chance();
        if (known === 0 || draw < 0.35) await read();
        if (draw >= 0.35 || known === 0) {
          if (draw < 0.4 && known > 0) await Promise.all(Array.from({ length: ordersAtOnce }, declare));
          else if (draw < 0.65 || known === 0) await declare();
          else if (draw < 0.85 && accepted.length > 0) await send(world.pick(accepted), true);
          else await nameWeights();
        }
        await world.sleep(world.between(50, 400));
      }
    });

  const caller = (name: string): void =>
    begin(name, async (transport) => {
      const calls = httpCalls(transport);
      const begun = options.marks.length;
      for (let number = 0; !over(); number += 1) {
        const attempt = `${name}-${number}`;
        const once = world.chance() < 0.5;
        const sentAt = world.now();
        const key = fleetKeys.of(number, options.marks, begun);
        const headers = {
          host: once ? 'write.fleet' : 'read.fleet',
          'foxdeck-key': key.text,
          'foxdeck-attempt': attempt,
          'foxdeck-time-left': String(requestMs - 200),
        };
        const heard = await calls.call(
          front(),
          once ? 'POST' : 'GET',
          '/thing',
          headers,
          once ? attempt : '',
          requestMs,
        );
        let echoed = '';
        if (heard.status === 200) echoed = (JSON.parse(heard.body) as { attempt: string }).attempt;
        const silent = heard.status === 0 && heard.body === httpSilence;
        saw({ kind: 'asked', sentAt, at: world.now(), attempt, key, once, status: heard.status, echoed, silent });
        await world.sleep(world.between(20, 120));
      }
    });

  const tenantOf = (trainer: string): string => (trainer.endsWith('1') ? 'north' : 'south');
  const handIn = async (calls: HttpCalls, batch: string, tenant: string): Promise<boolean> => {
    const ids = Array.from({ length: itemsOfBatch }, (_, place) => `${batch}-${place}`);
    const items = ids.map((id, place) => ({
      id,
      path: '/texts',
      headers: { 'content-type': 'text/plain' },
      body: Buffer.from(`write ${id}`).toString('base64'),
      tokens: 60,
      prompt: 20,
      group: `${batch}-group-${Math.floor(place / groupSize)}`,
      rating: { id: `${id}-rating`, host: 'rate.fleet', path: '/rate', body: Buffer.from(id).toString('base64') },
    }));
    const body = JSON.stringify({ model: 'writer', step: 1, wanted: 3, minVersion: weights, items });
    const headers = {
      host: 'lots.fleet',
      'foxdeck-key': fleetKeys.lasting(tenant).text,
      'foxdeck-attempt': batch,
      'content-type': 'application/json',
    };
    while (world.now() < options.until) {
      const at = front();
      const { status } = await calls.call(at, 'POST', '/lots', headers, body, requestMs);
      if (status === 202) {
        saw({ kind: 'batchTaken', at: world.now(), batch, tenant, items: ids });
        options.acknowledged(at);
        return true;
      }
      await world.sleep(150);
    }
    return false;
  };
  const trainer = (name: string): void =>
    begin(name, async (transport) => {
      const calls = httpCalls(transport);
      const tenant = tenantOf(name);
      const key = { 'foxdeck-key': fleetKeys.lasting(tenant).text };
      const read = async (batch: string, after: number): Promise<number> => {
        const sentAt = world.now();
        const path = `/foxdeck/lots/${batch}?after=${after}`;
        const headers = { ...key, 'foxdeck-wait': String(readWaitMs) };
        const { status, body } = await calls.call(front(), 'GET', path, headers, '', requestMs);
        if (status === 404) saw({ kind: 'batchMissing', at: world.now(), batch });
        if (status !== 200) return after;
        const told = JSON.parse(body) as { results: ReadonlyArray<{ id: string; state: string; text: string }> };
        saw({ kind: 'results', sentAt, at: world.now(), batch, after, results: told.results });
        return after + told.results.length;
      };
      const end = async (batch: string): Promise<void> => {
        while (world.now() < options.until) {
          const at = front();
          const { status } = await calls.call(at, 'DELETE', `/foxdeck/lots/${batch}`, key, '', requestMs);
          if (status === 200) {
            saw({ kind: 'batchEnded', at: world.now(), batch });
            return options.acknowledged(at);
          }
          await world.sleep(150);
        }
      };
      for (let number = 0; !over(); number += 1) {
        const batch = `${name}-batch-${number}`;
        if (!(await handIn(calls, batch, tenant))) return;
        const endsEarly = world.chance() < 0.25;
        const enough = endsEarly ? Math.floor(world.chance() * itemsOfBatch) : itemsOfBatch;
        for (let after = 0; after < enough && world.now() < options.until;) {
          const next = await read(batch, after);
          if (next === after) await world.sleep(100);
          if (world.chance() < 0.15) await read(batch, 0);
          after = next;
        }
        if (over() && !endsEarly) await read(batch, 0);
        if (endsEarly || world.chance() < 0.6) await end(batch);
      }
    });

  return {
    operator,
    caller,
    trainer,
    hosts: () => hosts,
    readFinal: (until) =>
      new Promise((resolve) =>
        begin('final-reader', async (transport) => {
          const calls = httpCalls(transport);
          while (world.now() < until) {
            const version = await readVersion(calls);
            if (version !== undefined) return resolve(version);
            await world.sleep(200);
          }
          resolve(undefined);
        }),
      ),
  };
};
