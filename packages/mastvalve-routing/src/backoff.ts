/**
 * Backoff with full jitter, for callers' `Retry-After` and for our own retries.
 */

/** Waits up to twice as long with each attempt, evenly spread, ms. */
export const chooseBackoff = (attempt: number, baseMs: number, maxMs: number, random: () => number): number =>
	random() * Math.min(maxMs, baseMs * (2 ** attempt));
