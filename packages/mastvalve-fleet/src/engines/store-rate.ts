/**
 * Loads from the weight store that may begin now: a sliding window over those that began, or may have begun.
 */

/** Bounds of the store. */
export type StoreBounds = {windowMs: number; loadsPerSecond: number};

const msPerSecond = 1000;

/** The rate. */
export class StoreRate {
	private begun: number[] = [];

	/** A load begins, or may begin at that time. */
	record(at: number): void {
		this.begun.push(at);
	}

	/** How many may begin now. */
	available({windowMs, loadsPerSecond}: StoreBounds, now: number): number {
		this.begun = this.begun.filter(at => now - at < windowMs);
		return Math.floor(loadsPerSecond * windowMs / msPerSecond) - this.begun.length;
	}
}
