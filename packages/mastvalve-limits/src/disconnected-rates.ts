/**
 * How an entry goes on while nobody answers for the limits of endpoints: with its part of each limit, as one of the entries that
 * control has counted. Parts begin at random points of their time, so that entries that were disconnected at the same moment don't
 * all send their first request at once.
 */

import {minBy} from 'mastvalve-utils';
import type {PermitResult} from './permit-claim.js';
import {minPerSecond} from './limit-header.js';
import {TokenBucket} from './token-bucket.js';

/** When to look again at an endpoint of whose limit no part is known, ms: leaders are elected within 1.5 s. */
const unknownShareRetryMs = 1000;

/** What it is made from. */
export type DisconnectedRatesOptions = {
	/** Numbers in [0, 1). */
	random: () => number;
	/** How many entries share the limits; undefined when control has told none. */
	readEntryCount: () => number | undefined;
};

/** The parts of one entry that is disconnected from the leader. Times are monotonic, ms. */
export class DisconnectedRates {
	private readonly buckets = new Map<string, TokenBucket>();

	constructor(private readonly options: DisconnectedRatesOptions) {}

	/** Takes a permit at the first endpoint that has one. `perSecond` tells the limit of each. */
	claim(endpoints: readonly string[], perSecond: ReadonlyMap<string, number>, now: number): PermitResult {
		const offers = endpoints.map(endpoint => ({endpoint, waitMs: this.computeWaitMs(endpoint, perSecond.get(endpoint) ?? minPerSecond, now)}));
		const best = minBy(offers, ({waitMs}) => waitMs);
		if (best?.waitMs !== 0) {
			return {endpoint: undefined, waitMs: best?.waitMs ?? unknownShareRetryMs, reservation: undefined};
		}

		this.buckets.get(best.endpoint)?.takePermit();
		return {endpoint: best.endpoint, waitMs: 0, reservation: undefined};
	}

	/** Somebody answers again. */
	reset(): void {
		this.buckets.clear();
	}

	private computeWaitMs(endpoint: string, perSecond: number, now: number): number {
		const entryCount = this.options.readEntryCount();
		if (entryCount === undefined) {
			return unknownShareRetryMs;
		}

		const rate = perSecond / Math.max(1, entryCount);
		const bucket = this.buckets.get(endpoint) ?? new TokenBucket(rate, now, this.options.random());
		this.buckets.set(endpoint, bucket);
		bucket.setRate(rate, now);
		return bucket.computeWaitMs(now);
	}
}
