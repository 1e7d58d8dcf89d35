/**
 * What is left to one workspace, counted at one place for all entries.
 *
 * The load pattern that it answers: a workspace sends several times its usual for seconds, through all entries at once, at a
 * few requests a second each. Shares of a limit by entry would be smaller than one request there; a sum that each entry learns
 * late lets all of them take the same rest. One bucket at the leader has neither, at the price of a call within the region.
 *
 * The tolerance of the limit is spent on what a bucket can't know: a part makes its burst larger, so that what callers sent within
 * the limit and what came together on its way is not refused; a part is what a new leader begins with, not knowing what the one
 * before has granted; the rest is left to entries that can't reach the leader (`usage-pace.ts`).
 */

import type {LimitTolerance} from './limit-tolerance.js';
import type {WorkspaceLimit} from './workspace.js';

const msPerSecond = 1000;
/** Part of the tolerance by which a burst may be larger than the limit says. */
const burstPart = 0.25;
/** Part of the tolerance that a new leader grants before it knows anything; leaders change at most twice in a window of some seconds. */
const beginningPart = 0.25;

const toleranceOf = ({ratePerSecond, burst}: WorkspaceLimit, {windowMs, overage, slack}: LimitTolerance): number =>
	(((ratePerSecond * windowMs / msPerSecond) + burst) * overage) + slack;

/** The bucket. Times are monotonic, ms. */
export class TokenBucket {
	private level: number;
	private capacity: number;

	constructor(private limit: WorkspaceLimit, private readonly tolerance: LimitTolerance, private filledAt: number) {
		this.capacity = this.measureCapacity();
		this.level = Math.min(limit.burst, beginningPart * toleranceOf(limit, tolerance));
	}

	/** Takes a cost, or nothing; the result is 0, or the time after which there is room for it, ms. */
	take(cost: number, now: number): number {
		this.fill(now);
		// A request larger than the whole bucket passes when the bucket is full, or it would never pass.
		const needed = Math.min(cost, this.capacity);
		if (this.level >= needed) {
			this.level -= cost;
			return 0;
		}

		return Math.ceil((needed - this.level) / this.limit.ratePerSecond * msPerSecond);
	}

	/** What was taken and not used comes back. */
	giveBack(amount: number): void {
		this.level = Math.min(this.capacity, this.level + amount);
	}

	/** The limit is another one from now on. */
	setLimit(limit: WorkspaceLimit, now: number): void {
		this.fill(now);
		this.limit = limit;
		this.capacity = this.measureCapacity();
		this.level = Math.min(this.level, this.capacity);
	}

	private measureCapacity(): number {
		return this.limit.burst + (burstPart * toleranceOf(this.limit, this.tolerance));
	}

	private fill(now: number): void {
		const elapsedMs = Math.max(0, now - this.filledAt);
		this.filledAt = now;
		this.level = Math.min(this.capacity, this.level + (elapsedMs / msPerSecond * this.limit.ratePerSecond));
	}
}
