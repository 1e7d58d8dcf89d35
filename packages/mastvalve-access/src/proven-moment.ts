/**
 * Up to which moment something is proved to be known, by the answer to a question. A steady clock may stand still while an
 * instance is suspended, so what was asked up to the moment at which that was noticed proves nothing, whoever noticed it. Plain
 * state: no clock.
 */

/** The moment. Times are monotonic, ms. */
export class ProvenMoment {
	private latest = Number.NEGATIVE_INFINITY;
	private trustedFrom = Number.NEGATIVE_INFINITY;

	/** The latest moment; negative infinity without any. */
	get at(): number {
		return this.latest;
	}

	/** When time may have gone by that was not counted; negative infinity if it never did. */
	get distrustedAt(): number {
		return this.trustedFrom;
	}

	/** The answer to a question asked at `askedAt` proves what is known up to `moment`. */
	record(askedAt: number, moment: number): void {
		// Strictly later: the clock may have stood still at that very moment.
		if (askedAt > this.trustedFrom) {
			this.latest = Math.max(this.latest, moment);
		}
	}

	/** Time may have gone by that the steady clock did not count. */
	distrust(now: number): void {
		this.latest = Number.NEGATIVE_INFINITY;
		this.trustedFrom = now;
	}
}
