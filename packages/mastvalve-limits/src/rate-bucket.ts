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
const earlyMs = 5;

/** The bucket. Times are monotonic, ms. */
export class RateBucket {
	/** `level` is the number of permits at the beginning. */
	constructor(private perSecond: number, private at: number, private level: number) {}

	/** Another rate holds from now on. */
	setRate(perSecond: number, now: number): void {
		this.refill(now);
		this.perSecond = perSecond;
		this.level = Math.min(this.level, this.capacity);
	}

	/** Time after which there is a permit for a request behind as many others, ms; 0 when there is one now. */
	waitMs(now: number, before = 0): number {
		this.refill(now);
		const waitMs = Math.ceil((before + 1 - this.level) / this.perSecond * msPerSecond);
		return waitMs <= earlyMs ? 0 : waitMs;
	}

	/** Takes a permit. */
	take(): void {
		this.level -= 1;
	}

	/** A permit that was taken and not used comes back. */
	giveBack(): void {
		this.level = Math.min(this.capacity, this.level + 1);
	}

	private get capacity(): number {
		return 1 + (this.perSecond * burstMs / msPerSecond);
	}

	private refill(now: number): void {
		this.level = Math.min(this.capacity, this.level + ((now - this.at) * this.perSecond / msPerSecond));
		this.at = now;
	}
}
