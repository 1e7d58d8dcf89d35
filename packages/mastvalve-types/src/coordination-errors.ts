/**
 * Errors between mastvalve's own processes.
 */

import {MastvalveError} from './mastvalve-error.js';

/** The control instance asked is not the leader. */
export class NotLeaderError extends MastvalveError {
	/** Instance name of the leader, if it is known. */
	readonly leader: string | undefined;

	constructor(leader: string | undefined) {
		super('not-leader', leader ? `The leader is ${leader}.` : 'No leader is known. Ask again shortly.', {status: 503, retryAfterSeconds: 1});
		this.name = 'NotLeaderError';
		this.leader = leader;
	}
}

/** Control can't be reached, or has no majority. */
export class ControlUnavailableError extends MastvalveError {
	constructor(message: string, cause?: unknown) {
		super('control-unavailable', message, {status: 503, retryAfterSeconds: 1, cause});
		this.name = 'ControlUnavailableError';
	}
}

/** A heartbeat comes from an earlier incarnation of an endpoint, or from one of a service that no configuration names. */
export class UnknownEndpointError extends MastvalveError {
	constructor(id: string) {
		super('unknown-endpoint', `${id} is no endpoint that requests go to.`, {status: 400});
		this.name = 'UnknownEndpointError';
	}
}

/** Stored state is damaged or belongs to somebody else. */
export class StorageError extends MastvalveError {
	constructor(message: string, cause?: unknown) {
		super('storage', message, {cause});
		this.name = 'StorageError';
	}
}
