import { describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import fc from 'fast-check';
import { query } from '../cli/query.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { offTests } from './offTests.js';

const rows = [
  { name: 'a-1', state: 'ready', kvUsed: 90, budget: 100 },
  { name: 'a-2', state: 'leaving', kvUsed: 1000, budget: 2000 },
  { name: 'b 3', state: 'ready', kvUsed: 9, budget: 100 },
];
const asked = (text: string) => {
  const parsed = query.parse(text);
  return parsed.isErr ? parsed.error : query.apply(parsed.value, rows).rows.map((row) => row['name']);
};

describe('queries', () => {
  test('filter, sort by number, and cut', () => {
    expect(asked('samplers where state = ready sort kvUsed down columns name')).toEqual(['a-1', 'b 3']);
    expect(asked('samplers where kvUsed > 50 and budget <= 2000 sort kvUsed down most 1')).toEqual(['a-2']);
    expect(asked('samplers where name = "b 3" columns name,kvUsed')).toEqual(['b 3']);
    expect(asked('samplers where name ~ a-')).toEqual(['a-1', 'a-2']);
  });
  test.each([
    ['', 'begins with a table'],
    ['sampler', 'no table named sampler'],
    ['samplers where size > 3', 'no column size'],
    ['samplers where kvUsed around 3', 'no operator around'],
    ['samplers where kvUsed', 'needs a column, an operator and a value'],
    ['samplers order name', 'order is not understood'],
    ['samplers most many', 'whole number'],
  ])('%p is told what is wrong', (text, fault) => {
    expect(asked(text)).toContain(fault);
  });
  test('are read or faulted, whatever is typed', () => {
    const words = fc.constantFrom(
      'samplers',
      'where',
      'and',
      'name',
      '=',
      '>',
      'sort',
      'down',
      'columns',
      'most',
      '1',
      '"',
    );
    fc.assert(
      fc.property(fc.array(fc.oneof(words, fc.string({ maxLength: 5 })), { maxLength: 9 }), (parts) => {
        const parsed = query.parse(parts.join(' '));
        if (parsed.isOk) query.apply(parsed.value, rows);
      }),
      { seed: 7, numRuns: 2000 },
    );
  });
});

test('a table of the whole fleet says who was silent, and events tell what happened', () => {
  const seen: Array<{ rows: ReadonlyArray<Record<string, unknown>>; silent: ReadonlyArray<string> }> = [];
  brokenOnPurpose({
    seed: 441,
    workMs: 3500,
    crowd: 'callers',
    script: (world, fleet, clients) => {
      const [front, other] = offTests.of(fleet, 'front');
      world.after(1000, () => other!.process.freeze());
      world.after(3000, () => other!.process.thaw(false));
      for (const table of ['leases', 'events', 'moves', 'changes', 'nothing']) {
        const read = Effect.map(clients.ask(front!.http, 'GET', `/foxdeck/tables/${table}`), (told) => {
          seen.push({ rows: [], silent: [], ...told.body } as never);
        });
        offTests.at(world, fleet, 1200, read);
      }
    },
  });
  expect(seen.filter((each) => each.silent.includes('front2')).length).toBe(2);
  expect(seen.some((each) => each.rows.some((row) => row['event'] === 'duty_won'))).toBe(true);
  expect(seen.some((each) => each.rows.some((row) => row['lease'] === 'configuration'))).toBe(true);
  expect(seen.some((each) => each.rows.some((row) => row['change'] === 'founding-services'))).toBe(true);
});
