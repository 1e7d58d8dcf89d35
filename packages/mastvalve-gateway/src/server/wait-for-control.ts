/**
 * Waits of a request for what control is about to tell this entry: for a short time, and only where that is expected.
 */

import type {IncomingMessage} from 'node:http';
import {waitFor} from 'mastvalve-utils';
import {evidenceWaitMs} from '../access/access-checker.js';
import type {GatewayCore} from './gateway-core.js';

/** Control elects a leader within 1.5 s after all of it was killed; a request waits that long at most, ms. */
const maxSyncWaitMs = 1800;
/** Part of a caller's time that may go by in waiting, so that the rest suffices for the request. */
const syncWaitShare = 0.5;
const evidencePollMs = 10;

/** An entry that has just started knows the newest configuration soon; a request with time left waits for that. */
export const waitUntilSynced = async ({view, dialect, isDraining}: GatewayCore, req: IncomingMessage, signal: AbortSignal): Promise<void> => {
	if (view.isSynced || isDraining()) {
		return;
	}

	const remainingMs = dialect.readCaller(req.headers).remainingMs ?? 0;
	await new Promise<void>(resolve => {
		const done = (): void => {
			clearTimeout(timer);
			unsubscribe();
			resolve();
		};

		const timer = setTimeout(done, Math.min(maxSyncWaitMs, remainingMs * syncWaitShare));
		const unsubscribe = view.subscribe(() => {
			if (view.isSynced) {
				done();
			}
		});
		signal.addEventListener('abort', done, {once: true});
	});
};

/** After a suspension the next answer of control tells which keys are valid; it is asked for at once. */
export const waitForEvidence = async ({access, clock}: GatewayCore, signal: AbortSignal): Promise<void> => {
	const endAt = clock.now() + evidenceWaitMs;
	while (access.isAwaiting && clock.now() < endAt && !signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		await waitFor(evidencePollMs, signal);
	}
};
