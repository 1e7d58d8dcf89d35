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

/** Stored state is damaged or belongs to somebody else. */
export class StorageError extends MastvalveError {
	constructor(message: string, cause?: unknown) {
		super('storage', message, {cause});
		this.name = 'StorageError';
	}
}
