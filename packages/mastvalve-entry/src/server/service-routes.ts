/**
 * Calls to plain services, some of which must not be repeated.
 */

import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {Context, Hono} from 'hono';
import {Header, readBody} from 'mastvalve-http';
import {
	BadRequestError, Outcome, ServiceKind, UnknownNameError, type StoredResponse, type MastvalveError, type Service,
} from 'mastvalve-types';
import {hashCanonically} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {runClaimedCall, type ClaimedAnswer} from '../requests/claimed-call.js';
import type {EntryRequest} from '../requests/entry-request.js';
import {readIssueTime} from '../requests/issue-time.js';
import {answerError, type RouteScope} from './answer.js';
import {openAnswer, requireConfiguration, type EntryCore} from './entry-core.js';
import {readWhole} from './model-routes.js';
import {readRequestHead, type RequestHead} from './read-request.js';

const prefix = '/services/';

/** Methods that by HTTP's own rules may be sent again. */
const repeatableMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Headers of callers that the service gets. */
const passedHeaders = ['content-type', 'accept', 'accept-language', 'authorization', 'user-agent', Header.IdempotencyKey];

/** Whether operators declared that a call must not be repeated. */
export const isNotRepeated = (service: Service, method: string, path: string): boolean =>
	service.notRepeated.some(rule => {
		const [ruleMethod, rulePath = ''] = rule.split(' ', 2);
		const matches = rulePath.endsWith('*') ? path.startsWith(rulePath.slice(0, -1)) : path === rulePath;
		return ruleMethod === method && matches;
	});

/** Adds the routes. */
export const addServiceRoutes = (app: Hono, core: EntryCore, scope: RouteScope): void => {
	app.all(`${prefix}:service/*`, async c => scope(c, async requestId => serveCall(c, core, requestId)));
};

type Call = {head: RequestHead; service: Service; path: string; pathOnly: string};

const readCall = (c: Context, core: EntryCore, requestId: string): Result<Call, MastvalveError> =>
	readRequestHead(c, requestId, core.policy.defaultDeadlineMs).andThen(head => {
		const name = c.req.param('service') ?? '';
		const service = requireConfiguration(core).services[name];
		if (service?.kind !== ServiceKind.Plain) {
			return err(new UnknownNameError('plain service', name.slice(0, 100), 'See "mastvalve status" for the services that are declared.'));
		}

		const {pathname, search} = new URL(c.req.url);
		const pathOnly = pathname.slice(prefix.length + name.length);
		return ok({
			head, service, pathOnly, path: `${pathOnly}${search}`,
		});
	});

const serveCall = async (c: Context, core: EntryCore, requestId: string): Promise<Response> => {
	const call = readCall(c, core, requestId);
	if (call.isErr()) {
		return answerError(core, call.error, requestId);
	}

	const {head, service, path, pathOnly} = call.value;
	const {method} = c.req;
	const read = repeatableMethods.has(method) ? ok(undefined) : await readBody(c.req.raw, {maxBytes: core.policy.maxBodyBytes});
	if (read.isErr()) {
		return answerError(core, read.error, requestId);
	}

	const body = read.value;
	core.budget.recordFirstAttempt();
	core.countAttempt(false);
	core.context.timeline.record('request.received', `${method} ${pathOnly} of ${service.name}`, requestId);
	const request: EntryRequest = {
		requestId,
		service: service.name,
		model: undefined,
		priority: head.priority,
		deadlineAt: core.context.clock.now() + head.deadlineMs,
		method,
		path,
		headers: Object.fromEntries(passedHeaders.flatMap(name => {
			const value = c.req.header(name);
			return value === undefined ? [] : [[name, value]];
		})),
		body,
		prefixes: [],
		isRepeatable: repeatableMethods.has(method),
		signal: c.req.raw.signal,
	};
	const key = c.req.header(Header.IdempotencyKey);
	const mustClaim = isNotRepeated(service, method, pathOnly);
	const answered = key === undefined && !mustClaim
		? await callPlainly(core, request)
		: await callUnderClaim(core, request, head, {key, issuedAtHeader: c.req.header(Header.KeyIssuedAt)});
	return answered.match(
		({answer, isReplay}) => {
			core.context.timeline.record('request.ended', `${answer.status}${isReplay ? ', kept from the first time' : ''}`, requestId);
			return toResponse(answer, isReplay, requestId);
		},
		error => answerError(core, error, requestId),
	);
};

const callPlainly = async (core: EntryCore, request: EntryRequest): Promise<Result<ClaimedAnswer, MastvalveError>> => {
	const called = await callOnce(core, request);
	return called.map(answer => ({answer, isReplay: false}));
};

/** An idempotency key as the caller gave it. */
type GivenKey = {key: string | undefined; issuedAtHeader: string | undefined};

const callUnderClaim = async (
	core: EntryCore,
	request: EntryRequest,
	head: RequestHead,
	{key, issuedAtHeader}: GivenKey,
): Promise<Result<ClaimedAnswer, MastvalveError>> => {
	if (key === undefined) {
		return err(new BadRequestError(`This call must not be repeated, so it needs ${Header.IdempotencyKey}. Nothing was run.`, 'key-missing'));
	}

	const issuedAt = readIssueTime(key, issuedAtHeader);
	if (issuedAt.isErr()) {
		return err(issuedAt.error);
	}

	const call = {
		key: `${request.service} ${key}`,
		digest: hashCanonically([request.method, request.path, Buffer.from(request.body ?? []).toString('base64')]),
		attempt: randomUUID(),
		issuedAt: issuedAt.value,
		deadlineMs: head.deadlineMs,
		wall: core.context.clock.wall(),
	};
	// A claimed call goes on when the caller hangs up: its outcome is for the repeat.
	const detached = new AbortController().signal;
	return runClaimedCall(call, core.control, async token => {
		core.context.timeline.record('claim.granted', `key claimed under token ${token}`, request.requestId);
		return callOnce(core, {
			...request, claim: token, isRepeatable: false, signal: detached,
		});
	});
};

const callOnce = async (core: EntryCore, request: EntryRequest): Promise<Result<StoredResponse, MastvalveError>> => {
	const opened = await openAnswer(core, request);
	if (opened.isErr()) {
		return err(opened.error);
	}

	const {status, headers} = opened.value;
	const whole = await readWhole(core, request.requestId, opened.value);
	return whole.map(body => ({status, contentType: headers['content-type'] ?? 'application/octet-stream', body: Buffer.from(body).toString('base64')}));
};

const bodilessStatuses = new Set([204, 205, 304]);

const toResponse = (answer: StoredResponse, isReplay: boolean, requestId: string): Response =>
	new Response(bodilessStatuses.has(answer.status) ? undefined : Buffer.from(answer.body, 'base64'), {
		status: answer.status,
		headers: {
			'content-type': answer.contentType,
			[Header.RequestId]: requestId,
			[Header.Outcome]: Outcome.Done,
			...(isReplay ? {'idempotency-replayed': 'true'} : {}),
		},
	});
