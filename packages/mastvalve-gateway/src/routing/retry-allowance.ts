/**
 * This entry's share of the retries that a service may get: a part of its own first tries in a sliding window, and a
 * few besides. The sum over all entries stays below what operators allow, since each uses only its own requests.
 */

/** Bounds of the allowance. */
export type RetryBounds = {
	/** Retries for each first try. */
	ratio: number;
	/** Retries in a window that need no first try. */
	slack: number;
	windowMs: number;
};

type Times = {first: number[]; retries: number[]};

/** The allowance. */
export class RetryAllowance {
	private readonly services = new Map<string, Times>();

	constructor(private readonly bounds: RetryBounds, private readonly now: () => number) {}

	/** A request for a service came. */
	recordRequest(service: string): void {
		this.timesOf(service).first.push(this.now());
	}

	/** Takes a retry, if one is left. */
	takeRetry(service: string): boolean {
		const {ratio, slack} = this.bounds;
		const times = this.timesOf(service);
		if (times.retries.length + 1 > (ratio * times.first.length) + slack) {
			return false;
		}

		times.retries.push(this.now());
		return true;
	}

	private timesOf(service: string): Times {
		const from = this.now() - this.bounds.windowMs;
		const times = this.services.get(service) ?? {first: [], retries: []};
		this.services.set(service, times);
		dropBefore(times.first, from);
		dropBefore(times.retries, from);
		return times;
	}
}

const dropBefore = (times: number[], from: number): void => {
	const kept = times.findIndex(time => time >= from);
	times.splice(0, kept === -1 ? times.length : kept);
};
