/**
 * Claims that wait at the leader, in the order in which they are served: by urgency, then by whether the objective can still be met,
 * then by the tokens that their workspaces were served, then by objective.
 *
 * A burst of one workspace therefore delays only its own claims.
 */

import {slowdownMargin} from './reading-backlog.js';
import {countTokens, FairShares} from './fair-shares.js';
import {objectiveAt, type WaitingClaim} from './waiting-claim.js';

type Rank = {waiting: WaitingClaim; isLate: boolean; startTag: number};

export class DispatchQueue {
	private readonly claims = new Map<string, WaitingClaim>();
	private readonly countByUrgency = new Map<number, number>();
	private readonly countByShare = new Map<string, number>();
	private readonly shares = new FairShares();

	get size(): number {
		return this.claims.size;
	}

	has(id: string): boolean {
		return this.claims.has(id);
	}

	/** Whether claims of this urgency or a higher one wait. */
	hasAhead(urgency: number): boolean {
		return [...this.countByUrgency].some(([each, count]) => count > 0 && each <= urgency);
	}

	add(waiting: WaitingClaim): void {
		const {claim, shareKey} = waiting;
		if ((this.countByShare.get(shareKey) ?? 0) === 0) {
			this.shares.resume(claim);
		}

		this.claims.set(claim.id, waiting);
		this.count(waiting, 1);
	}

	/** Removes a claim that is refused, cancelled or has no holder any more. */
	remove(id: string): void {
		const waiting = this.claims.get(id);
		if (waiting) {
			this.claims.delete(id);
			this.count(waiting, -1);
		}
	}

	/** Removes a claim that is served. */
	serve({claim}: WaitingClaim): void {
		this.shares.charge(claim);
		this.remove(claim.id);
	}

	/** Removes the claims of entries that no longer call. */
	dropEntries(isSilent: (entry: string) => boolean): void {
		[...this.claims.values()].filter(({entry}) => isSilent(entry)).forEach(({claim}) => {
			this.remove(claim.id);
		});
		this.shares.sweep(shareKey => (this.countByShare.get(shareKey) ?? 0) > 0);
	}

	/** Returns all claims in the order in which they are served. */
	list(now: number): WaitingClaim[] {
		const ranks = this.rankAll(now);
		return ranks
			.toSorted((a, b) => a.waiting.claim.urgency - b.waiting.claim.urgency || Number(a.isLate) - Number(b.isLate) || a.startTag - b.startTag)
			.map(({waiting}) => waiting);
	}

	/**
	 * Gives each claim the start tag of fair queueing: the tokens of its workspace that are served before it, by objective within the
	 * workspace. A claim is late if its engine would miss the objective after a slowdown.
	 */
	private rankAll(now: number): Rank[] {
		const tokensBefore = {inTime: new Map<string, number>(), late: new Map<string, number>()};
		const byObjective = [...this.claims.values()].toSorted((a, b) => objectiveAt(a) - objectiveAt(b));
		return byObjective.map(waiting => {
			const {claim, shareKey, readMs} = waiting;
			const isLate = now + (claim.targetMs / slowdownMargin) + readMs > objectiveAt(waiting);
			const tokens = isLate ? tokensBefore.late : tokensBefore.inTime;
			const before = tokens.get(shareKey) ?? this.shares.servedTokens(shareKey);
			tokens.set(shareKey, before + countTokens(claim));
			return {waiting, isLate, startTag: before};
		});
	}

	private count({claim, shareKey}: WaitingClaim, change: number): void {
		this.countByUrgency.set(claim.urgency, (this.countByUrgency.get(claim.urgency) ?? 0) + change);
		const left = (this.countByShare.get(shareKey) ?? 0) + change;
		if (left > 0) {
			this.countByShare.set(shareKey, left);
		} else {
			this.countByShare.delete(shareKey);
		}
	}
}
