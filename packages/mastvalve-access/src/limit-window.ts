/**
 * Sliding-window limit of one workspace, counted at the leader for all entries over the same window by which operators assess it.
 *
 * A workspace may send several times its usual load for some seconds through all entries, at a few requests per second each. Shares per
 * entry would be smaller than one request, and with a sum that entries receive late all of them would use the same remaining capacity. A
 * central count avoids both at the cost of one call within the region. A token bucket that refills at the rate would refuse bursts that the
 * window still allows.
 *
 * The tolerance of the limit is spent once: 0.4 of it is granted, for requests that bunched up in transit, and the remaining 0.6 is left
 * for entries without a leader (`disconnected-limits.ts`), so the shares add up to 1. The 0.2 that a leader may grant before it is
 * recorded are part of the 0.4, since the next leader counts them as granted: all leaders together never exceed the capacity of a window,
 * however often they change and however many entries are silent.
 */

import {EntryCalls} from './entry-calls.js';
import {computeExcessPool} from './excess-share.js';
import {reportStepMs, unreportedGrantMs} from './grant-times.js';
import type {LimitTolerance} from './limit-tolerance.js';
import type {PriorGrant} from './prior-grant.js';
import {SilentGrants} from './silent-grants.js';
import type {WorkspaceLimit} from './workspace.js';

const msPerSecond = 1000;
/** Share of the tolerance that is granted. */
const grantedToleranceRatio = 0.4;
/** Share of the tolerance up to which a leader may grant beyond the recorded ceiling; contained in the share that is granted. */
const overdraftRatio = 0.2;
/** Grants are summed in slots of this length, ms; a slot counts until its latest grant has left the window. */
const slotMs = 50;
/** A grant counts longer than the window by the usual time from the leader's decision until its entry runs the request, ms. */
const deliveryMs = 50;

/** Sum of the grants of one slot, and by entry where the entry is known. */
export type GrantedSlot = {slot: number; amount: number; byEntry: Map<string, number>};

/** What earlier leaders may have granted after `since` and no entry has reported, and when it stops counting. */
type UnreportedGrants = {amount: number; since: number; until: number};

type Expiry = {amount: number; at: number};

const computeTolerance = ({ratePerSecond, burst}: WorkspaceLimit, {windowMs, overage, slack}: LimitTolerance): number =>
	(((ratePerSecond * windowMs / msPerSecond) + burst) * overage) + slack;

const addOfEntry = ({byEntry}: GrantedSlot, amount: number, entry: string | undefined): void => {
	if (entry !== undefined && amount !== 0) {
		byEntry.set(entry, (byEntry.get(entry) ?? 0) + amount);
	}
};

/** Times are monotonic, ms. */
export class LimitWindow {
	private readonly slots: GrantedSlot[] = [];
	private sum = 0;
	private unreported: UnreportedGrants | undefined;
	private readonly silent: SilentGrants;

	constructor(private limit: WorkspaceLimit, private readonly tolerance: LimitTolerance, calls: EntryCalls = new EntryCalls(tolerance.windowMs)) {
		this.silent = new SilentGrants(calls);
	}

	/** What the window allows. */
	get capacity(): number {
		const {ratePerSecond, burst} = this.limit;
		return (ratePerSecond * this.tolerance.windowMs / msPerSecond) + burst + (grantedToleranceRatio * computeTolerance(this.limit, this.tolerance));
	}

	/** How much may be granted beyond the recorded ceiling. */
	get overdraft(): number {
		return overdraftRatio * computeTolerance(this.limit, this.tolerance);
	}

	/** Returns what is held back for entries that may exceed their recent grants, as far as the tolerance doesn't cover it. */
	computeReserve(outstandingRatio: number): number {
		const pool = computeExcessPool(this.limit, this.tolerance.windowMs);
		return Math.max(0, (outstandingRatio * pool) - ((1 - grantedToleranceRatio) * computeTolerance(this.limit, this.tolerance)));
	}

	/** Counts what leaders before `startedAt` may have granted, until no entry can use it any more. */
	countUnreported(amount: number, startedAt: number): void {
		const {windowMs} = this.tolerance;
		this.unreported = {amount, since: startedAt - windowMs, until: startedAt + windowMs + unreportedGrantMs};
	}

