/**
 * Latest time up to which data is confirmed to be current by the response to a request. A monotonic clock may stop while an instance is
 * suspended, so responses to requests sent before the suspension was detected, by any component, confirm nothing. Plain state without a
 * clock.
 */

/** Times are monotonic, ms. */
export class ConfirmedTime {
	private latest = Number.NEGATIVE_INFINITY;
	private invalidatedUntil = Number.NEGATIVE_INFINITY;

	/** Latest confirmed time; negative infinity if there is none. */
	get latestAt(): number {
		return this.latest;
	}

	/** When the last suspension was detected; negative infinity if there was none. */
	get invalidatedAt(): number {
		return this.invalidatedUntil;
	}

	/** Records that the response to a request sent at `askedAt` confirms the data up to `confirmedAt`. */
	record(askedAt: number, confirmedAt: number): void {
		// Strictly later, since the clock may have stopped at exactly that time.
		if (askedAt > this.invalidatedUntil) {
			this.latest = Math.max(this.latest, confirmedAt);
		}
	}

	/** Discards the confirmation when time may have passed that the monotonic clock did not count. */
	invalidate(now: number): void {
		this.latest = Number.NEGATIVE_INFINITY;
		this.invalidatedUntil = now;
	}
}
