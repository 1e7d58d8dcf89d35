/**
 * How long an entry may believe what it knows of keys.
 *
 * A key that was taken away must not be served for longer than a bound, also by an entry that is cut off. To have heard from
 * some control instance lately proves nothing, since that one may be cut off itself. What proves it is a moment at which the
 * log's leader, by its lease, was sure that it knew all that was committed: a configuration acknowledged before that moment is
 * part of what the entry has. The moment is told as a time behind the entry's own question, so that no two clocks are
 * compared, and counted by the entry's steady clock. That clock may stand still while the instance is suspended; then the
 * evidence ends.
 */

import {ConfirmedTime} from './confirmed-time.js';

/** Part of the bound that is used, since steady clocks differ (by 1 in 10,000) and a hand-over takes some ms. */
const usedRatio = 0.9;

/** The evidence of one entry. Times are monotonic, ms. */
export class KeyFreshness {
	/** Up to this moment all that was committed is known here. */
	private readonly confirmed = new ConfirmedTime();

	/** `boundMs` is the longest time for which a key may be served after it was taken away; undefined when there is no such bound. */
	constructor(private readonly boundMs: number | undefined) {}

	/** An answer to a question that was asked at `askedAt`: what it brought includes all that was committed up to `sureAfterMs` later. */
	recordAnswer(askedAt: number, sureAfterMs: number): void {
		this.confirmed.record(askedAt, askedAt + sureAfterMs);
	}

	/** Time may have gone by that the steady clock did not count. */
	invalidate(now: number): void {
		this.confirmed.invalidate(now);
	}

	/** Whether keys may be believed. */
	isFresh(now: number): boolean {
		return this.boundMs === undefined || this.computeAgeMs(now) < this.boundMs * usedRatio;
	}

	/** How old the evidence is, ms; infinite without any. */
	computeAgeMs(now: number): number {
		return now - this.confirmed.latestAt;
	}

	/** Whether it was ended by a suspension and comes again with the next answer. */
	isAwaitingRenewal(now: number, withinMs: number): boolean {
		return this.confirmed.latestAt === Number.NEGATIVE_INFINITY && now - this.confirmed.invalidatedAt < withinMs;
	}
}
