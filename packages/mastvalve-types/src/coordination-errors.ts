/**
 * Errors raised in communication between mastvalve's processes and in their stored state.
 */

import {MastvalveError} from './mastvalve-error.js';

/** Thrown when the contacted control instance is not the leader. */
export class NotLeaderError extends MastvalveError {
	/** Instance name of the leader, if known. */
	readonly leader: string | undefined;

	constructor(leader: string | undefined) {
		super('not-leader', leader ? `The leader is ${leader}.` : 'No leader is known. Ask again shortly.', {status: 503, retryAfterSeconds: 1});
		this.name = 'NotLeaderError';
		this.leader = leader;
	}
}

/** Thrown when control is unreachable or has no quorum. */
export class ControlUnavailableError extends MastvalveError {
	constructor(message: string, cause?: unknown) {
		super('control-unavailable', message, {status: 503, retryAfterSeconds: 1, cause});
		this.name = 'ControlUnavailableError';
	}
}

/** Thrown when a heartbeat comes from an earlier incarnation of an endpoint or from an endpoint of a service that is not configured. */
export class UnknownEndpointError extends MastvalveError {
	constructor(id: string) {
		super('unknown-endpoint', `${id} is no endpoint that requests go to.`, {status: 400});
		this.name = 'UnknownEndpointError';
	}
}

/** Thrown when stored state is corrupt, has an unsupported format or belongs to another instance. */
export class StorageError extends MastvalveError {
	constructor(message: string, cause?: unknown) {
		super('storage', message, {cause});
		this.name = 'StorageError';
	}
}
