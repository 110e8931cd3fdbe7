import type { ControlCall, Dialect, InHeaders, LotCall, OutHeaders, Reply } from '../fleet/dialect.js';
import type { LotItem, Sampler, Traffic } from '../fleet/fleetTypes.js';
import { keyDigest } from '../shared/keyDigest.js';
import { texts } from '../shared/texts.js';

/** Traffic as an operator of a fleet that stands alone hands it over. */
export type PlainDocument = Omit<Traffic, 'document' | 'tenants'> & {
  readonly tenants?: ReadonlyArray<{ readonly name: string; readonly keys: ReadonlyArray<string> }>;
};

const names = {
  attempt: 'foxdeck-attempt',
  timeLeft: 'foxdeck-time-left',
  sampler: 'foxdeck-sampler',
  version: 'foxdeck-version',
  versions: 'foxdeck-versions',
  stamp: 'foxdeck-stamp',
  notRun: 'foxdeck-not-run',
  load: 'foxdeck-load',
  wait: 'foxdeck-wait',
  resume: 'last-event-id',
  key: 'foxdeck-key',
  tenant: 'foxdeck-tenant',
} as const;
const paths = {
  samplers: '/foxdeck/samplers/',
  traffic: '/foxdeck/traffic',
  weights: '/foxdeck/weights',
  stores: '/foxdeck/stores/',
  lots: '/foxdeck/lots/',
  items: '/foxdeck/items/',
  order: '/foxdeck/order',
  ready: '/foxdeck/ready',
} as const;
const json = { 'content-type': 'application/json' };
const longestMs = 3_600_000;
const versionLine = 'version:';
const oneChannelOnly = new Set(['connection', 'keep-alive', 'te', 'trailer', 'transfer-encoding', 'content-length']);

const withoutTenant = new Set([...oneChannelOnly, names.tenant]);
const withoutKeys = new Set([...withoutTenant, names.key]);

const one = (headers: InHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};
const passed = (raw: ReadonlyArray<string>, without: ReadonlySet<string>): OutHeaders => {
  const headers: OutHeaders = {};
  for (let at = 0; at + 1 < raw.length; at += 2)
    if (!without.has(raw[at]!.toLowerCase())) headers[raw[at]!] = raw[at + 1]!;
  return headers;
};
const parsed = <A>(body: Uint8Array): A | undefined => {
  try {
    return JSON.parse(Buffer.from(body).toString()) as A;
  } catch {
    return undefined;
  }
};
const bad = (reason: string): ControlCall => ({ kind: 'bad', status: 400, reason });

const announced = (id: string, body: Uint8Array): ControlCall => {
  const told = parsed<Omit<Sampler, 'id' | 'quiet' | 'born'>>(body);
  return told ? { kind: 'announce', sampler: { ...told, id } } : bad('the body is not JSON');
};
const controlCall = (method: string, url: string, headers: InHeaders, body: Uint8Array): ControlCall | undefined => {
  const path = url.split('?')[0]!;
  const rest = (prefix: string): string => decodeURIComponent(path.slice(prefix.length));
  if (path.startsWith(paths.samplers)) {
    const id = rest(paths.samplers);
    return method === 'DELETE' ? { kind: 'leave', id } : announced(id, body);
  }
  if (path === paths.traffic) {
    if (method === 'GET') return { kind: 'declared' };
    const document = parsed(body);
    const basedOn = Number(one(headers, 'if-match'));
    if (document === undefined || !Number.isInteger(basedOn)) return bad('a document and the version it builds on');
    return { kind: 'declare', basedOn, whole: method === 'PUT', document };
  }
  if (path === paths.weights) {
    const named = parsed<{ readonly model: string; readonly version: number }>(body);
    return named ? { kind: 'weights', ...named } : bad('a model and a version');
  }
  if (path.startsWith(paths.stores))
    return { kind: method === 'POST' ? 'empty' : 'emptied', store: rest(paths.stores) };
  return undefined;
};
const lotCall = (method: string, url: string, headers: InHeaders): LotCall | undefined => {
  const at = new URL(url, 'http://lots');
  if (at.pathname.startsWith(paths.items)) {
    const lot = decodeURIComponent(at.pathname.slice(paths.items.length));
    return { kind: 'item', lot, id: at.searchParams.get('id') ?? '' };
  }
  if (!at.pathname.startsWith(paths.lots)) return undefined;
  const lot = decodeURIComponent(at.pathname.slice(paths.lots.length));
  if (method === 'DELETE') return { kind: 'end', lot };
  const after = Number(at.searchParams.get('after') ?? 0);
  return { kind: 'read', lot, after, waitMs: Number(one(headers, names.wait) ?? 0) };
};
const reply = (body: unknown): Reply => ({ status: 200, headers: json, body: JSON.stringify(body) });

