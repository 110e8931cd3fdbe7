import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { expect, test } from '@jest/globals';
import { configurationSchema } from '../shared/configurationSchema.js';
import { settings } from '../shared/settings.js';

const read = (path: string): string => readFileSync(path, 'utf8');
const sources = (folder: string): ReadonlyArray<string> =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) =>
    entry.isDirectory()
      ? ['gen', 'sim', 'dev', 'tests'].includes(entry.name)
        ? []
        : sources(join(folder, entry.name))
      : [read(join(folder, entry.name))],
  );
const named = (text: string): ReadonlySet<string> =>
  new Set([...text.matchAll(/`([A-Za-z_]+)`/g)].map(([, name]) => name!));

test('every log event is explained, and none that there is not', () => {
  const all = sources('src').join('\n');
  const direct = [...all.matchAll(/\.event\(\s*(?:[a-z]+ \? )?'([a-z_]+)'(?: : '([a-z_]+)')?/g)].flatMap(
    ([, one, two]) => [one, two],
  );
  const steps = [...all.matchAll(/^\s+'((?:move|store|core)_[a-z]+)',?$|, '(move_step)'\)/gm)].flatMap(
    ([, one, two]) => [one, two],
  );
  const decisions = ['item_admit', 'item_pause', 'item_resume'];
  const events = [...new Set([...direct, ...steps, ...decisions].filter((name) => name !== undefined))].sort();
  expect(events.length).toBeGreaterThan(45);
  const rows = read('docs/operators/events.md')
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) => line.split('|')[1]!);
  expect([...named(rows.join(' '))].sort()).toEqual(events);
});

test('every setting and every part of a change document is explained', () => {
  const told = named(read('docs/operators/settings.md'));
  const fields = (schema: { fields: object }): ReadonlyArray<string> => Object.keys(schema.fields);
  const wanted = [...fields(settings.schema), ...fields(configurationSchema)];
  expect(wanted.length).toBeGreaterThan(20);
  expect(wanted.filter((name) => !told.has(name))).toEqual([]);
});
