/**
 * Base class of the errors that mastvalve reports.
 */

import {Outcome} from './outcome.js';

/** Optional properties of an error. */
export type MastvalveErrorOptions = {
	/** HTTP status of the response; 500 by default. */
	status?: number;
	/** `Outcome.NotRun` by default. */
	outcome?: Outcome;
	/** Delay before a retry, in seconds. */
	retryAfterSeconds?: number;
	cause?: unknown;
};

/** An error with a stable code, an HTTP status and the outcome of the request. */
export class MastvalveError extends Error {
	readonly code: string;
	readonly status: number;
	readonly outcome: Outcome;
	readonly retryAfterSeconds: number | undefined;

	constructor(code: string, message: string, options: MastvalveErrorOptions = {}) {
		super(message, {cause: options.cause});
		this.name = 'MastvalveError';
		this.code = code;
		this.status = options.status ?? 500;
		this.outcome = options.outcome ?? Outcome.NotRun;
		this.retryAfterSeconds = options.retryAfterSeconds;
	}
}
