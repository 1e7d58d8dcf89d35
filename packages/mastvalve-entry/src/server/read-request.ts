/**
 * Reading what all requests of callers share.
 */

import {randomUUID} from 'node:crypto';
import type {Context} from 'hono';
import {
	Header, readDeadlineMs, readPriority, readRequestId,
} from 'mastvalve-http';
import {
	DeadlineError, Outcome, type MastvalveError, type Priority,
} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';

/** The headers of a request, checked. */
export type RequestHead = {requestId: string; deadlineMs: number; priority: Priority};

/** The request id, before anything is checked, so that every error can carry it. */
export const chooseRequestId = (c: Context): string => readRequestId(c.req.header(Header.RequestId)).unwrapOr(undefined) ?? randomUUID();

/** Reads the headers; all must be right. */
export const readRequestHead = (c: Context, requestId: string, defaultDeadlineMs: number): Result<RequestHead, MastvalveError> =>
	readRequestId(c.req.header(Header.RequestId))
		.andThen(() => readDeadlineMs(c.req.header(Header.DeadlineMs), defaultDeadlineMs))
		.andThen(deadlineMs => readPriority(c.req.header(Header.Priority)).map(priority => ({requestId, deadlineMs, priority})))
		.andThen((head): Result<RequestHead, MastvalveError> => (head.deadlineMs === 0
			? err(new DeadlineError('The deadline had passed when the request came. Nothing was run.', Outcome.NotRun))
			: ok(head)));
