/**
 * Problem details (RFC 9457), the one shape of errors over HTTP.
 */

import type {Outcome} from './outcome.js';

/** The body of every error answer. */
export type Problem = {
	/** `urn:mastvalve:problem:<code>`. */
	type: string;
	title: string;
	status: number;
	/** What happened and what to do next. */
	detail: string;
	outcome: Outcome;
	requestId?: string;
	/** When asking again may help, in seconds. */
	retryAfterSeconds?: number;
};
