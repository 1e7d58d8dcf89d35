/**
 * Turning whatever was thrown into an error of ours.
 */

import {MastvalveError} from 'mastvalve-types';

/** The message of anything that was thrown. */
export const describeError = (thrown: unknown): string => {
	if (!(thrown instanceof Error)) {
		return String(thrown);
	}

	const cause = thrown.cause instanceof Error && thrown.cause.message !== thrown.message ? ` (${describeError(thrown.cause)})` : '';
	return `${thrown.message || thrown.name}${cause}`;
};

/** Wraps what isn't an error of ours as an internal one. */
export const toMastvalveError = (thrown: unknown): MastvalveError =>
	thrown instanceof MastvalveError ? thrown : new MastvalveError('internal', describeError(thrown), {cause: thrown});
