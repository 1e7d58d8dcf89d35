/**
 * Detects that the instance was suspended: the monotonic clock stops during a suspension, the wall clock does not.
 *
 * A forward step of the wall clock is indistinguishable from a suspension. Callers discard state that depends on the
 * monotonic clock, such as leases, until their peers confirm it again. A clock step can therefore not extend a lease; it
 * costs one round of heartbeats. Node.js does not expose a clock that includes suspensions (`os.uptime()` has a
 * resolution of 10 ms at best and reads a file).
 */

import type {Clock} from './clock.js';

/**
 * Minimum change of the offset between the clocks that counts as a suspension, ms. It is below the clock drift margin of
 * a lease (55 of 550 ms) and above the delay between the two clock readings. A suspension between the check and the
 * action that follows it in the same event loop iteration remains undetected.
 */
const minJumpMs = 40;

export class SuspensionDetector {
	private offsetMs: number;

	constructor(private readonly clock: Clock) {
		this.offsetMs = clock.wall() - clock.now();
	}

	/** Whether the wall clock has advanced further than the monotonic clock since the last call, by more than `minJumpMs`. */
	hasBeenSuspended(): boolean {
		const offsetMs = this.clock.wall() - this.clock.now();
		const jumpMs = offsetMs - this.offsetMs;
		this.offsetMs = offsetMs;
		return jumpMs > minJumpMs;
	}
}
