/**
 * Batch of claims and reports for one call to the leader: all that arrived while the previous call was in flight.
 */

import type {LimitClaim, LimitedWorkspace} from 'mastvalve-access';
import type {
	LimitTimestamp, PermitClaim, PermitResult, LimitReport,
} from 'mastvalve-limits';
import type {LimitRequestBody} from './limit-leader-client.js';

/** Whether a claim was granted; otherwise the time until it can be, ms. */
export type CostClaimOutcome = {isTaken: boolean; waitMs: number};

/** Outcome of a permit claim. */
export type PermitOutcome = PermitResult & {
	/** When the leader granted the permit; undefined when no leader counted it. */
	grantedAt: LimitTimestamp | undefined;
};

/** A pending claim of a request's cost at its workspace. */
export type PendingCostClaim = {claim: LimitClaim; workspace: LimitedWorkspace; resolve: (outcome: CostClaimOutcome) => void};

/** A pending claim of a permit at limited endpoints. */
export type PendingPermitClaim = {
	claim: PermitClaim;
	/** Limits known to this entry, by endpoint id, requests per second. */
	perSecond: ReadonlyMap<string, number>;
	resolve: (outcome: PermitOutcome) => void;
};

export class LimitBatch {
	readonly costClaims: PendingCostClaim[] = [];
	/** Costs that are refunded to workspaces. */
	readonly refunds: LimitClaim[] = [];
	readonly permitClaims: PendingPermitClaim[] = [];
	/** Ids of endpoints, one for each permit that was not used. */
	readonly unusedPermits: string[] = [];
	/** Reservations whose requests no longer wait. */
	readonly releasedReservations: string[] = [];

	/** `reports` are the limits that endpoints reported with their answers. */
	constructor(readonly reports: LimitReport[] = []) {}

	/** Whether a call is due: there are pending claims, released reservations or reports. Refunds and unused permits wait for the next call. */
	get needsCall(): boolean {
		return this.costClaims.length + this.permitClaims.length + this.reports.length + this.releasedReservations.length > 0;
	}

	/** Creates the request to the leader, with the most urgent permit claims first. */
	toRequest(): LimitRequestBody {
		this.permitClaims.sort((a, b) => a.claim.urgency - b.claim.urgency);
		return {
			claims: [...this.refunds, ...this.costClaims.map(({claim}) => claim)],
			words: this.reports,
			handovers: this.permitClaims.map(({claim}) => claim),
			unused: this.unusedPermits,
			released: this.releasedReservations,
		};
	}
}
