// Generates the codecs, checks types and makes the one file that every role starts, all under target/.
import { execFileSync } from 'node:child_process';
import { cpSync, mkdirSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

const run = (program, ...args) => execFileSync(program, args, { stdio: 'inherit', cwd: 'target/sources' });
rmSync('target', { recursive: true, force: true });
mkdirSync('target/sources', { recursive: true });
for (const part of ['src', 'platform', 'proto', 'buf.yaml', 'tsconfig.json', 'package.json'])
  cpSync(part, `target/sources/${part}`, { recursive: true, filter: (path) => !/src\/(gen|tests|sim|dev)(\/|$)/.test(path) });
run('../../node_modules/.bin/buf', 'generate', '--template', JSON.stringify({
  version: 'v2',
  plugins: [{ local: '../../node_modules/.bin/protoc-gen-es', out: 'src/gen', opt: ['target=ts', 'import_extension=js'] }],
}));
await build({
  entryPoints: ['target/sources/platform/main.ts'],
  outfile: 'target/foxdeck.cjs',
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
});