/** The product's own names, formats and calls, for fleets that stand alone. */
export const plainDialect: Dialect = {
  ask: (headers) => {
    const resume = one(headers, names.resume);
    const key = one(headers, names.key);
    return {
      attempt: one(headers, names.attempt) ?? '',
      timeLeftMs: Number(one(headers, names.timeLeft)) || longestMs,
      resumeAfter: resume === undefined ? undefined : Number(resume),
      ...(key !== undefined && { key }),
    };
  },
  lotCall,
  lotBody: (bytes, host, binding, wall, { tenant }) => {
    const handed = parsed<{
      readonly model: string;
      readonly step: number;
      readonly wanted: number;
      readonly minVersion: number;
      readonly items: ReadonlyArray<LotItem>;
    }>(bytes);
    if (!handed || !Array.isArray(handed.items)) return [{ path: 'items', message: 'none is listed' }];
    const { lotDueMs: dueMs, lotWaitMs: waitMs, attempts, single } = binding;
    return {
      ...handed,
      host,
      ...(tenant !== undefined && { tenant }),
      single,
      handedAt: wall,
      dueMs,
      waitMs,
      attempts,
    };
  },
  lotRead: (total, after, results) =>
    reply({
      total,
      next: after + results.length,
      results: results.map((result) => ({ ...result, text: texts.read(result.text) })),
    }),
  lotItem: (base64) => ({ status: 200, headers: json, body: Buffer.from(base64, 'base64') }),
  refusal: (status, attempt, againMs, cause) => ({
    status,
    headers: {
      ...json,
      ...(attempt && { [names.attempt]: attempt }),
      ...(againMs !== undefined && { 'retry-after': (againMs / 1000).toFixed(2) }),
    },
    body: JSON.stringify(cause ? { cause } : {}),
  }),
  controlCall,
  patched: (document, patch) => ({ ...(JSON.parse(document) as object), ...(patch as object) }),
  traffic: (document) => {
    const told = document as Partial<PlainDocument>;
    if (!Number.isInteger(told.version) || !told.bindings || !told.services || !told.limits)
      return [{ path: 'traffic', message: 'version, bindings, services and limits are needed' }];
    const { tenants, ...rest } = told as PlainDocument;
    const known = tenants?.map(({ name, keys }) => ({ name, keyDigests: keys.map(keyDigest) }));
    return { ...rest, ...(known && { tenants: known }), document: JSON.stringify(document) };
  },
  said: (fields) => JSON.stringify(fields),
  emptiedReply: (done) => reply({ done }),
  passedOn: (raw, caller, sampler, timeLeftMs, resumeAfter) => ({
    ...passed(raw, caller.keysInUse ? withoutKeys : withoutTenant),
    ...(caller.tenant !== undefined && { [names.tenant]: caller.tenant }),
    [names.timeLeft]: String(timeLeftMs),
    [names.sampler]: sampler.id,
    ...(resumeAfter !== undefined && { [names.resume]: String(resumeAfter) }),
  }),
  passedBack: (raw) => passed(raw, oneChannelOnly),
  itemCall: (item, host, { sampler, version, partial, tenant }) => {
    const body = Buffer.from(item.body, 'base64');
    return {
      attempt: item.id,
      method: 'POST',
      path: item.path,
      headers: {
        ...item.headers,
        host,
        [names.attempt]: item.id,
        [names.sampler]: sampler.id,
        [names.version]: String(version),
        ...(tenant !== undefined && { [names.tenant]: tenant }),
        ...(partial && { [names.resume]: String(partial.lastId) }),
        'content-length': String(body.length),
      },
      body,
    };
  },
  ratingCall: (item, sampler, timeLeftMs) => {
    const { id, host, path, body: base64 } = item.rating!;
    const body = Buffer.from(base64, 'base64');
    return {
      attempt: id,
      method: 'POST',
      path,
      headers: {
        host,
        [names.attempt]: id,
        [names.sampler]: sampler.id,
        [names.timeLeft]: String(Math.max(1, Math.round(timeLeftMs))),
        'content-length': String(body.length),
      },
      body,
    };
  },
  orderCall: ({ sampler, model, version, holder, fence }) => {
    const body = Buffer.from(JSON.stringify({ sampler: sampler.id, model, version, holder, fence }));
    const headers = { host: sampler.address, 'content-length': String(body.length) };
    return { attempt: '', method: 'POST', path: paths.order, headers, body };
  },
  samplerHead: (headers) => {
    const load = one(headers, names.load)?.split(',').map(Number);
    return {
      attempt: one(headers, names.attempt) ?? '',
      stamp: one(headers, names.stamp) ?? '',
      notRun: headers[names.notRun] !== undefined,
      versions: (one(headers, names.versions) ?? '').split(',').map(Number).filter(Boolean),
      running: load?.[0],
      waiting: load?.[1],
    };
  },
  event: (id, data) => {
    if (!data.startsWith(versionLine)) return { id: Number(id), data, version: undefined };
    const [line, ...rest] = data.split('\n');
    return { id: Number(id), data: rest.join('\n'), version: Number(line!.slice(versionLine.length)) };
  },
  ready: (url) => url.split('?')[0] === paths.ready,
};
