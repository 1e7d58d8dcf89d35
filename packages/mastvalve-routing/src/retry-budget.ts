/**
 * Limits retries to a share of first attempts, so that failures can't multiply the load.
 */

/** Largest balance of unused retries, and the initial one. */
const maxBalance = 10;

/** Retry budget of one entry. */
export class RetryBudget {
	private balance = maxBalance;

	/** `retryShare` is the number of retries credited per first attempt, 0 to 1. */
	constructor(private readonly retryShare: number) {}

	/** Credits a first attempt. */
	recordFirstAttempt(): void {
		this.balance = Math.min(maxBalance, this.balance + this.retryShare);
	}

	/** Consumes a retry; returns false when the budget is exhausted. */
	takeRetry(): boolean {
		const isAllowed = this.balance >= 1;
		this.balance -= isAllowed ? 1 : 0;
		return isAllowed;
	}
}
