/**
 * Measures how long requests have been quarantined. Like the times of heartbeats, this is not in the log: a new leader restarts
 * the full duration of each quarantine.
 */

import {quarantineMs} from 'mastvalve-fleet';

export class QuarantineExpiry {
	private readonly since = new Map<string, number>();

	/** Restarts the duration of every quarantine. */
	reset(): void {
		this.since.clear();
	}

	/** Lists the quarantined requests whose quarantine has expired; `now` is monotonic, ms. */
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
