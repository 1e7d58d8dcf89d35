/**
 * Errors returned to callers of the data path.
 */

import {MastvalveError, type MastvalveErrorOptions} from './mastvalve-error.js';
import {Outcome} from './outcome.js';

/** Thrown when the request is invalid; retrying it unchanged fails again. */
export class BadRequestError extends MastvalveError {
	constructor(message: string, code = 'bad-request', status = 400) {
		super(code, message, {status, outcome: Outcome.NotRun});
		this.name = 'BadRequestError';
	}
}

/** Thrown when a request names a model, adapter, service, endpoint or path that does not exist. */
export class UnknownNameError extends MastvalveError {
	constructor(kind: string, name: string, hint: string) {
		super('unknown-name', `There is no ${kind} named "${name}". ${hint}`, {status: 404});
		this.name = 'UnknownNameError';
	}
}

/** Thrown when a request is rejected before execution, for example because it cannot be served within its deadline; it was not run. */
export class RefusedError extends MastvalveError {
	constructor(message: string, retryAfterSeconds: number, code = 'overloaded') {
		super(code, message, {status: 503, outcome: Outcome.NotRun, retryAfterSeconds});
		this.name = 'RefusedError';
	}
}

/** Thrown when the deadline of a request expires; `outcome` states whether it may have run. */
export class DeadlineError extends MastvalveError {
	constructor(message: string, outcome: Outcome) {
		super('deadline-passed', message, {status: 504, outcome});
		this.name = 'DeadlineError';
	}
}

/** Thrown when a request was sent to an endpoint and no complete response was received. */
export class UnknownOutcomeError extends MastvalveError {
	constructor(message: string, options: MastvalveErrorOptions = {}) {
		super('outcome-unknown', message, {status: 502, ...options, outcome: Outcome.Unknown});
		this.name = 'UnknownOutcomeError';
	}
}
