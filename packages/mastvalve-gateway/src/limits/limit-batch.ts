/**
 * What goes to the leader with one call: everything that came up while the call before was on its way.
 */

import type {LimitClaim} from 'mastvalve-access';
import type {
	LimitTimestamp, PermitClaim, PermitResult, LimitReport,
} from 'mastvalve-limits';
import type {AccountQuestion} from './leader-account.js';

/** Whether a claim was taken, and if not, when it can be, ms. */
export type ClaimOutcome = {isTaken: boolean; waitMs: number};

/** The answer to a request for a limited endpoint. */
export type HandoverOutcome = PermitResult & {
	/** When it was let through; undefined when nobody counted. */
	grantedAt: LimitTimestamp | undefined;
};

/** A claim of a workspace that waits for its answer. */
export type WaitingClaim = {claim: LimitClaim; resolve: (outcome: ClaimOutcome) => void};

/** A request for a limited endpoint that waits for its answer. */
export type WaitingHandover = {
	claim: PermitClaim;
	/** The limits as this entry knows them, by endpoint, requests a second. */
	perSecond: ReadonlyMap<string, number>;
	resolve: (outcome: HandoverOutcome) => void;
};

/** One batch. */
export class LimitBatch {
	readonly claims: WaitingClaim[] = [];
	/** Costs that workspaces get back. */
	readonly returned: LimitClaim[] = [];
	readonly handovers: WaitingHandover[] = [];
	/** Limited endpoints that did not get a request which was let through. */
	readonly unused: string[] = [];
	/** Reservations whose requests wait no more. */
	readonly released: string[] = [];

	/** `words` is what answers said of limits. */
	constructor(readonly words: LimitReport[] = []) {}

	/** Whether somebody waits for the call or for what it gives back, or there is a word to tell. */
	get isDue(): boolean {
		return this.claims.length + this.handovers.length + this.words.length + this.released.length > 0;
	}

	/** The batch as a question; the most urgent requests go first. */
	toQuestion(): AccountQuestion {
		this.handovers.sort((a, b) => a.claim.urgency - b.claim.urgency);
		return {
			claims: [...this.returned, ...this.claims.map(({claim}) => claim)],
			words: this.words,
			handovers: this.handovers.map(({claim}) => claim),
			unused: this.unused,
			released: this.released,
		};
	}
}
