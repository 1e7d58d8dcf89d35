/**
 * Problem details (RFC 9457), the format of all HTTP errors.
 */

import type {Outcome} from './outcome.js';

/** Body of an error response. */
export type Problem = {
	/** `urn:mastvalve:problem:<code>`. */
	type: string;
	title: string;
	status: number;
	/** Cause of the error and the next step for the caller. */
	detail: string;
	outcome: Outcome;
	requestId?: string;
	/** Delay before a retry, in seconds. */
	retryAfterSeconds?: number;
};
