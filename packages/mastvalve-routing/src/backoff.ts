/**
 * Exponential backoff with full jitter, for the `Retry-After` of responses and for retries of an entry.
 */

/** Returns a delay drawn uniformly from 0 to an upper bound that doubles with each attempt up to `maxMs`, ms. */
export const computeBackoffMs = (attempt: number, baseMs: number, maxMs: number, random: () => number): number =>
	random() * Math.min(maxMs, baseMs * (2 ** attempt));
