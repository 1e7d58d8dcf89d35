/**
 * Signals that abort after a time or with another signal.
 *
 * `AbortSignal.any` doesn't keep the signals that it follows, and Node.js 20 cancels the timer of a timeout signal that is collected as garbage, so
 * a deadline that nothing else refers to never passes.
 */

/** Returns a signal that aborts after `ms`, with a `TimeoutError`, or with any of `signals`. */
export const createDeadlineSignal = (ms: number, signals: readonly AbortSignal[]): AbortSignal => {
	const timeout = AbortSignal.timeout(ms);
	// A timeout signal with a listener is kept until it has aborted.
	timeout.addEventListener('abort', () => undefined, {once: true});
	return AbortSignal.any([...signals, timeout]);
};
