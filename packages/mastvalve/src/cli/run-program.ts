/**
 * Running a program until it is told to stop.
 *
 * The first SIGTERM or SIGINT drains: everything in progress is finished. Repeated ones change nothing, since a supervisor or a terminal may send
 * several; SIGQUIT or SIGKILL ends at once.
 */

import process from 'node:process';
import {ExitCode} from './exit-code.js';

/** Something that runs and can be stopped as planned. */
export type Stoppable = {drain: () => Promise<void>};

/** Waits for a signal, then drains. */
export const runUntilStopped = async (program: Stoppable, failure?: Promise<void>): Promise<ExitCode> => {
	const stopped = new Promise<ExitCode>(resolve => {
		let isStopping = false;
		const onSignal = () => {
			if (isStopping) {
				return;
			}

			isStopping = true;
			void program.drain().then(() => {
				resolve(ExitCode.Ok);
			});
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
	return failure ? Promise.race([stopped, failure.then(() => ExitCode.Failure)]) : stopped;
};
