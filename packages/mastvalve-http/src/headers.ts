/**
 * The headers that mastvalve reads and writes; docs/operations/http.md describes them to callers.
 */

import {BadRequestError, Priority} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';

/** Names of headers, in lower case. */
export enum Header {
	/** Identity of a request through all processes; made by the entry unless the caller gives one. */
	RequestId = 'mastvalve-request-id',
	/** Identity of one attempt at one endpoint; between our processes. */
	Attempt = 'mastvalve-attempt',
	/** Time left for the whole request, ms. */
	DeadlineMs = 'mastvalve-deadline-ms',
	Priority = 'mastvalve-priority',
	/** `done`, `not-run` or `unknown`; on every answer. */
	Outcome = 'mastvalve-outcome',
	/** Hybrid logical clock; between our processes. */
	Clock = 'mastvalve-clock',
	/** The model whose memory the request needs; between our processes. */
	Model = 'mastvalve-model',
	/** Token of the claim under which a call is dispatched; between our processes. */
	Claim = 'mastvalve-claim',
	/** Tokens that the caller has already; to the engine. */
	ResumeAfter = 'mastvalve-resume-after',
	/** `running;queued` of the endpoint; on answers of sidecars. */
	Load = 'mastvalve-load',
	/** Incarnation of the endpoint for which a dispatch is meant; between our processes. */
	Incarnation = 'mastvalve-incarnation',
	/** The endpoint that answered. */
	Endpoint = 'mastvalve-endpoint',
	IdempotencyKey = 'idempotency-key',
	/** When an idempotency key was issued, RFC 3339 or ms since the epoch. */
	KeyIssuedAt = 'mastvalve-key-issued-at',
	RetryAfter = 'retry-after',
}

const ownPrefix = 'mastvalve-';

/** Whether only mastvalve's own programs may set a header on an answer: `name`, in any case, is one of mastvalve's, whether it has a use yet or not. */
export const isOwnHeader = (name: string): boolean => name.toLowerCase().startsWith(ownPrefix);

/** Longest deadline that a caller may state, ms. */
export const maxDeadlineMs = 3_600_000;

/** Reads the deadline header. */
export const readDeadlineMs = (text: string | undefined, fallback: number): Result<number, BadRequestError> => {
	if (text === undefined) {
		return ok(fallback);
	}

	const value = Number(text);
	return /^\d{1,10}$/v.test(text) && value <= maxDeadlineMs
		? ok(value)
		: err(new BadRequestError(`${Header.DeadlineMs} is "${text.slice(0, 40)}"; give a whole number of ms from 0 to ${maxDeadlineMs}.`));
};

/** Reads the priority header. */
export const readPriority = (text: string | undefined): Result<Priority, BadRequestError> => {
	const priority = Object.values(Priority).find(value => String(value) === (text ?? Priority.Standard));
	return priority
		? ok(priority)
		: err(new BadRequestError(`${Header.Priority} is "${(text ?? '').slice(0, 40)}"; give one of ${Object.values(Priority).join(', ')}.`));
};

/** Reads a request id that a caller gave; undefined when there is none. */
export const readRequestId = (text: string | undefined): Result<string | undefined, BadRequestError> =>
	(text === undefined || /^[\w.:\-]{1,100}$/v.test(text)
		? ok(text)
		: err(new BadRequestError(`${Header.RequestId} must be 1 to 100 letters, digits, ".", ":", "_" or "-".`)));
