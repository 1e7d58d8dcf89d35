/**
 * Sliding-window limit of one workspace, counted at the leader for all entries over the same window by which operators assess it.
 *
 * A workspace may send several times its usual load for some seconds through all entries, at a few requests per second each. Shares per
 * entry would be smaller than one request; a sum that entries receive late would let all of them use the same remaining capacity. A central
 * count avoids both at the cost of one call within the region. A token bucket that refills at the rate is stricter than the window: it
 * refuses bursts that the window still allows.
 *
 * The tolerance of the limit covers what a central count can't know: a part is granted, for requests that bunched up in transit; a part is
 * granted by a new leader before the entries have reported their prior grants; the rest is for entries that can't reach the leader
 * (`disconnected-limits.ts`).
 */

import type {LimitTolerance} from './limit-tolerance.js';
import type {WorkspaceLimit} from './workspace.js';

const msPerSecond = 1000;
/** Share of the tolerance that is granted. */
const grantedToleranceRatio = 0.4;
/** Share of the tolerance that a new leader grants immediately; leaders change at most twice in a window of some seconds. */
const startupToleranceRatio = 0.25;
/** Time within which entries learn of a new leader and report their prior grants, ms: they poll control every 0.4 s. */
const startupMs = 500;
/** Grants are summed in slots of this length, ms; a slot counts until its latest grant has left the window. */
const slotMs = 50;

/** Sum of the grants of one slot. */
export type GrantedSlot = {slot: number; amount: number};

const computeTolerance = ({ratePerSecond, burst}: WorkspaceLimit, {windowMs, overage, slack}: LimitTolerance): number =>
	(((ratePerSecond * windowMs / msPerSecond) + burst) * overage) + slack;

/** Times are monotonic, ms. */
export class LimitWindow {
	private readonly slots: GrantedSlot[] = [];
	private sum = 0;
	/** Amount that this leader has granted. */
	private grantedSinceStart = 0;

	constructor(private limit: WorkspaceLimit, private readonly tolerance: LimitTolerance, private readonly startedAt: number) {}

	/** Returns the time until the window allows a cost, ms; 0 if it does now. */
	computeWaitMs(cost: number, now: number): number {
		this.dropExpired(now);
		return Math.max(this.computeWindowWaitMs(cost, now), this.computeStartupWaitMs(cost, now));
	}

	/** Records a cost that the window allows. */
	take(cost: number, now: number): void {
		this.add(cost, now);
		this.grantedSinceStart += cost;
	}

	/**
	 * Returns an unused cost. It is deducted from the earliest grants: deducted from a later slot, it would still reduce that slot's sum after
	 * its own slot has left the window.
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

	/** Records what another leader granted `ageMs` ago. */
	addPriorGrant(amount: number, ageMs: number, now: number): void {
		this.add(amount, now - ageMs);
	}

	/** Raises the limit; prior grants count towards the higher limit. */
	raiseLimit(limit: WorkspaceLimit): void {
		this.limit = limit;
	}

	private get capacity(): number {
		const {ratePerSecond, burst} = this.limit;
		return (ratePerSecond * this.tolerance.windowMs / msPerSecond) + burst + (grantedToleranceRatio * computeTolerance(this.limit, this.tolerance));
	}

	private computeWindowWaitMs(cost: number, now: number): number {
		// A request larger than the capacity of the window passes when the window is empty; otherwise it would never pass.
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

	/** Until the entries have reported their prior grants, only a share of the tolerance is granted. */
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
