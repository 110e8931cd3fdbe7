import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, describe, expect, test } from '@jest/globals';

const folder = mkdtempSync(join(tmpdir(), 'foxdeck-'));
afterAll(() => rmSync(folder, { recursive: true, force: true }));

/** How a process ended, its log, and what it said of itself besides. */
type Ended = { readonly code: number | null; readonly log: string; readonly said: ReadonlyArray<string> };

/** Runs `foxdeck node` to its end; a line of its log that holds the words sends it a SIGTERM. */
const node = (args: ReadonlyArray<string>, until?: string): Promise<Ended> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, ['dist/cli/foxdeck.js', 'node', ...args]);
    let [log, told] = ['', false];
    child.stderr.on('data', (bytes: Buffer) => {
      log += bytes.toString();
      if (until === undefined || told || !log.includes(until)) return;
      told = true;
      child.kill('SIGTERM');
    });
    child.on('close', (code) => {
      const said = log.split('\n').filter((line) => line !== '' && !line.includes(' event='));
      resolve({ code, log, said });
    });
  });

/** Ports that were free a moment ago. */
const freePorts = async (count: number): Promise<ReadonlyArray<number>> => {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) =>
          server.listen(0, '127.0.0.1', () => resolve((server.address() as { port: number }).port)),
        ),
    ),
  );
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};
const flags = (peer: number, http: number, more: ReadonlyArray<string> = []): ReadonlyArray<string> => [
  ...['--name', 'alone', '--domain', 'here', '--roles', 'core,store,front', '--foundingCores', '1'],
  ...['--peer', `127.0.0.1:${peer}`, '--http', `127.0.0.1:${http}`, '--seeds', `127.0.0.1:${peer}`],
  ...['--data', join(folder, `data-${peer}`), ...more],
];

/** Runs another command of the program to its end; answers what it prints. */
const printed = (args: ReadonlyArray<string>): Promise<string> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, ['dist/cli/foxdeck.js', ...args]);
    let text = '';
    child.stdout.on('data', (bytes: Buffer) => (text += bytes.toString()));
    child.on('close', () => resolve(text));
  });

describe('a process', () => {
  test('tells in its status how many more disks may be lost', async () => {
    const [peer, http] = await freePorts(2);
    const child = spawn(process.execPath, ['dist/cli/foxdeck.js', 'node', ...flags(peer!, http!)]);
    await new Promise<void>((resolve) => {
      let log = '';
      child.stderr.on('data', (bytes: Buffer) => {
        log += bytes.toString();
        if (log.includes('event=lease_won')) resolve();
      });
    });
    const status = await printed(['status', '--at', `127.0.0.1:${http}`]);
    child.kill('SIGTERM');
    await new Promise((resolve) => child.on('close', resolve));
    expect(status).toContain('voters may lose 0 more disks');
  });
  test('that is told to stop bounces new work, hands its duties on and ends with 0', async () => {
    const [peer, http] = await freePorts(2);
    const ended = await node(flags(peer!, http!), 'event=lease_won');
    const order = ['stopping', 'draining', 'drained'].map((event) => ended.log.indexOf(`event=${event}`));
    expect(order.every((place) => place > 0)).toBe(true);
    expect(order).toEqual([...order].sort((left, right) => left - right));
    expect(ended.code).toBe(0);
  });
  test('that finds its port taken ends with one line and 2', async () => {
    const [peer, http] = await freePorts(2);
    const taken = createServer();
    await new Promise<void>((resolve) => taken.listen(http, '127.0.0.1', resolve));
    const ended = await node(flags(peer!, http!));
    await new Promise((resolve) => taken.close(resolve));
    expect([ended.code, ended.said.length]).toEqual([2, 1]);
    expect(ended.said[0]).toContain(String(http));
  });
  test('that cannot write its data folder ends with one line and 2', async () => {
    const file = join(folder, 'file');
    writeFileSync(file, '');
    const [peer, http] = await freePorts(2);
    const ended = await node(flags(peer!, http!, ['--data', join(file, 'data')]));
    expect([ended.code, ended.said.length]).toEqual([2, 1]);
    expect(ended.said[0]).toContain("can't be written");
  });
  test.each([
    ['an unknown key', { nodeName: 'x' }, 'nodeName'],
    ['a bad address', { peer: 'localhost:1' }, 'peer'],
    ['a missing field', { domain: undefined }, 'domain'],
  ])('with %s in its settings ends with one line and 2', async (_, more, named) => {
    const settings = {
      ...{ name: 'x', domain: 'here', roles: ['front'], peer: '127.0.0.1:1', http: '127.0.0.1:2' },
      seeds: ['127.0.0.1:1'],
      ...more,
    };
    const file = join(folder, 'settings.json');
    writeFileSync(file, JSON.stringify(settings));
    const ended = await node(['--settings', file]);
    expect([ended.code, ended.said.length]).toEqual([2, 1]);
    expect(ended.said[0]).toContain(named);
  });
});
