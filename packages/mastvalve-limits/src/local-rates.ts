/**
 * How an entry goes on while nobody answers for the limits of endpoints: with its part of each limit, as one of the entries that
 * control has counted. Parts begin at random points of their time, so that entries that were disconnected at the same moment don't
 * all send their first request at once.
 */

import {minBy} from 'mastvalve-utils';
import type {HandoverGrant} from './handover-claim.js';
import {minPerSecond} from './limit-word.js';
import {RateBucket} from './rate-bucket.js';

/** When to look again at an endpoint of whose limit no part is known, ms: leaders are elected within 1.5 s. */
const unknownPartMs = 1000;

/** What it is made from. */
export type LocalRatesOptions = {
	/** Numbers in [0, 1). */
	random: () => number;
	/** How many entries share the limits; undefined when control has told none. */
	readEntries: () => number | undefined;
};

/** The parts of one entry that is disconnected from the leader. Times are monotonic, ms. */
export class LocalRates {
	private readonly buckets = new Map<string, RateBucket>();

	constructor(private readonly options: LocalRatesOptions) {}

	/** Takes a permit at the first endpoint that has one. `perSecond` tells the limit of each. */
	claim(endpoints: readonly string[], perSecond: ReadonlyMap<string, number>, now: number): HandoverGrant {
		const offers = endpoints.map(endpoint => ({endpoint, waitMs: this.findWait(endpoint, perSecond.get(endpoint) ?? minPerSecond, now)}));
		const best = minBy(offers, ({waitMs}) => waitMs);
		if (best?.waitMs !== 0) {
			return {endpoint: undefined, waitMs: best?.waitMs ?? unknownPartMs, reservation: undefined};
		}

		this.buckets.get(best.endpoint)?.take();
		return {endpoint: best.endpoint, waitMs: 0, reservation: undefined};
	}

	/** Somebody answers again. */
	clear(): void {
		this.buckets.clear();
	}

	private findWait(endpoint: string, perSecond: number, now: number): number {
		const entries = this.options.readEntries();
		if (entries === undefined) {
			return unknownPartMs;
		}

		const rate = perSecond / Math.max(1, entries);
		const bucket = this.buckets.get(endpoint) ?? new RateBucket(rate, now, this.options.random());
		this.buckets.set(endpoint, bucket);
		bucket.setRate(rate, now);
		return bucket.waitMs(now);
	}
}
