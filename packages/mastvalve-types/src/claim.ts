/**
 * A claim on a key, and what a repeat is told.
 */

import type {ClaimStatus} from './claim-status.js';

/** The kept answer of a call. */
export type KeptAnswer = {
	status: number;
	contentType: string;
	/** Base64 of the body. */
	body: string;
};

/** A claim as the replicated log keeps it. */
export type Claim = {
	key: string;
	/** Hash of method, path and body; a repeat with another one is refused. */
	digest: string;
	/** Identity of the attempt that holds the key. */
	attempt: string;
	status: ClaimStatus;
	/** When the key was issued, ms since the epoch. */
	issuedAt: number;
	/** After this time (ms since the epoch) a claim still running becomes unknown. */
	expiresAt: number;
	answer?: KeptAnswer;
};
