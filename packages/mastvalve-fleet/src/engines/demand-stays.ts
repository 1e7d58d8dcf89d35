/**
 * Learns how long demand stays at a model and after what time it returns, over all models together: each changes only a few
 * times. Unfinished stays and pauses count with the time that they have lasted.
 */

/** Assumed before a change was seen, with the weight of one change, ms. */
const assumedStayMs = 8000;
const assumedPauseMs = 15_000;

export class DemandStays {
	private readonly stays = {ms: assumedStayMs, ends: 1};
	private readonly pauses = {ms: assumedPauseMs, ends: 1};

	/** Mean time for which a model is busy, ms. */
	get meanStayMs(): number {
		return this.stays.ms / this.stays.ends;
	}

	/** Mean time after which a model that was busy is busy again, ms. */
	get meanPauseMs(): number {
		return this.pauses.ms / this.pauses.ends;
	}

	/** Adds time during which some models were busy and some that had been busy were not. */
	recordTime(elapsedMs: number, busy: number, pausing: number): void {
		this.stays.ms += elapsedMs * busy;
		this.pauses.ms += elapsedMs * pausing;
	}

	recordLeft(): void {
		this.stays.ends += 1;
	}

	recordReturned(): void {
		this.pauses.ends += 1;
	}

	/** Returns the probability that a model which was busy is busy again within `horizonMs`. */
	returnProbability(horizonMs: number): number {
		return 1 - Math.exp(-horizonMs / this.meanPauseMs);
	}

	/** Returns for how long a model is expected to stay busy that has been so for `ageMs`, ms. */
	remainingMs(ageMs: number): number {
		return Math.max(this.meanStayMs - ageMs, this.meanStayMs * minRemainingShare);
	}
}

/** Part of the mean stay that is expected of a model however long it has been busy, since stays differ. */
const minRemainingShare = 0.5;
