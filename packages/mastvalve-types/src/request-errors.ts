/**
 * Errors that a caller's request can meet.
 */

import {MastvalveError, type MastvalveErrorOptions} from './mastvalve-error.js';
import {Outcome} from './outcome.js';

/** The request itself is wrong; asking again the same way can't help. */
export class BadRequestError extends MastvalveError {
	constructor(message: string, code = 'bad-request', status = 400) {
		super(code, message, {status, outcome: Outcome.NotRun});
		this.name = 'BadRequestError';
	}
}

/** No such model, adapter or service. */
export class UnknownNameError extends MastvalveError {
	constructor(what: string, name: string, advice: string) {
		super('unknown-name', `There is no ${what} named "${name}". ${advice}`, {status: 404});
		this.name = 'UnknownNameError';
	}
}

/** It can't be served within its deadline; nothing was run. */
export class RefusedError extends MastvalveError {
	constructor(message: string, retryAfterSeconds: number, code = 'overloaded') {
		super(code, message, {status: 503, outcome: Outcome.NotRun, retryAfterSeconds});
		this.name = 'RefusedError';
	}
}

/** The deadline has passed. */
export class DeadlineError extends MastvalveError {
	constructor(message: string, outcome: Outcome) {
		super('deadline-passed', message, {status: 504, outcome});
		this.name = 'DeadlineError';
	}
}

/** Something was handed to an endpoint, and its answer did not come back whole. */
export class UnknownOutcomeError extends MastvalveError {
	constructor(message: string, options: MastvalveErrorOptions = {}) {
		super('outcome-unknown', message, {status: 502, ...options, outcome: Outcome.Unknown});
		this.name = 'UnknownOutcomeError';
	}
}
