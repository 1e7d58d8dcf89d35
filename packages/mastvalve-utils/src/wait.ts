/**
 * Abortable delays and periodic calls.
 */

import {setTimeout as setTimer} from 'node:timers/promises';

/** Resolves after `ms` milliseconds or when the signal aborts. Never rejects. */
export const waitFor = async (ms: number, signal?: AbortSignal): Promise<void> => {
	await setTimer(ms, undefined, {signal, ref: true}).catch(() => undefined);
};

/** Calls `body` every `ms` milliseconds until the signal aborts. Meant for short synchronous work at a high frequency. */
export const callUntilAborted = (signal: AbortSignal, ms: number, body: () => void): void => {
	const timer = setInterval(body, ms);
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
};

/** Runs `body` sequentially, with a delay of `pauseMs` after each run, until the signal aborts. Passes errors to `onError`. */
export const repeatUntilAborted = async (
	signal: AbortSignal,
	pauseMs: number,
	body: () => Promise<void>,
	onError: (thrown: unknown) => void,
): Promise<void> => {
	while (!signal.aborted) {
		// The runs must be sequential.
		// eslint-disable-next-line no-await-in-loop
		await body().catch(onError);
		// eslint-disable-next-line no-await-in-loop
		await waitFor(pauseMs, signal);
	}
};
