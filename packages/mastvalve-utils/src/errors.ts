/**
 * Normalizes thrown values.
 */

import {MastvalveError} from 'mastvalve-types';

/** Returns the message of a thrown value, followed by those of its causes unless they repeat it. */
export const describeError = (thrown: unknown): string => {
	if (!(thrown instanceof Error)) {
		return String(thrown);
	}

	const cause = thrown.cause instanceof Error && thrown.cause.message !== thrown.message ? ` (${describeError(thrown.cause)})` : '';
	return `${thrown.message || thrown.name}${cause}`;
};

/** Returns a `MastvalveError` unchanged and wraps any other value as one with the code `internal`. */
export const toMastvalveError = (thrown: unknown): MastvalveError =>
	thrown instanceof MastvalveError ? thrown : new MastvalveError('internal', describeError(thrown), {cause: thrown});
