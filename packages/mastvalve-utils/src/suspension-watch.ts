/**
 * Notices that the instance was suspended: its steady clock doesn't count that time, the time of day does.
 *
 * A step of the time of day looks the same. Whoever asks gives up for a moment what rests on the steady clock, and hears
 * anew from the others; so a step can't extend anything, and costs a round of heartbeats. Node has no reading of a
 * clock that counts suspensions (`os.uptime()` has a resolution of 10 ms at the best and reads a file).
 */

import type {Clock} from './clock.js';

/**
 * A jump between the clocks that counts as a suspension, ms: below the reserve of a lease for clocks of different speed
 * (55 of 550 ms), above what lies between two readings. What remains unnoticed is a suspension between the check
 * and what is done upon it in the same turn.
 */
const minJumpMs = 40;

/** The watch. */
export class SuspensionWatch {
	private lead: number;

	constructor(private readonly clock: Clock) {
		this.lead = clock.wall() - clock.now();
	}

	/** Whether time has gone by since the last call that the steady clock did not count. */
	hasJumped(): boolean {
		const lead = this.clock.wall() - this.clock.now();
		const jump = lead - this.lead;
		this.lead = lead;
		return jump > minJumpMs;
	}
}
