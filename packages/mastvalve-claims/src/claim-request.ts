/**
 * What is asked of the claim table.
 */

import type {ClaimStatus, KeptAnswer} from 'mastvalve-types';

/** Asks to hold a key for one attempt. */
export type ClaimRequest = {
	key: string;
	digest: string;
	attempt: string;
	issuedAt: number;
	/** After this time (ms since the epoch) a call without an outcome counts as unknown. */
	expiresAt: number;
};

/** Tells how an attempt ended. */
export type ClaimCompletion = {
	key: string;
	attempt: string;
	status: ClaimStatus.Done | ClaimStatus.NotRun | ClaimStatus.Unknown;
	answer?: KeptAnswer;
};
