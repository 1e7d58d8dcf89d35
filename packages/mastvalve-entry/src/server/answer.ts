/**
 * Answers that all routes share.
 */

import type {Context} from 'hono';
import {toProblem, toProblemResponse} from 'mastvalve-http';
import type {MastvalveError} from 'mastvalve-types';
import type {EntryCore} from './entry-core.js';

/** Runs a route under the entry's limits, with the request's id. */
export type RouteScope = (c: Context, serve: (requestId: string) => Promise<Response>) => Promise<Response>;

/** An error as problem details; `error` repeats it in the shape that OpenAI clients print. */
export const answerError = (core: EntryCore, error: MastvalveError, requestId: string): Response => {
	core.context.timeline.record('request.refused', `${error.code}, outcome ${error.outcome}`, requestId);
	const {status, headers} = toProblemResponse(error, requestId);
	const body = {...toProblem(error, requestId), error: {message: error.message, type: error.code, code: error.outcome}};
	return Response.json(body, {status, headers});
};
