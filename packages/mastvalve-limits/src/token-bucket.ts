/**
 * Token bucket that issues permits for whole requests at a steady rate. Plain state without a clock.
 */

const msPerSecond = 1000;
/**
 * Burst capacity besides one request, as time at the rate. Requests don't arrive evenly, and a request with a reservation arrives a
 * little late; half a second's worth is far below what a span of some seconds may hold.
 */
const burstMs = 500;

/**
 * A permit that is due within this time counts as available: times are sent in whole ms, and a request that arrives a fraction of one
 * early would wait again or leave the permit unused. The number of permits then drops below zero, so the rate is not exceeded.
 */
const earlyToleranceMs = 5;

/** Times are monotonic, ms. */
export class TokenBucket {
	/** `permits` is the initial number of permits. */
	constructor(private perSecond: number, private refilledAt: number, private permits: number) {}

	/** Changes the rate from now on. */
	setRate(perSecond: number, now: number): void {
		this.refill(now);
		this.perSecond = perSecond;
		this.permits = Math.min(this.permits, this.capacity);
	}

	/** Returns the time until a permit is available to a request behind `aheadCount` others, ms; 0 if one is available now. */
	computeWaitMs(now: number, aheadCount = 0): number {
		this.refill(now);
		const waitMs = Math.ceil((aheadCount + 1 - this.permits) / this.perSecond * msPerSecond);
		return waitMs <= earlyToleranceMs ? 0 : waitMs;
	}

	takePermit(): void {
		this.permits -= 1;
	}

	/** Returns an unused permit to the bucket. */
	returnPermit(): void {
		this.permits = Math.min(this.capacity, this.permits + 1);
	}

	private get capacity(): number {
		return 1 + (this.perSecond * burstMs / msPerSecond);
	}

	private refill(now: number): void {
		this.permits = Math.min(this.capacity, this.permits + ((now - this.refilledAt) * this.perSecond / msPerSecond));
		this.refilledAt = now;
	}
}
