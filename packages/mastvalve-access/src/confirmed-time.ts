/**
 * Up to which moment something is proved to be known, by the answer to a question. A steady clock may stand still while an
 * instance is suspended, so what was asked up to the moment at which that was noticed proves nothing, whoever noticed it. Plain
 * state: no clock.
 */

/** The moment. Times are monotonic, ms. */
export class ConfirmedTime {
	private latest = Number.NEGATIVE_INFINITY;
	private invalidatedUntil = Number.NEGATIVE_INFINITY;

	/** The latest moment; negative infinity without any. */
	get latestAt(): number {
		return this.latest;
	}

	/** When time may have gone by that was not counted; negative infinity if it never did. */
	get invalidatedAt(): number {
		return this.invalidatedUntil;
	}

	/** The answer to a question asked at `askedAt` proves what is known up to `moment`. */
	record(askedAt: number, confirmedAt: number): void {
		// Strictly later: the clock may have stood still at that very moment.
		if (askedAt > this.invalidatedUntil) {
			this.latest = Math.max(this.latest, confirmedAt);
		}
	}

	/** Time may have gone by that the steady clock did not count. */
	invalidate(now: number): void {
		this.latest = Number.NEGATIVE_INFINITY;
		this.invalidatedUntil = now;
	}
}
