/**
 * Retries as a share of first tries, so that failures can't multiply load.
 */

/** Retries that may be saved up while nothing fails. */
const maxSaved = 10;

/** One entry's budget. */
export class RetryBudget {
	private saved = maxSaved;

	/** `share` of first tries that may be retried, 0 to 1. */
	constructor(private readonly share: number) {}

	/** Counts a first try. */
	recordFirstTry(): void {
		this.saved = Math.min(maxSaved, this.saved + this.share);
	}

	/** Takes a retry out; false when none is left. */
	takeRetry(): boolean {
		const isAllowed = this.saved >= 1;
		this.saved -= isAllowed ? 1 : 0;
		return isAllowed;
	}
}
