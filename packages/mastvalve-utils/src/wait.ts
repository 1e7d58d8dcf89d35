/**
 * Waiting on time and on conditions.
 */

import {setTimeout as setTimer} from 'node:timers/promises';

/** Waits `ms` milliseconds, or until the signal aborts; never throws. */
export const waitFor = async (ms: number, signal?: AbortSignal): Promise<void> => {
	await setTimer(ms, undefined, {signal, ref: true}).catch(() => undefined);
};

/** Calls `body` every `ms` milliseconds until the signal aborts; for short work that doesn't wait, many times a second. */
export const callUntilAborted = (signal: AbortSignal, ms: number, body: () => void): void => {
	const timer = setInterval(body, ms);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
};

/** Repeats `body` with pauses of `pauseMs` until the signal aborts. Errors go to `onError`. */
export const repeatUntilAborted = async (
	signal: AbortSignal,
	pauseMs: number,
	body: () => Promise<void>,
	onError: (thrown: unknown) => void,
): Promise<void> => {
	while (!signal.aborted) {
		// One round after the other is the point of this loop.
		// eslint-disable-next-line no-await-in-loop
		await body().catch(onError);
		// eslint-disable-next-line no-await-in-loop
		await waitFor(pauseMs, signal);
	}
};
