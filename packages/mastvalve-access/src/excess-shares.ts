/**
 * Shares of the excess (`excess-share.ts`) that the leader has issued to entries. Their sum never exceeds a whole: a share counts until its
 * entry reports a later one, or until all grants that it allowed have left the window. Shares that earlier leaders issued count as one
 * amount, less those that entries report.
 */

import {wholeShare, type ExcessShare} from './excess-share.js';
import {unreportedGrantMs} from './grant-times.js';

export type ExcessSharesOptions = {
	term: number;
	startedAt: number;
	windowMs: number;
	/** Whether earlier leaders may have issued shares. */
	hasFormerShares: boolean;
};

/** Whether an entry can use a share, whether shares are issued at present, and the number of the list of busy workspaces that is sent with it. */
export type ShareRequest = {isWanted: boolean; isIssuing: boolean; list: number};

/** A share that an entry may hold, and the number of the list of busy workspaces that was sent with it. */
type IssuedShare = {number: number; parts: number; list: number; at: number};

/** Number of a share of an earlier leader, and of its list. */
const formerNumber = -1;
/** Largest number of entries that are issued shares: with more, a share is less than half a percent of a window and allows few requests. */
const maxSharing = 64;

const findLargest = (shares: readonly IssuedShare[]): number => Math.max(0, ...shares.map(({parts}) => parts));

/** Shares of one term. Times are monotonic, ms. */
export class ExcessShares {
	/** Shares that each entry may hold, in the order of their last calls. */
	private readonly issued = new Map<string, IssuedShare[]>();
	/** Sum of the largest share of each entry. */
	private sum = 0;
	private number = 0;
	/** Sum of the shares of earlier leaders that no entry has reported. */
	private unclaimed: number;

	constructor(private readonly options: ExcessSharesOptions) {
		this.unclaimed = options.hasFormerShares ? wholeShare : 0;
	}

	/** Whether shares are large enough to justify what is held back for them. */
	get isWorthwhile(): boolean {
		return this.issued.size <= maxSharing;
	}

	/** Records a call of an entry with the share that it holds. */
	noteCall(entry: string, held: ExcessShare | undefined, now: number): void {
		this.forgetOldest(now);
		const known = this.issued.get(entry)?.filter(({at}) => now < this.computeEnd(at));
		if (held?.term === this.options.term) {
			this.replace(entry, (known ?? []).filter(({number}) => number >= held.number).map(share => (share.number === held.number ? {...share, parts: held.parts} : share)));
		} else if (held && !known) {
			this.adoptFormer(entry, held, now);
		}
	}

	/** Issues a share to an entry: an equal part of the whole, reduced to what others don't hold. */
	issue(entry: string, {isWanted, isIssuing, list}: ShareRequest, now: number): ExcessShare {
		const known = this.issued.get(entry) ?? [];
		const available = wholeShare - this.readUnclaimed(now) - (this.sum - findLargest(known));
		const equal = Math.floor(wholeShare / (this.issued.size + (this.issued.has(entry) ? 0 : 1)));
		const parts = isWanted && isIssuing ? Math.max(0, Math.min(equal, available)) : 0;
		this.number += 1;
		if (isWanted || findLargest(known) > 0) {
			this.replace(entry, [...known, {
				number: this.number, parts, list, at: now,
			}]);
		} else {
			this.issued.delete(entry);
		}

		return {term: this.options.term, number: this.number, parts};
	}

	/** Returns the sum of all shares that may be held. */
	sumIssued(now: number): number {
		return this.sum + this.readUnclaimed(now);
	}

	/** Returns the sum of the shares that were sent with a list before the one with a number. */
	sumIssuedBefore(list: number, now: number): number {
		return [...this.issued.values()].reduce((sum, shares) => sum + findLargest(shares.filter(share => share.list < list)), this.readUnclaimed(now));
	}

	private adoptFormer(entry: string, {parts}: ExcessShare, now: number): void {
		const known = Math.min(this.readUnclaimed(now), parts);
		this.unclaimed -= known;
		this.replace(entry, [{
			number: formerNumber, parts: known, list: formerNumber, at: now,
		}]);
	}

	private replace(entry: string, shares: IssuedShare[]): void {
		this.sum += findLargest(shares) - findLargest(this.issued.get(entry) ?? []);
		this.issued.delete(entry);
		this.issued.set(entry, shares);
	}

	/** Forgets one entry at most: each call adds at most one. */
	private forgetOldest(now: number): void {
		const [oldest] = this.issued.entries();
		if (oldest?.[1].every(({at}) => now >= this.computeEnd(at))) {
			this.sum -= findLargest(oldest[1]);
			this.issued.delete(oldest[0]);
		}
	}

	private readUnclaimed(now: number): number {
		if (now >= this.computeEnd(this.options.startedAt)) {
			this.unclaimed = 0;
		}

		return this.unclaimed;
	}

	/** Returns the time at which all grants that a share allowed have left the window. */
	private computeEnd(at: number): number {
		return at + unreportedGrantMs + this.options.windowMs;
	}
}
