/**
 * Endpoint limits of an entry while it is disconnected from the leader: an equal share, among the entries that control has counted, of a
 * part of each limit. Only a part, since a leader that this entry doesn't reach may grant the whole limit to the others: it counts what
 * it doesn't hear of as zero. Buckets start with a random fill, so that entries that are disconnected at the same moment don't all send their first request
 * at once.
 */

import {minBy} from 'mastvalve-utils';
import type {PermitResult} from './permit-claim.js';
import {minPerSecond} from './limit-header.js';
import {TokenBucket} from './token-bucket.js';

/**
 * Part of a limit that all disconnected entries share: with the whole limit and the burst of a leader it stays below one and a half times the
 * limit and a few requests, whatever the number of disconnected entries.
 */
export const disconnectedRatio = 1 / 3;

/** Retry interval while the share of this entry is unknown: leaders are elected within 1.5 s. */
const unknownShareRetryMs = 1000;

export type DisconnectedRatesOptions = {
	/** Returns a number in [0, 1). */
	random: () => number;
	/** Returns the number of entries that share the limits; undefined if control has not reported it. */
	readEntryCount: () => number | undefined;
};

/** Limit shares of one disconnected entry. Times are monotonic, ms. */
export class DisconnectedRates {
	private readonly buckets = new Map<string, TokenBucket>();

	constructor(private readonly options: DisconnectedRatesOptions) {}

	/** Takes a permit at the first endpoint that has one available. `perSecond` holds the limits by endpoint. */
	claim(endpoints: readonly string[], perSecond: ReadonlyMap<string, number>, now: number): PermitResult {
		const offers = endpoints.map(endpoint => ({endpoint, waitMs: this.computeWaitMs(endpoint, perSecond.get(endpoint) ?? minPerSecond, now)}));
		const best = minBy(offers, ({waitMs}) => waitMs);
		if (best?.waitMs !== 0) {
			return {endpoint: undefined, waitMs: best?.waitMs ?? unknownShareRetryMs, reservation: undefined};
		}

		this.buckets.get(best.endpoint)?.takePermit();
		return {endpoint: best.endpoint, waitMs: 0, reservation: undefined};
	}

	/** Discards the shares after the entry has reconnected. */
	reset(): void {
		this.buckets.clear();
	}

	private computeWaitMs(endpoint: string, perSecond: number, now: number): number {
		const entryCount = this.options.readEntryCount();
		if (entryCount === undefined) {
			return unknownShareRetryMs;
		}

		const rate = disconnectedRatio * perSecond / Math.max(1, entryCount);
		const bucket = this.buckets.get(endpoint) ?? new TokenBucket(rate, now, this.options.random());
		this.buckets.set(endpoint, bucket);
		bucket.setRate(rate, now);
		return bucket.computeWaitMs(now);
	}
}
