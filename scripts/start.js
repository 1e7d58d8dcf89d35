/**
 * `npm start`: builds the bundle and runs `mastvalve dev` in this very process, so that Ctrl-C reaches it alone and its
 * exit code is npm's.
 */

import {execFileSync} from 'node:child_process';
import {createRequire} from 'node:module';
import process from 'node:process';

execFileSync(process.execPath, ['scripts/build.js', '--bundle-only'], {stdio: 'inherit'});
process.argv.splice(2, 0, 'dev');
createRequire(import.meta.url)('../dist/mastvalve.cjs');
