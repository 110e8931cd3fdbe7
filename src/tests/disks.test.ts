import { afterEach, describe, expect, test } from '@jest/globals';
import { Effect } from 'effect';
import { Disk } from '../shared/disk.js';
import { sealedFiles } from '../shared/sealedFiles.js';
import { brokenOnPurpose } from './brokenOnPurpose.js';
import { switchOff } from './switchOff.js';

const { off, rulesOf } = switchOff;

afterEach(switchOff.back);

describe('disks', () => {
  const powerless = { workMs: 9000, lastFault: 'power lost everywhere' as const, settleMs: 25_000 };
  test('keep what was acknowledged when all lose their power at once', () => {
    expect(rulesOf(brokenOnPurpose({ seed: 241, ...powerless }))).toEqual([]);
  });
  test('lose it when nothing is synced', () => {
    const write = sealedFiles.write;
    off(sealedFiles, 'write', (folder, name, body) =>
      folder !== 'records'
        ? write(folder, name, body)
        : Effect.gen(function* () {
            const disk = yield* Disk;
            yield* disk.write(`${folder}/${name}`, sealedFiles.seal(body));
          }),
    );
    expect(rulesOf(brokenOnPurpose({ seed: 241, ...powerless }))).toContain('an accepted lot stays readable');
  });
});
