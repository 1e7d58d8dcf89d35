/**
 * How long requests have been quarantined. Like the times of heartbeats it is not in the log: a new leader gives each quarantine its
 * whole time again.
 */

import {quarantineMs} from 'mastvalve-fleet';

/** The clock. */
export class QuarantineExpiry {
	private readonly since = new Map<string, number>();

	/** Gives every quarantine its whole time. */
	reset(): void {
		this.since.clear();
	}

	/** Quarantined requests whose time is over; `now` is monotonic, ms. */
	listExpired(quarantined: readonly string[], now: number): string[] {
		const known = new Set(quarantined);
		[...this.since.keys()].filter(fingerprint => !known.has(fingerprint)).forEach(fingerprint => {
			this.since.delete(fingerprint);
		});
		return quarantined.filter(fingerprint => {
			const since = this.since.get(fingerprint) ?? now;
			this.since.set(fingerprint, since);
			return now - since > quarantineMs;
		});
	}
}
