/**
 * Limits on requests of callers.
 */

/** Sizes in bytes, times in ms. */
export type CallerLimits = {
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
};
