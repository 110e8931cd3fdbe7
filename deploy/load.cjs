// Starts the bundled program from compiled code, where the build kept some for these flags of Node; else from its text.
// With --keep ROLE the program is only read, and its compiled code kept for that role.
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const [, , first, second, ...others] = process.argv;
const keeps = first === '--keep';
const file = join(__dirname, 'program.js');
const kept = join(__dirname, `program.${String(keeps ? second : first).replace(/[^a-z]/g, '')}.code`);
const text = readFileSync(file, 'latin1');
const code = !keeps && existsSync(kept) ? { cachedData: readFileSync(kept) } : {};
const script = new Script(`(function (exports, require, module, __filename, __dirname) {${text}\n})`, {
  filename: file,
  ...code,
});
const body = { exports: {} };
script.runInThisContext().call(body.exports, body.exports, require, body, file, __dirname);
if (keeps) writeFileSync(kept, script.createCachedData());
else body.exports.main(...[first, second, ...others].filter((each) => each !== undefined));
