import { createParser } from 'eventsource-parser';
import type { Dialect } from '../dialect.js';
import type { Grant, Partial, Sampler } from '../fleetTypes.js';
import type { SamplerClient } from '../samplerClient.js';
import { makeEventTail } from './eventTail.js';
import { samplerAnswer } from './samplerAnswer.js';

/** How one run of an item ended. */
export type RunEnd =
  | { readonly kind: 'whole'; readonly text: string; readonly versions: ReadonlyArray<number> }
  /** Broken off; what there is of its text may go on elsewhere. */
  | { readonly kind: 'cut'; readonly partial: Partial | undefined; readonly reason: string; readonly suspect: boolean }
  /** The sampler did not run it. */
  | { readonly kind: 'notRun'; readonly status: number }
  | { readonly kind: 'fault' }
  | { readonly kind: 'never' };

/** A run under way. */
export type ItemRun = {
  /** Breaks it off; answers what there is of its text. Nothing is told any more. */
  readonly stop: () => Partial | undefined;
  /** Tokens that it made, here and before. */
  readonly made: () => number;
};

const silentMs = 1300;
const longestMs = 60_000;

/** Runs an item at a sampler, reading its events as they come. */
export const runItem = (
  tools: { readonly client: SamplerClient; readonly dialect: Dialect; readonly now: () => number },
  grant: Grant,
  how: {
    readonly sampler: Sampler;
    readonly model: string;
    readonly version: number;
    readonly urgency: number;
    readonly stride: number;
  },
  done: (end: RunEnd) => void,
  seen: (version: number) => void,
): ItemRun => {
  const { client, dialect, now } = tools;
  const { item, partial, single, minVersion } = grant;
  const events: string[] = [...(partial?.events ?? [])];
  const versions = new Set<number>(partial?.versions ?? []);
  let lastId = partial?.lastId;
  let version = 0;
  let status = 0;
  let notRun = false;
  let over = false;
  let heardAt = now();
  const tail = makeEventTail();

  const kept = (): Partial | undefined =>
    events.length === 0 || lastId === undefined || (single && versions.size > 1)
      ? undefined
      : { events, lastId, versions: [...versions], version };
  const finish = (end: RunEnd): void => {
    if (over) return;
    over = true;
    clearInterval(watch);
    done(end);
  };
  const spoilt = (reason: string): void => {
    open.abort();
    finish({ kind: 'cut', partial: undefined, reason, suspect: false });
  };
  const parser = createParser({
    onEvent: ({ id, data }) => {
      if (over) return;
      const event = dialect.event(id, data);
      if (!Number.isInteger(event.id) || (lastId === undefined ? event.id > 1 : event.id !== lastId + 1))
        return spoilt(`event ${event.id} after ${lastId}`);
      if (event.version !== undefined) {
        version = event.version;
        seen(version);
      }
      if (version < minVersion) return spoilt(`made under version ${version}`);
      versions.add(version);
      if (single && versions.size > 1) return spoilt('a second version in one text');
      lastId = event.id;
      events.push(event.data);
    },
  });
  const call = dialect.itemCall(item, grant.host, { ...how, partial, tenant: grant.tenant });
  const open = client.call(how.sampler.address, call, longestMs, {
    head: (code, message) => {
      heardAt = now();
      status = code;
      const head = dialect.samplerHead(message.headers);
      const kind = samplerAnswer.kindOf(item.id, code, head);
      if (kind === 'foreign' || kind === 'unstamped') return spoilt(samplerAnswer.reasons[kind]);
      notRun = kind === 'notRun';
      if (code !== 200) return;
      message.setEncoding('utf8');
      version = head.versions.at(-1) ?? how.version;
      seen(version);
    },
    data: (chunk) => {
      heardAt = now();
      if (status !== 200 || over) return;
      tail.feed(chunk);
      parser.feed(chunk as string);
    },
    ended: () => {
      if (status === 200 && tail.place() === 'inside')
        finish({ kind: 'cut', partial: kept(), reason: 'ended inside an event', suspect: true });
      else if (status === 200 && events.length > 0)
        finish({ kind: 'whole', text: events.join('\n'), versions: [...versions] });
      else if (notRun) finish({ kind: 'notRun', status });
      else if (status === 422) finish({ kind: 'never' });
      else if (status === 500) finish({ kind: 'fault' });
      else finish({ kind: 'cut', partial: kept(), reason: `answered with ${status}`, suspect: true });
    },
    failed: (reason, _sent, stale) => finish({ kind: 'cut', partial: kept(), reason, suspect: !stale }),
  });
  const watch = setInterval(() => {
    if (now() - heardAt < silentMs) return;
    open.abort();
    finish({ kind: 'cut', partial: kept(), reason: 'silent', suspect: true });
  }, 200);
  return {
    stop: () => {
      if (over) return undefined;
      over = true;
      clearInterval(watch);
      open.abort();
      return kept();
    },
    made: () => events.length * how.stride,
  };
};
