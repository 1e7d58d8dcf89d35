/**
 * Rate limiter for loads from the weight store: a sliding window over started loads. A load whose order has not been
 * answered may start at any time, so it counts until its start is known.
 */

/** Rate limit of the store. */
export type StoreLoadLimits = {windowMs: number; loadsPerSecond: number};

type StoreLoad = {at: number; hasStarted: boolean};

const msPerSecond = 1000;
/** Loads that started longer ago count in no window and are dropped, ms; windows last some seconds. */
const retentionMs = 60_000;

export class StoreLoadLimiter {
	private loads: StoreLoad[] = [];

	/** Reserves a load. The caller calls the result once the load is known to have started, with its latest possible start, ms. */
	reserve(): (at: number) => void {
		const load = {at: 0, hasStarted: false};
		this.loads.push(load);
		return at => {
			load.at = load.hasStarted ? load.at : at;
			load.hasStarted = true;
		};
	}

	/** Records a load that started at `at` at the latest, ms. */
	recordStart(at: number): void {
		this.loads = this.loads.filter(load => !load.hasStarted || at - load.at < retentionMs);
		this.reserve()(at);
	}

	/** Counts the loads that may start now. */
	countAvailable({windowMs, loadsPerSecond}: StoreLoadLimits, now: number): number {
		this.loads = this.loads.filter(load => !load.hasStarted || now - load.at < retentionMs);
		const counted = this.loads.filter(load => !load.hasStarted || now - load.at < windowMs);
		return Math.floor(loadsPerSecond * windowMs / msPerSecond) - counted.length;
	}
}
