/**
 * The sidecar's route for entries: check, admit, hand over, pass the answer back.
 */

import type {Agent} from 'node:http';
import {Readable} from 'node:stream';
import type {Handler} from 'hono';
import {
	Header, readBody, toProblemResponse, type ProgramContext,
} from 'mastvalve-http';
import type {AdmissionRequest} from 'mastvalve-routing';
import {
	MastvalveError, Outcome, RefusedError, type Endpoint,
} from 'mastvalve-types';
import {createDeadlineSignal} from 'mastvalve-utils';
import {ok} from 'neverthrow';
import {copyHeaders, dispatchRequest, type DispatchAnswer} from './dispatch.js';
import type {EndpointGate} from './endpoint-gate.js';
import {readForwardRequest, type ForwardRequest} from './forward-request.js';

/** What the handler works on. */
export type ForwardHandlerOptions = {
	context: ProgramContext;
	gate: EndpointGate;
	agent: Agent;
	endpointUrl: string;
	endpointId: string;
	isEngine: boolean;
	maxBodyBytes: number;
	readEndpoint: () => Endpoint | undefined;
	isLeaving: () => boolean;
	/** Whether a model is to be held here. */
	mayHold: (model: string | undefined) => boolean;
	/** True the first time a claim is seen. */
	acceptClaim: (claim: number) => boolean;
};

const pathPrefix = '/forward';

/** Refused since the endpoint leaves; another one may be asked at once. */
const createLeavingError = (): MastvalveError =>
	new RefusedError('The endpoint is leaving and takes no new work.', 1, 'endpoint-leaving');

/** What forbids a request before admission; undefined when nothing does. */
const findObstacle = (options: ForwardHandlerOptions, forward: ForwardRequest): MastvalveError | undefined => {
	if (options.isLeaving()) {
		return createLeavingError();
	}

	if (options.readEndpoint()?.incarnation !== forward.incarnation) {
		return new RefusedError('The entry means another incarnation of this endpoint.', 1, 'wrong-incarnation');
	}

	if (!options.mayHold(forward.model)) {
		return new RefusedError(`The endpoint does not hold ${forward.model ?? 'it'}.`, 1, 'not-held');
	}

	return undefined;
};

/** Makes the handler. */
export const createForwardHandler = (options: ForwardHandlerOptions): Handler => async c => {
	const {context, gate, endpointId} = options;
	const forward = readForwardRequest(name => c.req.header(name));
	const answerError = (error: MastvalveError): Response => {
		context.timeline.record('request.refused', `${error.code} at ${endpointId}, outcome ${error.outcome}: ${error.message}`, forward.requestId);
		const res = toProblemResponse(error, forward.requestId);
		res.headers.set(Header.Load, formatLoad(gate));
		return res;
	};

	const read = hasBody(c.req.method) ? await readBody(c.req.raw, {maxBytes: options.maxBodyBytes}) : ok(undefined);
	if (read.isErr()) {
		return answerError(read.error);
	}

	const body = read.value;
	const obstacle = findObstacle(options, forward);
	if (obstacle) {
		return answerError(obstacle);
	}

	const now = context.clock.now();
	const admission: AdmissionRequest = {
		id: forward.attempt,
		priority: forward.priority,
		arrivedAt: now,
		deadlineAt: now + forward.deadlineMs,
		model: forward.model,
	};
	const entered = await gate.enter(admission, c.req.raw.signal);
	if (entered.isErr()) {
		return answerError(entered.error);
	}

	// The claim is taken last: a request that was refused before has not used it up.
	if (forward.claim !== undefined && !options.acceptClaim(forward.claim)) {
		gate.leave(admission);
		return answerError(new MastvalveError('claim-used', 'This claim was dispatched here before, or before this sidecar started.', {status: 409, outcome: Outcome.Unknown}));
	}

	context.timeline.record('request.dispatched', `handed to ${endpointId}`, forward.requestId);
	const ending = new AbortController();
	const answer = await dispatchRequest({
		url: `${options.endpointUrl}${c.req.url.slice(c.req.url.indexOf(pathPrefix) + pathPrefix.length)}`,
		method: c.req.method,
		headers: copyHeaders(c.req.raw.headers),
		body,
		signal: createDeadlineSignal(Math.max(1, forward.deadlineMs), [c.req.raw.signal, ending.signal]),
		isEngine: options.isEngine,
	}, options.agent);
	if (answer.isErr()) {
		gate.leave(admission);
		return answerError(answer.error);
	}

	return passAnswer(answer.value, gate, endpointId, () => {
		gate.leave(admission);
		context.timeline.record('request.finished', `${endpointId} answered ${answer.value.status}`, forward.requestId);
	});
};

const hasBody = (method: string): boolean => method !== 'GET' && method !== 'HEAD';

const formatLoad = (gate: EndpointGate): string => `${gate.queue.runningCount};${gate.queue.queuedCount}`;

/** Passes the body on as it comes. A body that breaks off breaks off for the entry too, so that it is never taken for whole. */
const passAnswer = (answer: DispatchAnswer, gate: EndpointGate, endpointId: string, onEnd: () => void): Response => {
	answer.body.once('close', onEnd);
	answer.headers.set(Header.Load, formatLoad(gate));
	answer.headers.set(Header.Endpoint, endpointId);
	return new Response(Readable.toWeb(answer.body) as ReadableStream, {status: answer.status, headers: answer.headers});
};
