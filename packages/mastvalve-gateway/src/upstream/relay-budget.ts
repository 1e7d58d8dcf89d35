/**
 * Bounds the rate at which an entry relays answers, so that bodies without end leave its processor to other requests.
 *
 * Each answer has an allowance of its own, which common answers never exceed. What exceeds it comes out of one budget that all answers of the entry
 * share, a piece of each in turn.
 */

/** What an answer may cost at once, in bytes: more than common answers have. */
const allowanceBytes = 1_048_576;
/** Rate at which the allowance is filled up again, bytes per ms (256 KiB/s): 128 events a second, more than an engine writes for one stream. */
const allowancePerMs = 262.144;
/** What all answers may cost beyond their allowances, bytes per ms (32 MiB/s): 0.07 of a core, where the smallest entries have 0.18. */
const sharedPerMs = 33_554.432;
/** Cost of the smallest piece, in bytes: what a piece costs beside its bytes takes as long as relaying these. */
const minPieceBytes = 2048;
/** Shortest wait that a timer can keep, ms; less is owed until the next piece. */
const minWaitMs = 1;

/** Budget of one entry; `now` of its methods is in monotonic ms. */
export class RelayBudget {
	private freeAt = 0;

	/** Takes a cost in bytes; returns the time at which it is paid, monotonic ms. */
	take(bytes: number, now: number): number {
		this.freeAt = Math.max(this.freeAt, now) + (bytes / sharedPerMs);
		return this.freeAt;
	}
}

/** The rate of one answer. */
export class AnswerPace {
	/** Cost beyond the allowance so far, in bytes. */
	sharedBytes = 0;
	private allowance = allowanceBytes;
	private filledAt: number;

	constructor(private readonly budget: RelayBudget, private readonly now: () => number) {
		this.filledAt = now();
	}

	/** Counts a piece that is relayed; returns how long to wait before the next one, ms. */
	take(bytes: number): number {
		const now = this.now();
		const cost = Math.max(bytes, minPieceBytes);
		this.allowance = Math.min(allowanceBytes, this.allowance + ((now - this.filledAt) * allowancePerMs));
		this.filledAt = now;
		if (cost <= this.allowance) {
			this.allowance -= cost;
			return 0;
		}

		this.sharedBytes += cost;
		const waitMs = this.budget.take(cost, now) - now;
		return waitMs < minWaitMs ? 0 : waitMs;
	}
}
