/**
 * What is left to one workspace, counted at one place for all entries over the same sliding window in which operators judge it.
 *
 * The load pattern that it answers: a workspace sends several times its usual for seconds, through all entries at once, at a
 * few requests a second each. Shares of a limit by entry would be smaller than one request there; a sum that each entry learns
 * late lets all of them take the same rest. One count at the leader has neither, at the price of a call within the region. A
 * bucket that refills at the rate is stricter than the window: it refuses a burst that the window still allows.
 *
 * The tolerance of the limit is spent on what a count can't know: a part is granted, for requests that came together on their
 * way; a part is what a new leader grants before the entries have told what they were granted by the one before; the rest is
 * left to entries that can't reach the leader (`local-limits.ts`).
 */

import type {LimitTolerance} from './limit-tolerance.js';
import type {WorkspaceLimit} from './workspace.js';

const msPerSecond = 1000;
/** Part of the tolerance that is granted. */
const grantedToleranceRatio = 0.4;
/** Part of the tolerance that a new leader grants at once; leaders change at most twice in a window of some seconds. */
const startupToleranceRatio = 0.25;
/** Time in which entries hear of a new leader and tell it what they were granted before, ms: they ask control every 0.4 s. */
const startupMs = 500;
/** What was granted is added up in slots of this length, ms; a slot counts until its youngest grant is out of the window. */
const slotMs = 50;

/** What was granted in one slot. */
export type GrantedSlot = {slot: number; amount: number};

const computeTolerance = ({ratePerSecond, burst}: WorkspaceLimit, {windowMs, overage, slack}: LimitTolerance): number =>
	(((ratePerSecond * windowMs / msPerSecond) + burst) * overage) + slack;

/** The window. Times are monotonic, ms. */
export class LimitWindow {
	private readonly slots: GrantedSlot[] = [];
	private sum = 0;
	/** Granted since the beginning, by this leader. */
	private grantedSinceStart = 0;

	constructor(private limit: WorkspaceLimit, private readonly tolerance: LimitTolerance, private readonly startedAt: number) {}

	/** Time after which the window allows a cost, ms; 0 when it does now. */
	computeWaitMs(cost: number, now: number): number {
		this.dropExpired(now);
		return Math.max(this.computeWindowWaitMs(cost, now), this.computeStartupWaitMs(cost, now));
	}

	/** Takes a cost that the window allows. */
	take(cost: number, now: number): void {
		this.add(cost, now);
		this.grantedSinceStart += cost;
	}

	/**
	 * What was taken and not used comes back. It is taken off what was granted first: off anything later, it would be missing there
	 * when its own slot has left the window.
	 */
	refund(amount: number): void {
		this.slots.reduce((left, slot) => {
			const back = Math.min(left, slot.amount);
			slot.amount -= back;
			this.sum -= back;
			return left - back;
		}, amount);
		this.grantedSinceStart = Math.max(0, this.grantedSinceStart - amount);
	}

	/** Another leader granted this so long ago, ms. */
	addPriorGrant(amount: number, ageMs: number, now: number): void {
		this.add(amount, now - ageMs);
	}

	/** A higher limit holds for what was granted before, too. */
	raiseLimit(limit: WorkspaceLimit): void {
		this.limit = limit;
	}

	private get capacity(): number {
		const {ratePerSecond, burst} = this.limit;
		return (ratePerSecond * this.tolerance.windowMs / msPerSecond) + burst + (grantedToleranceRatio * computeTolerance(this.limit, this.tolerance));
	}

	private computeWindowWaitMs(cost: number, now: number): number {
		// A request larger than all that a window may hold passes when the window is empty, or it would never pass.
		let surplus = this.sum + Math.min(cost, this.capacity) - this.capacity;
		if (surplus <= 0) {
			return 0;
		}

		const freeing = this.slots.find(({amount}) => {
			surplus -= amount;
			return surplus <= 0;
		});
		return freeing === undefined ? this.tolerance.windowMs : Math.max(1, this.findExpiry(freeing) - now);
	}

	/** Until the entries have told, no more than a part of the tolerance. */
	private computeStartupWaitMs(cost: number, now: number): number {
		const ageMs = now - this.startedAt;
		if (ageMs >= startupMs) {
			return 0;
		}

		const isWithinTolerance = this.grantedSinceStart + cost <= startupToleranceRatio * computeTolerance(this.limit, this.tolerance);
		return isWithinTolerance ? 0 : Math.ceil(startupMs - ageMs);
	}

	private add(amount: number, at: number): void {
		const slot = Math.floor(at / slotMs);
		const index = this.slots.findLastIndex(each => each.slot <= slot);
		const existing = this.slots[index];
		if (existing?.slot === slot) {
			existing.amount += amount;
		} else {
			this.slots.splice(index + 1, 0, {slot, amount});
		}

		this.sum += amount;
	}

	private dropExpired(now: number): void {
		const firstKept = this.slots.findIndex(slot => this.findExpiry(slot) > now);
		const expired = this.slots.splice(0, firstKept === -1 ? this.slots.length : firstKept);
		this.sum = this.slots.length === 0 ? 0 : this.sum - expired.reduce((sum, {amount}) => sum + amount, 0);
	}

	private findExpiry({slot}: GrantedSlot): number {
		return ((slot + 1) * slotMs) + this.tolerance.windowMs;
	}
}
