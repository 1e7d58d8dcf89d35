/**
 * Telling connections that never came about from those that broke.
 */

import {assumeType} from 'mastvalve-utils';

/** Codes of errors that come before anything was sent. */
const unsentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

/** Whether a request that failed like this was certainly not sent, not even in part. */
export const wasNeverSent = (thrown: unknown): boolean => unsentCodes.has(assumeType<{code?: string}>(thrown).code ?? '');
