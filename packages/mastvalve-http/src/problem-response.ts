/**
 * Errors as problem details (RFC 9457).
 */

import type {MastvalveError, Problem} from 'mastvalve-types';
import {Header} from './headers.js';

/** Media type of problem details. */
export const problemContentType = 'application/problem+json';

/** Titles for people, by status. */
const titles: Readonly<Record<number, string>> = {
	400: 'The request is not valid',
	404: 'There is no such name',
	408: 'The body came too slowly',
	409: 'It conflicts with what is there',
	413: 'The body is too large',
	422: 'It can not be carried out as it is',
	502: 'The answer did not come back whole',
	503: 'It can not be served now',
	504: 'The deadline has passed',
};

/** The problem details of an error. */
export const toProblem = (error: MastvalveError, requestId?: string): Problem => ({
	type: `urn:mastvalve:problem:${error.code}`,
	title: titles[error.status] ?? 'mastvalve failed',
	status: error.status,
	detail: error.message,
	outcome: error.outcome,
	...(requestId ? {requestId} : {}),
	...(error.retryAfterSeconds === undefined ? {} : {retryAfterSeconds: error.retryAfterSeconds}),
});

/** An error as an HTTP answer. */
export const toProblemResponse = (error: MastvalveError, requestId?: string): Response => {
	const headers = new Headers({'content-type': problemContentType, [Header.Outcome]: error.outcome});
	if (requestId) {
		headers.set(Header.RequestId, requestId);
	}

	if (error.retryAfterSeconds !== undefined) {
		headers.set(Header.RetryAfter, String(Math.max(1, Math.ceil(error.retryAfterSeconds))));
	}

	return Response.json(toProblem(error, requestId), {status: error.status, headers});
};