	/** Returns what counts as granted in the window. */
	computeUsed(now: number): number {
		this.dropExpired(now);
		return this.sum + this.silent.computeSum(now) + (this.unreported?.amount ?? 0);
	}

	/** Returns the time until the window allows a cost beside a reserve, ms; 0 if it does now. */
	computeWaitMs(cost: number, now: number, reserve = 0): number {
		let surplus = this.computeUsed(now) + this.computeClaimed(cost) + (cost > this.capacity ? 0 : reserve) - this.capacity;
		if (surplus <= 0) {
			return 0;
		}

		const freeing = this.listExpiries().find(({amount}) => {
			surplus -= amount;
			return surplus <= 0;
		});
		return freeing === undefined ? this.tolerance.windowMs : Math.max(1, freeing.at - now);
	}

	/** Records a cost that the window allows. */
	take(cost: number, now: number, entry?: string): void {
		this.add(cost, now, entry);
	}

	/**
	 * Returns an unused cost. It is deducted from the earliest grants of its entry: deducted from a later slot, it would still reduce that
	 * slot's sum after its own slot has left the window.
	 */
	refund(amount: number, entry?: string): void {
		this.slots.reduce((left, slot) => {
			const back = Math.min(left, entry === undefined ? slot.amount : slot.byEntry.get(entry) ?? 0);
			slot.amount -= back;
			addOfEntry(slot, -back, entry);
			this.sum -= back;
			return left - back;
		}, amount);
	}

	/**
	 * Counts what an entry reports. Only what the recorded ceiling contains reduces the unreported amount: neither the entry's own grants, nor
	 * grants that had left the window when this leader started.
	 */
	addPriorGrant({amount, ageMs, isLocal}: Omit<PriorGrant, 'workspace'>, now: number, entry?: string): void {
		const at = now - ageMs;
		this.add(amount, at, entry);
		if (this.unreported && !isLocal && at - reportStepMs > this.unreported.since) {
			this.unreported.amount = Math.max(0, this.unreported.amount - amount);
		}
	}

	/** Raises the limit; prior grants count towards the higher limit. */
	raiseLimit(limit: WorkspaceLimit): void {
		this.limit = limit;
	}

	/**
	 * A request larger than the capacity of the window passes when the window is empty or holds only what might have been granted beyond the
	 * record; otherwise it would never pass.
	 */
	private computeClaimed(cost: number): number {
		return cost > this.capacity ? this.capacity - Math.min(this.unreported?.amount ?? 0, this.overdraft) : cost;
	}

	private listExpiries(): Expiry[] {
		const expiries = this.slots.map(slot => ({amount: slot.amount, at: this.findExpiry(slot)}));
		const {unreported} = this;
		const others = [...this.silent.listExpiries(), ...(unreported ? [{amount: unreported.amount, at: unreported.until}] : [])];
		return others.length > 0 ? [...expiries, ...others].toSorted((a, b) => a.at - b.at) : expiries;
	}

	private add(amount: number, at: number, entry: string | undefined): void {
		const slot = this.findOrCreateSlot(Math.floor(at / slotMs));
		slot.amount += amount;
		this.sum += amount;
		addOfEntry(slot, amount, entry);
	}

	private findOrCreateSlot(slot: number): GrantedSlot {
		const index = this.slots.findLastIndex(each => each.slot <= slot);
		const existing = this.slots[index];
		if (existing?.slot === slot) {
			return existing;
		}

		const created: GrantedSlot = {slot, amount: 0, byEntry: new Map()};
		this.slots.splice(index + 1, 0, created);
		return created;
	}

	private dropExpired(now: number): void {
		const firstKept = this.slots.findIndex(slot => this.findExpiry(slot) > now);
		const expired = this.slots.splice(0, firstKept === -1 ? this.slots.length : firstKept);
		expired.forEach(slot => {
			this.silent.takeOver(slot.byEntry, this.findExpiry(slot));
		});
		this.sum = this.slots.length === 0 ? 0 : this.sum - expired.reduce((sum, {amount}) => sum + amount, 0);
		if (this.unreported && this.unreported.until <= now) {
			this.unreported = undefined;
		}
	}

	private findExpiry({slot}: GrantedSlot): number {
		return ((slot + 1) * slotMs) + this.tolerance.windowMs + deliveryMs;
	}
}
