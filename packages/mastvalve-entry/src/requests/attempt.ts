/**
 * One attempt at one endpoint, through its sidecar. Each attempt has an identity and a connection of its own, so an
 * answer can't reach another attempt.
 */

import {randomUUID} from 'node:crypto';
import type {Readable} from 'node:stream';
import {
	collectText, createDeadlineSignal, formatReading, parseReading, type HybridClock, describeError, assumeType,
} from 'mastvalve-utils';
import {
	Header, limitBytes, problemContentType, wasNeverSent,
} from 'mastvalve-http';
import {
	DeadlineError, MastvalveError, Outcome, UnknownOutcomeError, type Endpoint, type Problem,
} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {AnswerTooLargeError} from './answer-too-large-error.js';
import type {EntryRequest} from './entry-request.js';

/** Bytes of a sidecar's refusal; it has some hundreds. */
const maxProblemBytes = 65_536;

/** An answer whose body is still coming. */
export type AttemptAnswer = {
	status: number;
	headers: Record<string, string>;
	body: Readable;
	/** Ends the attempt: the endpoint stops working on it. */
	cancel: () => void;
};

/** What an attempt needs besides the request. */
export type AttemptOptions = {
	endpoint: Endpoint;
	agent: Dispatcher;
	hybridClock: HybridClock;
	now: number;
	/** Tokens that the caller has already. */
	resumeAfter: number;
};

const toHeaderRecord = (raw: Dispatcher.ResponseData['headers']): Record<string, string> =>
	Object.fromEntries(Object.entries(raw).map(([name, value]) => [name, [value ?? ''].flat().join(', ')]));

const createHeaders = (entryRequest: EntryRequest, options: AttemptOptions): Record<string, string> => ({
	...entryRequest.headers,
	[Header.RequestId]: entryRequest.requestId,
	[Header.Attempt]: randomUUID(),
	[Header.DeadlineMs]: String(Math.max(1, Math.floor(entryRequest.deadlineAt - options.now))),
	[Header.Priority]: entryRequest.priority,
	[Header.Incarnation]: String(options.endpoint.incarnation),
	[Header.Clock]: formatReading(options.hybridClock.tick()),
	...(entryRequest.model ? {[Header.Model]: entryRequest.model.name} : {}),
	...(entryRequest.claim === undefined ? {} : {[Header.Claim]: String(entryRequest.claim)}),
	...(options.resumeAfter > 0 ? {[Header.ResumeAfter]: String(options.resumeAfter)} : {}),
});

/** Makes an attempt; resolves when the endpoint's answer has begun. */
export const openAttempt = async (entryRequest: EntryRequest, options: AttemptOptions): Promise<Result<AttemptAnswer, MastvalveError>> => {
	const ending = new AbortController();
	const timeLeft = Math.max(1, Math.ceil(entryRequest.deadlineAt - options.now));
	try {
		const res = await request(`${options.endpoint.address}/forward${entryRequest.path}`, {
			method: entryRequest.method,
			headers: createHeaders(entryRequest, options),
			body: entryRequest.body,
			dispatcher: options.agent,
			signal: createDeadlineSignal(timeLeft, [entryRequest.signal, ending.signal]),
		});
		const headers = toHeaderRecord(res.headers);
		options.hybridClock.observe(parseReading(headers[Header.Clock]));
		if (headers[Header.Outcome] !== undefined && headers['content-type'] === problemContentType) {
			const problem = await collectText(limitBytes(res.body, maxProblemBytes, () => new AnswerTooLargeError('The refusal', options.endpoint.id, maxProblemBytes)), maxProblemBytes);
			return err(toError(assumeType<Problem>(JSON.parse(problem))));
		}

		return ok({
			status: res.statusCode, headers, body: res.body, cancel() {
				ending.abort();
			},
		});
	} catch (error) {
		return err(toAttemptError(error));
	}
};

/** A sidecar's refusal. */
const toError = (problem: Problem): MastvalveError =>
	new MastvalveError(problem.type.split(':').at(-1) ?? 'refused', problem.detail, {
		status: problem.status,
		outcome: problem.outcome,
		retryAfterSeconds: problem.retryAfterSeconds,
	});

/** What a broken attempt means. */
export const toAttemptError = (thrown: unknown): MastvalveError => {
	if (thrown instanceof MastvalveError) {
		return thrown;
	}

	if (thrown instanceof Error && thrown.name === 'TimeoutError') {
		return new DeadlineError('The deadline passed before the endpoint had answered.', Outcome.Unknown);
	}

	return wasNeverSent(thrown)
		? new MastvalveError('sidecar-unreachable', `The endpoint's sidecar takes no connection: ${describeError(thrown)}.`, {status: 503, outcome: Outcome.NotRun, retryAfterSeconds: 1})
		: new UnknownOutcomeError(`The connection broke before the whole answer was here: ${describeError(thrown)}.`);
};
