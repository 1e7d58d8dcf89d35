/**
 * Delays a request briefly while an update from control is expected.
 */

import type {IncomingMessage} from 'node:http';
import {waitFor} from 'mastvalve-utils';
import {renewalWaitMs} from '../access/access-checker.js';
import type {GatewayCore} from './gateway-core.js';

/** Longest wait for the initial configuration, ms: control elects a leader within 1.5 s after all its instances were killed. */
const maxSyncWaitMs = 1800;
/** Fraction of the caller's remaining time that may be spent waiting, so that the rest suffices for the request. */
const syncWaitShare = 0.5;
const evidencePollMs = 10;

/** Waits until the view is synced: shortly after the start of an entry, a request with time left is worth delaying. */
export const waitUntilSynced = async ({view, dialect, isDraining}: GatewayCore, req: IncomingMessage, signal: AbortSignal): Promise<void> => {
	if (view.isSynced || isDraining()) {
		return;
	}

	const remainingMs = dialect.parseCallerHeaders(req.headers).remainingMs ?? 0;
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

/** Waits for fresh key evidence after a suspension: the next response of control, which is requested at once, states the valid keys. */
export const waitForEvidence = async ({access, clock}: GatewayCore, signal: AbortSignal): Promise<void> => {
	const endAt = clock.now() + renewalWaitMs;
	while (access.isAwaitingRenewal && clock.now() < endAt && !signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		await waitFor(evidencePollMs, signal);
	}
};
