/**
 * Running a program until it is told to stop.
 *
 * The first SIGTERM or SIGINT drains: everything in progress is finished. A second one ends at once.
 */

import process from 'node:process';
import {ExitCode} from './exit-code.js';
import {printError} from './output.js';

/** Something that runs and can be stopped as planned. */
export type Stoppable = {drain: () => Promise<void>};

/** Signals this close together are one, ms. */
const sameSignalMs = 300;

/** Exit code after a second signal. */
const forcedExitCode = 130;

/** Waits for a signal, then drains. */
export const runUntilStopped = async (program: Stoppable, failure?: Promise<void>): Promise<ExitCode> => {
	const stopped = new Promise<ExitCode>(resolve => {
		let stoppingSince: number | undefined;
		const onSignal = () => {
			// A terminal sends Ctrl-C to npm and to us, and npm passes it on: the same signal comes twice at once.
			if (stoppingSince !== undefined && performance.now() - stoppingSince < sameSignalMs) {
				return;
			}

			if (stoppingSince !== undefined) {
				printError('mastvalve: ended at once by a second signal; requests in progress were cut');
				process.exit(forcedExitCode);
			}

			stoppingSince = performance.now();
			void program.drain().then(() => {
				resolve(ExitCode.Ok);
			});
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
	return failure ? Promise.race([stopped, failure.then(() => ExitCode.Failure)]) : stopped;
};
