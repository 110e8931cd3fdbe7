import { createHash } from 'node:crypto';
import { Effect } from 'effect';
import type { Outcome, Register } from '../../core/register.js';
import type { ControlCall, Dialect, Reply } from '../dialect.js';
import type { Member } from '../fleetTypes.js';
import { placement } from '../../policy/placement.js';
import type { WatchServer } from './watchServer.js';
import type { SamplerDepartures } from './samplerDepartures.js';
import type { VoterGrowth } from './voterGrowth.js';

/** Answers the calls of samplers, trainers and operators. */
export type ControlHandler = { readonly handle: (call: ControlCall, bytes: Uint8Array) => Promise<Reply> };

const answerMs = 900;
const registerMs = 1500;

const lasting = <A>(work: Effect.Effect<A, unknown>): Promise<A> =>
  Effect.runPromise(Effect.timeout(work as Effect.Effect<A, Error>, registerMs));

/** Makes a core's control desk. */
export const makeControlHandler = (options: {
  readonly register: Register;
  readonly desk: WatchServer;
  readonly departures: SamplerDepartures;
  /** What is acknowledged or shown waits until enough voters hold it. */
  readonly growth: VoterGrowth;
  readonly dialect: Dialect;
  readonly tolerance: number;
  readonly stores: () => ReadonlyArray<Member>;
  readonly event: (name: string, fields: Record<string, string | number>) => void;
}): ControlHandler => {
  const { register, desk, dialect } = options;
  const copies = placement.copies(options.tolerance);
  const said = (status: number, fields: Readonly<Record<string, unknown>> = {}): Reply => ({
    status,
    headers: { 'content-type': 'application/json' },
    body: dialect.said(fields),
  });
  const worded = async (outcome: Outcome): Promise<Reply> => {
    if (outcome.state === 'accepted') {
      await options.growth.settled();
      return said(200);
    }
    if (outcome.state === 'unavailable') return said(503, { cause: outcome.message });
    if (outcome.state === 'unknown') return said(504, { cause: outcome.message });
    if (outcome.state === 'conflict') return said(412, { cause: outcome.message });
    const [first] = outcome.reasons;
    return said(first?.path === 'traffic.basedOn' ? 412 : 400, { cause: `${first?.path}: ${first?.message}` });
  };
  const change = (document: object): Promise<Outcome> =>
    Effect.runPromise(register.change(Buffer.from(JSON.stringify(document))));

  const declare = async (call: ControlCall & { kind: 'declare' }, bytes: Uint8Array): Promise<Reply> => {
    const digest = createHash('sha256').update(bytes).digest('hex').slice(0, 40);
    const id = `traffic/${call.basedOn}/${call.whole ? 'w' : 'p'}${digest}`;
    const taken = await lasting(register.find(id));
    if (taken) return worded(await lasting(register.settleKnown));
    const before = register.known()?.configuration.traffic;
    if (!call.whole && call.basedOn !== (before?.version ?? 0))
      return said(412, { cause: `builds on ${call.basedOn}, but ${before?.version ?? 0} is current` });
    const document = call.whole ? call.document : dialect.patched(before?.document ?? '{}', call.document);
    const value = dialect.traffic(document);
    if ('length' in value) return said(400, { cause: `${value[0]?.path}: ${value[0]?.message}` });
    const outcome = await change({ id, traffic: { basedOn: call.basedOn, value } });
    options.event('traffic_declared', { version: value.version, basedOn: call.basedOn, outcome: outcome.state });
    return worded(outcome);
  };
  const weights = async (call: ControlCall & { kind: 'weights' }): Promise<Reply> => {
    if ((register.known()?.configuration.models?.[call.model] ?? 1) >= call.version) return said(200);
    const outcome = await change({
      id: `weights/${call.model}/${call.version}`,
      models: { [call.model]: call.version },
    });
    options.event('weights_named', { model: call.model, version: call.version, outcome: outcome.state });
    return worded(outcome);
  };
  const empty = async (store: string): Promise<Reply> => {
    const known = await lasting(register.latest);
    const { current, previous } = known.configuration.stores;
    const there = options.stores().map((member) => member.name);
    const names = new Set([...there, ...current.map((each) => each.name), ...previous.map((each) => each.name)]);
    if (!names.has(store)) return said(404, { cause: `no store named ${store}` });
    const emptied = known.configuration.emptied ?? [];
    if (emptied.includes(store)) return said(200);
    const left = there.filter((name) => name !== store && !emptied.includes(name)).length;
    if (left < copies) return said(409, { cause: `${left} stores would be left, ${copies} are needed` });
    return worded(await change({ id: `emptied/${store}/${known.sequence}`, emptied: store }));
  };
  const emptied = async (store: string): Promise<Reply> => {
    const { configuration } = await lasting(register.latest);
    if (!(configuration.emptied ?? []).includes(store)) return said(404, { cause: `${store} is not being emptied` });
    const { current, previous } = configuration.stores;
    const gone = previous.length === 0 && !current.some((each) => each.name === store);
    return dialect.emptiedReply(gone);
  };

  const departed = async (id: string): Promise<Reply> => {
    const sampler = desk.sampler(id);
    const known = sampler === undefined || sampler.state === 'ready' || (await options.departures.confirm(sampler));
    return known ? said(200) : said(503, { cause: 'no majority of the voters was told' });
  };

  const work = async (call: ControlCall, bytes: Uint8Array): Promise<Reply> => {
    switch (call.kind) {
      case 'announce':
        desk.announce(call.sampler);
        return call.sampler.state === 'ready' ? said(200) : departed(call.sampler.id);
      case 'leave': {
        const known = desk.sampler(call.id);
        const blank = { id: call.id, service: '', address: '', zone: '', slots: 0, models: {} };
        const { quiet: _quiet, born: _born, ...rest } = known ?? { ...blank, quiet: false, born: 0 };
        if (known?.state !== 'gone') desk.announce({ ...rest, state: 'gone', beat: (known?.beat ?? 0) + 1 });
        return departed(call.id);
      }
      case 'declare':
        return declare(call, bytes);
      case 'declared': {
        const { configuration } = await lasting(register.latest);
        await options.growth.settled();
        if (!configuration.traffic) return said(404, { cause: 'nothing was declared yet' });
        const headers = { 'content-type': 'application/json' };
        return { status: 200, headers, body: configuration.traffic.document };
      }
      case 'weights':
        return weights(call);
      case 'empty':
        return empty(call.store);
      case 'emptied':
        return emptied(call.store);
      case 'bad':
        return said(call.status, { cause: call.reason });
    }
  };
  return {
    handle: (call, bytes) => {
      const late = new Promise<Reply>((resolve) => {
        const timer = setTimeout(() => resolve(said(504, { cause: 'not decided in time' })), answerMs);
        timer.unref();
      });
      const answered = work(call, bytes).catch((cause: unknown) => said(503, { cause: String(cause) }));
      return Promise.race([answered, late]);
    },
  };
};
