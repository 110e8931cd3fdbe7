import { readFileSync } from 'node:fs';
import { expect, test } from '@jest/globals';
import type { Deployment } from '../dev/deployment.js';
import { scriptedDay } from '../sim/scriptedDay.js';

const small = JSON.parse(readFileSync('settings/small.json', 'utf8')) as Deployment;
const given = { ...small, fronts: 2, samplers: small.samplers.map((group) => ({ ...group, count: 2 })) };

test('a day of releases, a retirement, a replacement and a lost domain needs the calendar alone', () => {
  const { day, moves, told } = scriptedDay(given, 3);
  expect(day.violations).toEqual([]);
  expect(moves.map((move) => `${String(move['name'])} ${String(move['state'])}`).sort()).toEqual([
    'release-model done',
    'release-plain done',
    'retire-store done',
    'shift-look-ups done',
  ]);
  expect(told['the core that was replaced']!.map((row) => String(row['change']).split('/')[0])).toEqual([
    'retire-core',
    'join-core',
  ]);
  expect(told['the store that took over']!.length).toBeGreaterThan(0);
  expect(told['steps of the moves']!.length).toBe(8);
  expect(told['weights named']!.length).toBeGreaterThan(2);
  expect(told['who held the calendar']!.length).toBeGreaterThan(0);
  expect(new Set(told['sequences']!.map((row) => row['sequence'])).size).toBe(1);
  expect(day.checked['nothing reaches a leaving sampler after 2 s']).toBeGreaterThan(3);
});
