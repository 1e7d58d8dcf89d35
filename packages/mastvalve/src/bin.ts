/**
 * The bin: hands the arguments to the command line and ends with its exit code.
 */

import process from 'node:process';
import {runMain} from './cli/main.js';

void runMain(process.argv.slice(2)).then(code => {
	process.exit(code);
});
