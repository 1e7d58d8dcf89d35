/**
 * Inputs of procedures between our own processes. Both ends are this project's code of the same version family, so
 * only the outer shape is checked here; what people write is checked in mastvalve-settings.
 */

import {assumeType} from 'mastvalve-utils';
import {MastvalveError} from 'mastvalve-types';

/** Accepts any object as `T`; anything else is refused. */
export const trustedInput = <T>() => (value: unknown): T => {
	if (typeof value !== 'object' || value === null) {
		throw new MastvalveError('bad-rpc', 'The call has no input object. Both processes must run the same mastvalve.', {status: 400});
	}

	return assumeType<T>(value);
};
