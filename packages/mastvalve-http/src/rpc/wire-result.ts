/**
 * Results as they cross between processes.
 */

import {MastvalveError, type Outcome} from 'mastvalve-types';
import {toMastvalveError, assumeType} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';

/** An error as plain data. */
export type WireError = {
	code: string;
	message: string;
	status: number;
	outcome: Outcome;
	retryAfterSeconds?: number;
	/** Instance name of the leader, when the error is that another one must be asked. */
	leader?: string;
};

/** A result as plain data. */
export type WireResult<T> = {isOk: true; value: T} | {isOk: false; error: WireError};

/** Makes plain data of a result. */
export const toWire = <T>(result: Result<T, MastvalveError>): WireResult<T> =>
	result.match<WireResult<T>>(
		value => ({isOk: true, value}),
		error => ({
			isOk: false,
			error: {
				code: error.code,
				message: error.message,
				status: error.status,
				outcome: error.outcome,
				retryAfterSeconds: error.retryAfterSeconds,
				leader: assumeType<{leader?: string}>(error).leader,
			},
		}),
	);

/** Runs a handler and makes plain data of its result; what it throws becomes an error. */
export const answerWire = async <T>(handler: () => Promise<Result<T, MastvalveError>> | Result<T, MastvalveError>): Promise<WireResult<T>> => {
	try {
		return toWire(await handler());
	} catch (error) {
		return toWire<T>(err(toMastvalveError(error)));
	}
};

/** An error that came from another process. */
export class RemoteError extends MastvalveError {
	readonly leader: string | undefined;

	constructor(error: WireError) {
		super(error.code, error.message, error);
		this.name = 'RemoteError';
		this.leader = error.leader;
	}
}

/** Makes a result of plain data. */
export const fromWire = <T>(wire: WireResult<T>): Result<T, RemoteError> =>
	(wire.isOk ? ok(wire.value) : err(new RemoteError(wire.error)));
