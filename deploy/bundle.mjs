// Generates the codecs and makes the one program that every role starts, with its compiled code for the flags that
// each role runs under, all under target/.
import { execFileSync } from 'node:child_process';
import { cpSync, mkdirSync, readFileSync, rmSync } from 'node:fs';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

const run = (program, ...args) => execFileSync(program, args, { stdio: 'inherit', cwd: 'target/sources' });
rmSync('target', { recursive: true, force: true });
mkdirSync('target/sources', { recursive: true });
for (const part of ['src', 'platform', 'proto', 'buf.yaml', 'tsconfig.json', 'package.json'])
  cpSync(part, `target/sources/${part}`, { recursive: true, filter: (path) => !/(src\/(gen|sim|dev)|tests)(\/|$)/.test(path) });
run('../../node_modules/.bin/buf', 'generate', '--template', JSON.stringify({
  version: 'v2',
  plugins: [{ local: '../../node_modules/.bin/protoc-gen-es', out: 'src/gen', opt: ['target=ts', 'import_extension=js'] }],
}));
await build({
  entryPoints: ['target/sources/platform/main.ts'],
  outfile: 'target/program.js',
  bundle: true,
  minify: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
});
cpSync('deploy/load.cjs', 'target/foxdeck.cjs');
const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'));
for (const { run: line } of Object.values(roles)) {
  const [program, ...args] = line.split(' ');
  const role = args.pop();
  execFileSync(program, [...args, '--keep', role], { stdio: 'inherit' });
}
