/**
 * The OpenAI-compatible routes.
 */

import {Buffer} from 'node:buffer';
import {assumeType, collectBytes, describeError} from 'mastvalve-utils';
import type {Context, Hono} from 'hono';
import {findServingModel, listCallableNames} from 'mastvalve-configuration';
import {Header, limitBytes, readBody} from 'mastvalve-http';
import {hashPrefixes} from 'mastvalve-routing';
import {
	BadRequestError, Outcome, UnknownNameError, type MastvalveError, type Model,
} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';
import {AnswerTooLargeError} from '../requests/answer-too-large-error.js';
import {toAttemptError} from '../requests/attempt.js';
import type {EntryRequest} from '../requests/entry-request.js';
import {streamAnswer} from '../requests/stream-answer.js';
import {answerError, type RouteScope} from './answer.js';
import {
	openAnswer, requireConfiguration, type EntryCore, type OpenAnswer,
} from './entry-core.js';
import {readRequestHead} from './read-request.js';

/** The part of a body that mastvalve looks at; the rest goes to the engine as it is. */
type ModelBody = {model: string; stream?: boolean; messages?: unknown; prompt?: unknown};

const parseBody = (bytes: Uint8Array): Result<ModelBody, BadRequestError> => {
	let body: unknown;
	try {
		body = JSON.parse(Buffer.from(bytes).toString());
	} catch (error) {
		return err(new BadRequestError(`The body is not JSON: ${describeError(error)}.`));
	}

	const {model, stream} = (body ?? {}) as {model?: unknown; stream?: unknown};
	if (typeof model !== 'string') {
		return err(new BadRequestError('The body needs "model", the name of a model or adapter.'));
	}

	return stream === undefined || stream === null || typeof stream === 'boolean'
		? ok(assumeType<ModelBody>(body))
		: err(new BadRequestError('"stream" must be true or false.'));
};

const findModel = (core: EntryCore, name: string): Result<Model, MastvalveError> => {
	const model = findServingModel(requireConfiguration(core), name);
	return model ? ok(model) : err(new UnknownNameError('model or adapter', name.slice(0, 100), 'GET /v1/models lists those that are declared.'));
};

/** Adds the routes. */
export const addModelRoutes = (app: Hono, core: EntryCore, scope: RouteScope): void => {
	app.get('/v1/models', c => c.json({
		object: 'list',
		data: listCallableNames(requireConfiguration(core)).map(id => ({
			id, object: 'model', created: 0, owned_by: 'mastvalve',
		})),
	}));
	['/v1/chat/completions', '/v1/completions'].forEach(path => {
		app.post(path, async c => scope(c, async requestId => serveModel(c, core, path, requestId)));
	});
};

const serveModel = async (c: Context, core: EntryCore, path: string, requestId: string): Promise<Response> => {
	const {clock} = core.context;
	const read = await readBody(c.req.raw, {maxBytes: core.policy.maxBodyBytes});
	if (read.isErr()) {
		return answerError(core, read.error, requestId);
	}

	const bytes = read.value;
	const checked = readRequestHead(c, requestId, core.policy.defaultDeadlineMs)
		.andThen(head => parseBody(bytes).andThen(body => findModel(core, body.model).map(model => ({head, body, model}))));
	if (checked.isErr()) {
		return answerError(core, checked.error, requestId);
	}

	const {head, body, model} = checked.value;
	core.demand.set(model.name, (core.demand.get(model.name) ?? 0) + 1);
	core.budget.recordFirstAttempt();
	core.countAttempt(false);
	core.context.timeline.record('request.received', `${path} for ${body.model}`, requestId);
	const request: EntryRequest = {
		requestId,
		service: model.service,
		model,
		priority: head.priority,
		deadlineAt: clock.now() + head.deadlineMs,
		method: 'POST',
		path,
		headers: {'content-type': 'application/json'},
		body: bytes,
		prefixes: hashPrefixes(model.name, JSON.stringify(body.messages ?? body.prompt ?? '')),
		isRepeatable: true,
		signal: c.req.raw.signal,
	};
	const opened = await openAnswer(core, request);
	if (opened.isErr()) {
		return answerError(core, opened.error, requestId);
	}

	return body.stream ? answerStream(core, request, opened.value) : answerWhole(core, request, opened.value);
};

const answerStream = (core: EntryCore, request: EntryRequest, first: OpenAnswer): Response => {
	const {timeline} = core.context;
	core.openStreams += 1;
	const body = streamAnswer(first, {
		mayResume: () => !request.signal.aborted && core.context.clock.now() < request.deadlineAt && core.budget.takeRetry(),
		resume: async tokens => openAnswer(core, request, tokens),
		onAttemptEnd(answer, error) {
			const {endpoint} = assumeType<OpenAnswer>(answer);
			core.table.recordEnd(endpoint);
			if (error && !request.signal.aborted) {
				core.table.recordFailure(endpoint);
				timeline.record('request.broken', `${error.code} at ${endpoint.id}: ${error.message}`, request.requestId);
			}
		},
		onEnd(tokens, error) {
			core.openStreams -= 1;
			timeline.record('request.ended', error ? `${error.code} after ${tokens} tokens` : `whole, ${tokens} tokens`, request.requestId);
		},
	});
	return new Response(ReadableStream.from(body) as ReadableStream, {
		status: first.status,
		headers: {
			'content-type': 'text/event-stream',
			'cache-control': 'no-cache',
			[Header.RequestId]: request.requestId,
			[Header.Endpoint]: first.endpoint.id,
		},
	});
};

const answerWhole = async (core: EntryCore, request: EntryRequest, first: OpenAnswer): Promise<Response> => {
	const body = await readWhole(core, request.requestId, first);
	if (body.isOk()) {
		core.context.timeline.record('request.ended', `whole, ${body.value.length} bytes`, request.requestId);
		return new Response(new Uint8Array(body.value), {
			status: first.status,
			headers: {
				'content-type': first.headers['content-type'] ?? 'application/json',
				[Header.RequestId]: request.requestId,
				[Header.Endpoint]: first.endpoint.id,
				[Header.Outcome]: Outcome.Done,
			},
		});
	}

	const mayRepeat = !request.signal.aborted && core.context.clock.now() < request.deadlineAt && core.budget.takeRetry();
	const next = mayRepeat ? await openAnswer(core, request) : undefined;
	return next?.isOk() ? answerWhole(core, request, next.value) : answerError(core, next?.isErr() ? next.error : body.error, request.requestId);
};

/** What reading a body needs of the core. */
export type ReadingParts = {context: Pick<EntryCore['context'], 'timeline'>; policy: Pick<EntryCore['policy'], 'maxAnswerBytes'>; table: Pick<EntryCore['table'], 'recordEnd' | 'recordFailure'>};

/** Reads a body to its end; a body that breaks off, or is larger than is read whole, is an error, never an answer. */
export const readWhole = async ({context, policy, table}: ReadingParts, requestId: string, {body, endpoint}: OpenAnswer): Promise<Result<Uint8Array, MastvalveError>> => {
	const {maxAnswerBytes} = policy;
	try {
		const bytes = await collectBytes(limitBytes(body, maxAnswerBytes, () => new AnswerTooLargeError('The body', endpoint.id, maxAnswerBytes)), maxAnswerBytes);
		table.recordEnd(endpoint);
		return ok(bytes);
	} catch (error_) {
		const error = toAttemptError(error_);
		table.recordEnd(endpoint);
		table.recordFailure(endpoint);
		context.timeline.record('request.broken', `${error.code} at ${endpoint.id}: ${error.message}`, requestId);
		return err(error);
	}
};
