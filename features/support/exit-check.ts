/**
 * Ends the test process when something that a scenario started keeps it alive after the last scenario. Without it the run would wait
 * for ever and print no verdict.
 */

import process from 'node:process';
import {AfterAll} from '@cucumber/cucumber';

/** Time for reports to be written after the last scenario, ms. */
const exitTimeoutMs = 30_000;
const failureExitCode = 1;

AfterAll(() => {
	setTimeout(() => {
		process.stderr.write(`the test process still runs ${exitTimeoutMs} ms after its last scenario, kept alive by: ${process.getActiveResourcesInfo().join(', ')}\n`);
		// Nothing else ends a process that waits for a timer.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(failureExitCode);
	}, exitTimeoutMs).unref();
});
