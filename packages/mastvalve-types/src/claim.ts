/**
 * Claims on keys of calls that must run at most once, and the responses stored for repeats.
 */

import type {ClaimStatus} from './claim-status.js';

/** Response of a finished call, returned to repeats of it. */
export type StoredResponse = {
	status: number;
	contentType: string;
	/** Base64-encoded body. */
	body: string;
};

/** A claim as stored in the replicated log. */
export type Claim = {
	key: string;
	/** Hash of method, path and body; a repeat with a different digest is rejected. */
	digest: string;
	/** ID of the attempt that holds the key. */
	attempt: string;
	status: ClaimStatus;
	/** Time at which the key was issued, in ms since the epoch. */
	issuedAt: number;
	/** Time in ms since the epoch after which a running claim counts as `Unknown`. */
	expiresAt: number;
	answer?: StoredResponse;
};
