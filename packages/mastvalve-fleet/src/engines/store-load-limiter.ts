/**
 * Loads from the weight store that may begin now: a sliding window over those that began. A load whose order has not been
 * answered may begin at any time, so it counts until it is known to have begun.
 */

/** Bounds of the store. */
export type StoreLoadLimits = {windowMs: number; loadsPerSecond: number};

/** A load that was decided on. */
type StoreLoad = {at: number; hasBegun: boolean};

const msPerSecond = 1000;
/** Loads that began longer ago count in no window, ms; windows are of some seconds. */
const retentionMs = 60_000;

/** The rate. */
export class StoreLoadLimiter {
	private loads: StoreLoad[] = [];

	/** A load is ordered; the result is to be called when it is known to have begun, with the latest time for that, ms. */
	reserve(): (at: number) => void {
		const load = {at: 0, hasBegun: false};
		this.loads.push(load);
		return at => {
			load.at = load.hasBegun ? load.at : at;
			load.hasBegun = true;
		};
	}

	/** A load has begun at that time at the latest, ms. */
	recordStart(at: number): void {
		this.loads = this.loads.filter(load => !load.hasBegun || at - load.at < retentionMs);
		this.reserve()(at);
	}

	/** How many may begin now. */
	countAvailable({windowMs, loadsPerSecond}: StoreLoadLimits, now: number): number {
		this.loads = this.loads.filter(load => !load.hasBegun || now - load.at < retentionMs);
		const counted = this.loads.filter(load => !load.hasBegun || now - load.at < windowMs);
		return Math.floor(loadsPerSecond * windowMs / msPerSecond) - counted.length;
	}
}
