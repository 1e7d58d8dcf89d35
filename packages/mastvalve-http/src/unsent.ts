/**
 * Telling connections that never came about from those that broke.
 */

import {assumeType} from 'mastvalve-utils';

const connectTimeoutCode = 'ERR_CONNECT_TIMEOUT';

/** Thrown when no connection comes about in time, so that nothing was sent. */
export class ConnectTimeoutError extends Error {
	readonly code: string = connectTimeoutCode;

	constructor(address: string, timeoutMs: number) {
		super(`no connection to ${address} within ${timeoutMs} ms`);
		this.name = 'ConnectTimeoutError';
	}
}

/** Codes of errors that come before anything was sent. */
const unsentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', connectTimeoutCode, 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

/** Whether a request that failed like this was certainly not sent, not even in part. */
export const wasNeverSent = (thrown: unknown): boolean => unsentCodes.has(assumeType<{code?: string}>(thrown).code ?? '');
