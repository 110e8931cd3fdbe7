import type { Dialect } from '../fleet/dialect.js';

const one = (value: string | string[] | undefined): string => (Array.isArray(value) ? value[0]! : (value ?? ''));

/** Plain names for the tests: what a client of samplers needs of a dialect, and no more. */
export const plainDialect = {
  samplerHead: (headers) => ({
    attempt: one(headers['attempt']),
    stamp: one(headers['stamp']),
    notRun: headers['not-run'] !== undefined,
    versions: one(headers['versions'])
      .split(',')
      .filter((part) => part !== '')
      .map(Number),
    running: undefined,
    waiting: undefined,
  }),
  itemCall: (item, host, { version, partial }) => ({
    attempt: item.id,
    method: 'POST',
    path: item.path,
    headers: {
      host,
      attempt: item.id,
      version: String(version),
      ...(partial && { 'last-event-id': String(partial.lastId) }),
      'content-length': String(Buffer.from(item.body, 'base64').length),
    },
    body: Buffer.from(item.body, 'base64'),
  }),
  orderCall: ({ sampler, model, version, holder, fence }) => ({
    attempt: '',
    method: 'POST',
    path: '/order',
    headers: { host: sampler.address },
    body: Buffer.from(JSON.stringify({ sampler: sampler.id, model, version, holder, fence })),
  }),
  event: (id, data) => {
    const [, version, rest] = /^version:(\d+)\n?([^]*)$/.exec(data) ?? [];
    return version === undefined
      ? { id: Number(id), data, version: undefined }
      : { id: Number(id), data: rest!, version: Number(version) };
  },
} satisfies Partial<Dialect> as unknown as Dialect;
