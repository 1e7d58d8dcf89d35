/**
 * The base class of all errors that mastvalve reports.
 */

import {Outcome} from './outcome.js';

/** Options of an error besides its code and message. */
export type MastvalveErrorOptions = {
	/** HTTP status that says it best. */
	status?: number;
	outcome?: Outcome;
	/** When asking again may help, in seconds. */
	retryAfterSeconds?: number;
	cause?: unknown;
};

/** An error with a stable code, an HTTP status and a truthful outcome. */
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
