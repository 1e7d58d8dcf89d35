/**
 * This entry's share of the retries that a service may get: a part of its own first tries in a sliding window, and its part of those
 * that need no first try, as one of the entries that control has counted. So the sum over all entries stays below what operators
 * allow.
 */

/** Bounds of the allowance. */
export type RetryLimits = {
	/** Retries for each first try. */
	ratio: number;
	/** Retries in a window that need no first try, of all entries together. */
	slack: number;
	windowMs: number;
};

type RequestTimes = {first: number[]; retries: number[]};

/** The allowance. */
export class ServiceRetryBudget {
	private readonly services = new Map<string, RequestTimes>();

	/** `readEntries` tells how many entries share the bounds; undefined while control has told none. */
	constructor(private readonly bounds: RetryLimits, private readonly now: () => number, private readonly readEntries: () => number | undefined) {}

	/** A request for a service came. */
	recordRequest(service: string): void {
		this.getTimes(service).first.push(this.now());
	}

	/** Takes a retry, if one is left. */
	takeRetry(service: string): boolean {
		const {ratio, slack} = this.bounds;
		// A number of its own for each entry would add up to more than all of them may make, once there are many.
		const ownSlack = slack / (this.readEntries() ?? Number.POSITIVE_INFINITY);
		const times = this.getTimes(service);
		if (times.retries.length + 1 > (ratio * times.first.length) + ownSlack) {
			return false;
		}

		times.retries.push(this.now());
		return true;
	}

	private getTimes(service: string): RequestTimes {
		const from = this.now() - this.bounds.windowMs;
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
