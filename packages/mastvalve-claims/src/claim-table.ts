/**
 * Deterministic replicated table of claims on the keys of calls that must run at most once.
 *
 * A claim is kept for the retention period, counted from the issue time of its key, and a key issued before that period is
 * rejected as not run. Expiry of a claim therefore never allows its call to run again.
 */

import {ClaimStatus, type Claim} from 'mastvalve-types';
import {ClaimDecisionKind, type ClaimDecision} from './claim-decision.js';
import type {ClaimCompletion, ClaimRequest} from './claim-request.js';

export type ClaimLimits = {
	/** Retention period of a claim, ms from the issue time of its key. */
	retentionMs: number;
	/** Maximum time by which a key's issue time may be in the future, ms. */
	maxIssuedAheadMs: number;
	maxClaims: number;
};

/** Decisions on which at-most-once execution depends. They are functions so that the proofs can inject faulty ones. */
export type ClaimRules = {
	/** Whether another attempt may claim a key with this status. */
	mayReclaim: (status: ClaimStatus) => boolean;
	/** Whether a key is so old that its claim may already have been removed. */
	isTooOld: (issuedAt: number, now: number, retentionMs: number) => boolean;
};

/** Allows another attempt only for calls that are known not to have run. */
export const defaultClaimRules: ClaimRules = {
	mayReclaim: status => status === ClaimStatus.NotRun,
	isTooOld: (issuedAt, now, retentionMs) => issuedAt <= now - retentionMs,
};

type StoredClaim = Claim & {token: number};

/** Snapshot of the table as serializable data. */
export type ClaimTableData = StoredClaim[];

/** Maximum number of claims checked for expiry per request, so that no single request bears the cost of all. */
const maxSweptPerRequest = 4;

/** Holds the claims by key. */
export class ClaimTable {
	private readonly claims = new Map<string, StoredClaim>();

	constructor(private readonly limits: ClaimLimits, private readonly rules: ClaimRules = defaultClaimRules) {}

	get size(): number {
		return this.claims.size;
	}

	/** Claims a key. `token` is the log index of the request; `now` is the time recorded in the log, ms since the epoch. */
	begin(request: ClaimRequest, token: number, now: number): ClaimDecision {
		this.sweepExpired(now);
		if (this.rules.isTooOld(request.issuedAt, now, this.limits.retentionMs)) {
			return {kind: ClaimDecisionKind.TooOld};
		}

		if (request.issuedAt > now + this.limits.maxIssuedAheadMs) {
			return {kind: ClaimDecisionKind.TooNew};
		}

		const claim = this.claims.get(request.key);
		if (claim) {
			return this.beginForKnownKey(claim, request, token, now);
		}

		if (this.claims.size >= this.limits.maxClaims) {
			return {kind: ClaimDecisionKind.Full};
		}

		this.claims.set(request.key, {...request, status: ClaimStatus.Running, token});
		return {kind: ClaimDecisionKind.Granted, token};
	}

	/** Records the outcome of an attempt. Returns false when the attempt does not hold the key or its outcome is already final. */
	finish(completion: ClaimCompletion): boolean {
		const claim = this.claims.get(completion.key);
		const canFinish = claim?.attempt === completion.attempt && (claim.status === ClaimStatus.Running || claim.status === ClaimStatus.Unknown);
		if (!claim || !canFinish) {
			return false;
		}

		this.claims.set(completion.key, {...claim, status: completion.status, ...(completion.answer ? {answer: completion.answer} : {})});
		return true;
	}

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

	private beginForKnownKey(claim: StoredClaim, request: ClaimRequest, token: number, now: number): ClaimDecision {
		const isSameAttempt = claim.attempt === request.attempt;
		if (isSameAttempt && claim.status === ClaimStatus.Running) {
			// The response to the grant was lost and the same attempt retries.
			return {kind: ClaimDecisionKind.Granted, token: claim.token};
		}

		// A late or duplicate request never restarts an attempt that has ended.
		if (isSameAttempt || claim.digest !== request.digest || !this.rules.mayReclaim(claim.status)) {
			return decideForExistingClaim(claim, request, now);
		}

		this.claims.set(request.key, {...request, status: ClaimStatus.Running, token});
		return {kind: ClaimDecisionKind.Granted, token};
	}

	private sweepExpired(now: number): void {
		takeFirst(this.claims.values(), maxSweptPerRequest).forEach(claim => {
			// Unexpired claims move to the end of the map, so that successive sweeps cover the whole table.
			this.claims.delete(claim.key);
			if (claim.issuedAt > now - this.limits.retentionMs) {
				this.claims.set(claim.key, claim);
			}
		});
	}
}

const takeFirst = <T>(iterator: Iterator<T>, count: number): T[] =>
	Array.from({length: count}, () => iterator.next()).filter(result => !result.done).map(result => result.value);

const decideForExistingClaim = (claim: Claim, request: ClaimRequest, now: number): ClaimDecision => {
	if (claim.digest !== request.digest) {
		return {kind: ClaimDecisionKind.Mismatch};
	}

	if (claim.status === ClaimStatus.Done) {
		return {kind: ClaimDecisionKind.Done, ...(claim.answer ? {answer: claim.answer} : {})};
	}

	const isOutcomeUnknown = claim.status === ClaimStatus.Unknown || now > claim.expiresAt;
	return {kind: isOutcomeUnknown ? ClaimDecisionKind.Unknown : ClaimDecisionKind.Running};
};
