/**
 * A token bucket: permits for whole requests at a steady rate. Plain state: no clock.
 */

const msPerSecond = 1000;
/**
 * What may come at once besides one request, as time at the rate, ms: requests don't come evenly, who waits for a turn comes a little
 * late, and half a second's worth is far below what a span of some seconds may hold.
 */
const burstMs = 500;

/**
 * A permit that comes within this time counts as there, ms: times are told in whole ms, and a request that comes a part of one too early would
 * wait anew or leave the permit unused. The level goes below zero by as much, so the rate stays what it is.
 */
const earlyToleranceMs = 5;

/** The bucket. Times are monotonic, ms. */
export class TokenBucket {
	/** `level` is the number of permits at the beginning. */
	constructor(private perSecond: number, private refilledAt: number, private permits: number) {}

	/** Another rate holds from now on. */
	setRate(perSecond: number, now: number): void {
		this.refill(now);
		this.perSecond = perSecond;
		this.permits = Math.min(this.permits, this.capacity);
	}

	/** Time after which there is a permit for a request behind as many others, ms; 0 when there is one now. */
	computeWaitMs(now: number, aheadCount = 0): number {
		this.refill(now);
		const waitMs = Math.ceil((aheadCount + 1 - this.permits) / this.perSecond * msPerSecond);
		return waitMs <= earlyToleranceMs ? 0 : waitMs;
	}

	/** Takes a permit. */
	takePermit(): void {
		this.permits -= 1;
	}

	/** A permit that was taken and not used comes back. */
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
