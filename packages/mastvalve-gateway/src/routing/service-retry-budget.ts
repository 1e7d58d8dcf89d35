/**
 * Limits the retries that this entry sends to a service: a ratio of its own first attempts in a sliding window, plus an equal share of
 * the slack, which is divided by the number of entries that control has counted. The sum over all entries stays below the bound that
 * operators set.
 */

export type RetryLimits = {
	/** Retries per first attempt. */
	ratio: number;
	/** Retries per window that are allowed regardless of first attempts, over all entries. */
	slack: number;
	windowMs: number;
};

type RequestTimes = {first: number[]; retries: number[]};

/** Retry budget of one entry, kept per service. */
export class ServiceRetryBudget {
	private readonly services = new Map<string, RequestTimes>();

	/** `readEntries` returns the number of entries that share the slack; undefined until control has reported it. */
	constructor(private readonly limits: RetryLimits, private readonly now: () => number, private readonly readEntries: () => number | undefined) {}

	/** Counts a first attempt. */
	recordRequest(service: string): void {
		this.getTimes(service).first.push(this.now());
	}

	/** Consumes a retry; returns false when the budget is exhausted. */
	takeRetry(service: string): boolean {
		const {ratio, slack} = this.limits;
		// A fixed slack per entry would exceed the total slack once there are many entries.
		const ownSlack = slack / (this.readEntries() ?? Number.POSITIVE_INFINITY);
		const times = this.getTimes(service);
		if (times.retries.length + 1 > (ratio * times.first.length) + ownSlack) {
			return false;
		}

		times.retries.push(this.now());
		return true;
	}

	private getTimes(service: string): RequestTimes {
		const from = this.now() - this.limits.windowMs;
		const times = this.services.get(service) ?? {first: [], retries: []};
		this.services.set(service, times);
		removeBefore(times.first, from);
		removeBefore(times.retries, from);
		return times;
	}
}

const removeBefore = (times: number[], from: number): void => {
	const kept = times.findIndex(time => time >= from);
	times.splice(0, kept === -1 ? times.length : kept);
};
