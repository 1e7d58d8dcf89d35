/**
 * Decides how long an entry may rely on the keys that it knows.
 *
 * A revoked key must not be accepted for longer than a bound, even by a partitioned entry. Recent contact with a control instance is not
 * sufficient, since that instance may be partitioned itself. Freshness is confirmed up to a time at which the log's leader, by its lease,
 * knew all committed entries: a configuration acknowledged before that time is known to the entry. The time is sent as an offset from the
 * entry's own request, so that no clocks of two instances are compared, and is measured by the entry's monotonic clock. That clock may stop
 * while the instance is suspended, which invalidates the confirmation.
 */

import {ConfirmedTime} from './confirmed-time.js';

/** Share of the bound that is used, since monotonic clocks drift (by 1 in 10,000) and dispatching a request takes some ms. */
const usedRatio = 0.9;

/** Key freshness of one entry. Times are monotonic, ms. */
export class KeyFreshness {
	/** Time up to which all committed configurations are known here. */
	private readonly confirmed = new ConfirmedTime();

	/** `boundMs` is the longest time for which a key may be accepted after its revocation; undefined if unbounded. */
	constructor(private readonly boundMs: number | undefined) {}

	/** Records a response to a request sent at `askedAt`; it includes everything committed up to `sureAfterMs` later. */
	recordAnswer(askedAt: number, sureAfterMs: number): void {
		this.confirmed.record(askedAt, askedAt + sureAfterMs);
	}

	/** Discards the confirmation when time may have passed that the monotonic clock did not count. */
	invalidate(now: number): void {
		this.confirmed.invalidate(now);
	}

	/** Whether the known keys may be relied on. */
	isFresh(now: number): boolean {
		return this.boundMs === undefined || this.computeAgeMs(now) < this.boundMs * usedRatio;
	}

	/** Returns the time since the last confirmed time, ms; infinite if there is none. */
	computeAgeMs(now: number): number {
		return now - this.confirmed.latestAt;
	}

	/** Whether a suspension invalidated the confirmation within the last `withinMs`, so that the next response is expected to renew it. */
	isAwaitingRenewal(now: number, withinMs: number): boolean {
		return this.confirmed.latestAt === Number.NEGATIVE_INFINITY && now - this.confirmed.invalidatedAt < withinMs;
	}
}
