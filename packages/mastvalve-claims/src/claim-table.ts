/**
 * Claims on keys that must run at most once, as deterministic replicated state.
 *
 * A key is remembered for the whole retention counted from its issue time, and one issued longer ago is refused as
 * not run. So forgetting a key can never let its call run again.
 */

import {ClaimStatus, type Claim} from 'mastvalve-types';
import {ClaimDecisionKind, type ClaimDecision} from './claim-decision.js';
import type {ClaimCompletion, ClaimRequest} from './claim-request.js';

/** Limits of a table. */
export type ClaimLimits = {
	/** How long keys are kept, ms from their issue. */
	retentionMs: number;
	/** How far ahead an issue time may be, ms. */
	maxIssuedAheadMs: number;
	maxClaims: number;
};

/** The decisions on which "at most once" rests, as functions so that proofs can hand in broken ones. */
export type ClaimRules = {
	/** Whether a key in this state may be claimed by another attempt. */
	mayReclaim: (status: ClaimStatus) => boolean;
	/** Whether a key is too old to be told from a forgotten one. */
	isTooOld: (issuedAt: number, now: number, retentionMs: number) => boolean;
};

/** Only what is known not to have run may run again. */
export const defaultClaimRules: ClaimRules = {
	mayReclaim: status => status === ClaimStatus.NotRun,
	isTooOld: (issuedAt, now, retentionMs) => issuedAt <= now - retentionMs,
};

type StoredClaim = Claim & {token: number};

/** The table as plain data. */
export type ClaimTableData = StoredClaim[];

/** Expired claims that one request may clear away, so that no request pays for all. */
const sweepsPerRequest = 4;

/** The claims. */
export class ClaimTable {
	private readonly claims = new Map<string, StoredClaim>();

	constructor(private readonly limits: ClaimLimits, private readonly rules: ClaimRules = defaultClaimRules) {}

	get size(): number {
		return this.claims.size;
	}

	/** Asks for a key. `token` is the log index of the request; `now` the log's time, ms since the epoch. */
	begin(request: ClaimRequest, token: number, now: number): ClaimDecision {
		this.sweep(now);
		if (this.rules.isTooOld(request.issuedAt, now, this.limits.retentionMs)) {
			return {kind: ClaimDecisionKind.TooOld};
		}

		if (request.issuedAt > now + this.limits.maxIssuedAheadMs) {
			return {kind: ClaimDecisionKind.TooNew};
		}

		const claim = this.claims.get(request.key);
		if (claim) {
			return this.beginAgain(claim, request, token, now);
		}

		if (this.claims.size >= this.limits.maxClaims) {
			return {kind: ClaimDecisionKind.Full};
		}

		this.claims.set(request.key, {...request, status: ClaimStatus.Running, token});
		return {kind: ClaimDecisionKind.Granted, token};
	}

	/** Records how an attempt ended; false when it no longer holds the key. */
	finish(end: ClaimCompletion): boolean {
		const claim = this.claims.get(end.key);
		const mayEnd = claim?.attempt === end.attempt && (claim.status === ClaimStatus.Running || claim.status === ClaimStatus.Unknown);
		if (!claim || !mayEnd) {
			return false;
		}

		this.claims.set(end.key, {...claim, status: end.status, ...(end.answer ? {answer: end.answer} : {})});
		return true;
	}

	/** What is kept of a key. */
	read(key: string): Claim | undefined {
		return this.claims.get(key);
	}

	takeSnapshot(): ClaimTableData {
		return [...this.claims.values()];
	}

	restoreSnapshot(data: ClaimTableData): void {
		this.claims.clear();
		data.forEach(claim => {
			this.claims.set(claim.key, claim);
		});
	}

	private beginAgain(claim: StoredClaim, request: ClaimRequest, token: number, now: number): ClaimDecision {
		const isSameAttempt = claim.attempt === request.attempt;
		if (isSameAttempt && claim.status === ClaimStatus.Running) {
			// The grant's answer was lost, and the same attempt asks again.
			return {kind: ClaimDecisionKind.Granted, token: claim.token};
		}

		// An attempt that has ended never starts again, whatever arrives late.
		if (isSameAttempt || claim.digest !== request.digest || !this.rules.mayReclaim(claim.status)) {
			return decideRepeat(claim, request, now);
		}

		this.claims.set(request.key, {...request, status: ClaimStatus.Running, token});
		return {kind: ClaimDecisionKind.Granted, token};
	}

	private sweep(now: number): void {
		takeFirst(this.claims.values(), sweepsPerRequest).forEach(claim => {
			// Put back to the end when it is to stay, so that the sweep goes round.
			this.claims.delete(claim.key);
			if (claim.issuedAt > now - this.limits.retentionMs) {
				this.claims.set(claim.key, claim);
			}
		});
	}
}

const takeFirst = <T>(iterator: Iterator<T>, count: number): T[] =>
	Array.from({length: count}, () => iterator.next()).filter(step => !step.done).map(step => step.value);

const decideRepeat = (claim: Claim, request: ClaimRequest, now: number): ClaimDecision => {
	if (claim.digest !== request.digest) {
		return {kind: ClaimDecisionKind.Mismatch};
	}

	if (claim.status === ClaimStatus.Done) {
		return {kind: ClaimDecisionKind.Done, ...(claim.answer ? {answer: claim.answer} : {})};
	}

	const isLost = claim.status === ClaimStatus.Unknown || now > claim.expiresAt;
	return {kind: isLost ? ClaimDecisionKind.Unknown : ClaimDecisionKind.Running};
};
