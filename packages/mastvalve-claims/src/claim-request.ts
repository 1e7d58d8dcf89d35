/**
 * Requests to the claim table.
 */

import type {ClaimStatus, StoredResponse} from 'mastvalve-types';

/** Request to claim a key for one attempt. */
export type ClaimRequest = {
	key: string;
	digest: string;
	attempt: string;
	/** When the key was issued, ms since the epoch. */
	issuedAt: number;
	/** Time after which the outcome of a call that is still running counts as unknown, ms since the epoch. */
	expiresAt: number;
};

/** Reports the outcome of an attempt. */
export type ClaimCompletion = {
	key: string;
	attempt: string;
	status: ClaimStatus.Done | ClaimStatus.NotRun | ClaimStatus.Unknown;
	answer?: StoredResponse;
};
