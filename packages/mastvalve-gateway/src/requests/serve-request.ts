/**
 * Serves one request: finds an endpoint, hands the request over, passes the answer on; tries again only where that can
 * do no harm, and refuses as "not run" only what was handed to nobody or what its endpoint says it did not run.
 */

import {parseLife, type FleetEndpoint} from 'mastvalve-fleet';
import type {AnswerHeaders} from '../dialect.js';
import {createEndpointHeaders} from '../endpoint-headers.js';
import {formatModel} from '../routing/model-demand.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {exchange, ExchangeKind, type ExchangeOutcome} from '../upstream/exchange.js';
import {isRepeatable, type CallerRequest} from './caller-request.js';
import {relayBody, StreamPosition} from './relay.js';
import type {Reply} from './reply.js';
import {hasTimeForSwap, waitForEndpoint} from './wait-for-endpoint.js';

/** Endpoints that may be out of reach before a request is given up; nothing was handed to them. */
const maxUnsent = 3;
/** A connection within a region is up in a few ms; a lost packet delays it by a second, ms. */
const connectMs = 400;
/** What is left of the time must be worth an attempt, ms. */
const minRemainingMs = 20;
const okStatus = 200;
/** Pause of a caller after a refusal that says nothing else, ms. */
const defaultRetryAfterMs = 100;

/** What became of the tries so far. */
type Progress = {
	tried: Set<string>;
	sent: number;
	unsent: number;
	/** Whether some endpoint may have run it. */
	mayHaveRun: boolean;
	position: StreamPosition | undefined;
};

/** Serves a request; the reply is over when this resolves. */
export const serveRequest = async (core: GatewayCore, request: CallerRequest, reply: Reply): Promise<void> => {
	const {route, caller} = request;
	const progress: Progress = {
		tried: new Set(), sent: 0, unsent: 0, mayHaveRun: false, position: route.isResumable ? new StreamPosition() : undefined,
	};
	if (progress.position && caller.resumeAfter !== undefined) {
		progress.position.lastEventId = caller.resumeAfter;
	}

	if (refuseQuarantined(core, request, reply, progress)) {
		return;
	}

	core.allowance.recordRequest(request.service);
	if (caller.model !== undefined) {
		core.demand.recordRequest(caller.model, caller.adapter, hasTimeForSwap(core, request, caller.model));
	}

	let isOver = false;
	while (!isOver && !reply.isOver && !request.signal.aborted) {
		// Attempts follow each other.
		// eslint-disable-next-line no-await-in-loop
		isOver = await tryOnce(core, request, reply, progress);
	}
};

/** One attempt; true when the request is over. */
const tryOnce = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: Progress): Promise<boolean> => {
	const endpoint = await waitForEndpoint(core, request, progress);
	// It may have come under quarantine while it waited, or by the try before this one.
	if (refuseQuarantined(core, request, reply, progress)) {
		return true;
	}

	if ('reason' in endpoint) {
		giveUp(core, request, reply, progress, endpoint.reason, endpoint.retryAfterMs);
		return true;
	}

	if (progress.sent > 0 && !core.allowance.takeRetry(request.service)) {
		giveUp(core, request, reply, progress, 'no retries are left');
		return true;
	}

	if (request.signal.aborted) {
		return true;
	}

	progress.tried.add(endpoint.id);
	const use = core.board.begin(endpoint.id, request.caller.promptTokens);
	const sentAt = core.clock.now();
	const outcome = await sendTo(core, request, endpoint, progress);
	core.observer.recordAttempt(outcome.kind);
	if (outcome.kind === ExchangeKind.Answered) {
		recordHead(core, request, endpoint, outcome.res.statusCode ?? 0, core.clock.now() - sentAt);
		progress.sent += 1;
		const isOver = await takeAnswer(core, request, reply, progress, {endpoint, outcome, read: use.read});
		use.end();
		return isOver;
	}

	use.end();
	progress.sent += outcome.kind === ExchangeKind.Lost ? 1 : 0;
	progress.unsent += outcome.kind === ExchangeKind.NotSent ? 1 : 0;
	progress.mayHaveRun ||= outcome.kind === ExchangeKind.Lost;
	if (request.signal.aborted) {
		return true;
	}

	if (outcome.kind === ExchangeKind.Lost) {
		core.crashes.suspect(endpoint, request.fingerprint);
	}

	core.board.recordFailure(endpoint.id);
	if (outcome.isRefused) {
		core.board.recordAbsent(endpoint.id);
		core.demand.recordAbsent(endpoint.id);
	}

	core.log('attempt.failed', {
		request: request.requestId, fingerprint: request.fingerprint, endpoint: endpoint.id, outcome: outcome.kind, reason: outcome.reason,
	});
	return endOrRetry(core, request, reply, progress, outcome.reason);
};

/** Learns from the time in which an engine began to answer. */
const recordHead = (core: GatewayCore, {caller}: CallerRequest, {id}: FleetEndpoint, status: number, headMs: number): void => {
	if (caller.model === undefined || status !== okStatus) {
		return;
	}

	core.headTimes.record(caller.model, caller.promptTokens, headMs);
	core.board.recordDelay(id, headMs - (core.headTimes.msPerToken(caller.model) * caller.promptTokens));
};

/** Whether the request is over after an attempt that did not answer it. */
const endOrRetry = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: Progress, reason: string): boolean => {
	const {route, deadlineAt} = request;
	const mayRepeat = !progress.mayHaveRun || isRepeatable(route);
	const hasTries = progress.sent < route.maxAttempts && progress.unsent < maxUnsent;
	if (mayRepeat && hasTries && core.clock.now() + minRemainingMs < deadlineAt) {
		return false;
	}

	giveUp(core, request, reply, progress, reason);
	return true;
};

/**
 * Refuses a request under which several endpoints have crashed: handed to another one it would end that too, with
 * all that runs there. True when it was refused.
 */
const refuseQuarantined = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: Progress): boolean => {
	const remainingMs = core.quarantine.remainingMs(request.fingerprint);
	if (remainingMs === undefined) {
		return false;
	}

	giveUp(core, request, reply, progress, `quarantined, since endpoints have crashed under requests with this content (fingerprint ${request.fingerprint})`, remainingMs);
	return true;
};

const giveUp = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: Progress, reason: string, retryAfterMs = defaultRetryAfterMs): void => {
	if (request.signal.aborted) {
		return;
	}

	core.log('request.given-up', {
		request: request.requestId, route: request.route.name, reason, sent: progress.sent, mayHaveRun: progress.mayHaveRun, revision: core.view.revision, ageMs: Math.round(core.clock.now() - request.arrivedAt),
	});
	if (reply.hasBegun) {
		reply.breakOff();
	} else if (progress.mayHaveRun) {
		reply.send({status: 502, code: 'outcome-unknown', message: `The endpoint gave no whole answer: ${reason}. The request may have run.`});
	} else {
		reply.send({
			status: 503, code: 'overloaded', message: `Not run: ${reason}.`, retryAfterSeconds: Math.ceil(retryAfterMs) / 1000,
		});
	}
};

const sendTo = async (core: GatewayCore, request: CallerRequest, endpoint: FleetEndpoint, progress: Progress): Promise<ExchangeOutcome> => {
	const {caller, route, callerDeadlineAt, deadlineAt} = request;
	const remainingMs = Math.max(1, Math.floor(Math.min(callerDeadlineAt, deadlineAt) - core.clock.now()));
	return exchange({
		agent: core.agent,
		address: endpoint.address,
		method: request.method,
		path: request.path,
		headers: createEndpointHeaders(core.dialect, request.rawHeaders, {
			remainingMs, endpointId: endpoint.id, priority: route.priority, resumeAfter: progress.position?.lastEventId ?? caller.resumeAfter,
			bodyLength: hasBody(request) ? request.body.length : undefined,
		}),
		body: request.body,
		connectMs,
		signal: request.signal,
	});
};

/** One line for a whole answer: when it began and ended, where it came from, and on which state the choice rested. */
const logAnswer = (core: GatewayCore, request: CallerRequest, progress: Progress, {endpoint, status, headAt}: {endpoint: string; status: number; headAt: number}): void => {
	core.log('request.answered', {
		request: request.requestId,
		route: request.route.name,
		model: request.caller.model,
		adapter: request.caller.adapter,
		endpoint,
		status,
		headMs: Math.round(headAt - request.arrivedAt),
		totalMs: Math.round(core.clock.now() - request.arrivedAt),
		sent: progress.sent,
		load: core.board.find(endpoint).load,
		revision: core.view.revision,
	});
};

/** Remembers that an endpoint is another one, or lacks a model which it was thought to hold. */
const recordMisdirection = (core: GatewayCore, {caller}: CallerRequest, endpoint: FleetEndpoint, head: AnswerHeaders): void => {
	if (!head.isMisdirected) {
		return;
	}

	if (head.endpointName !== undefined && head.endpointName !== parseLife(endpoint.id).name) {
		core.board.recordReplaced(endpoint.id);
		return;
	}

	core.board.recordLack(endpoint.id, formatModel(caller.model ?? '', caller.adapter), endpoint.revision);
	core.demand.recordMisdirected(endpoint.id);
};

/** Whether the caller announced a body, even an empty one. */
const hasBody = ({headers}: CallerRequest): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

type Answered = {endpoint: FleetEndpoint; outcome: Extract<ExchangeOutcome, {kind: ExchangeKind.Answered}>; read: () => void};

/** Takes an answer's head, and its body if it is one for the caller; true when the request is over. */
const takeAnswer = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: Progress, {endpoint, outcome, read}: Answered): Promise<boolean> => {
	const {res, cancel, isBroken} = outcome;
	const status = res.statusCode ?? 0;
	const head = core.dialect.readAnswer(status, res.headers);
	core.board.recordLoad(endpoint.id, head.load);
	if (head.isNotRun) {
		res.resume();
		recordMisdirection(core, request, endpoint, head);
		core.log('attempt.refused', {
			request: request.requestId, endpoint: endpoint.id, status, load: head.load,
		});
		return endOrRetry(core, request, reply, progress, `the endpoint refused it with ${status}`);
	}

	const isForeign = head.requestId !== undefined && head.requestId !== request.requestId;
	const isUnpromised = status === 503 || status === 429 || status === 408 || status === 421;
	if (isForeign || (isUnpromised && !isRepeatable(request.route))) {
		cancel();
		progress.mayHaveRun = true;
		core.board.recordFailure(endpoint.id);
		core.log('attempt.failed', {
			request: request.requestId, fingerprint: request.fingerprint, endpoint: endpoint.id, status, reason: isForeign ? `the answer belongs to ${head.requestId}` : 'a refusal without a promise',
		});
		return endOrRetry(core, request, reply, progress, `an answer with status ${status} that can't be passed on`);
	}

	if (status >= 500) {
		core.board.recordFailure(endpoint.id);
	} else {
		core.board.recordSuccess(endpoint.id);
	}

	core.board.recordByte(endpoint.id);
	progress.mayHaveRun = true;
	const mayRetryFailure = status >= 500 && !reply.hasBegun && isRepeatable(request.route) && progress.sent < request.route.maxAttempts;
	if (mayRetryFailure && core.clock.now() + minRemainingMs < request.deadlineAt) {
		res.resume();
		return false;
	}

	res.once('data', read);
	res.on('data', () => {
		core.board.recordByte(endpoint.id);
	});
	if (reply.hasBegun && status !== 200) {
		cancel();
		return endOrRetry(core, request, reply, progress, `the stream can't go on: status ${status}`);
	}

	if (!reply.hasBegun) {
		reply.begin(status, res.statusMessage ?? '', res.rawHeaders);
	}

	const headAt = core.clock.now();
	const isWhole = await relayBody(res, reply, progress.position, isBroken);
	if (isWhole) {
		if (status === okStatus) {
			core.quarantine.recordAnswered(request.fingerprint);
		}

		logAnswer(core, request, progress, {
			endpoint: endpoint.id, status, headAt,
		});
		reply.end();
		return true;
	}

	cancel();
	if (request.signal.aborted) {
		return true;
	}

	progress.position?.dropPartial();
	core.crashes.suspect(endpoint, request.fingerprint);
	core.board.recordFailure(endpoint.id);
	core.log('answer.broken', {
		request: request.requestId, fingerprint: request.fingerprint, endpoint: endpoint.id, status, lastEvent: progress.position?.lastEventId,
	});
	if (progress.position) {
		return endOrRetry(core, request, reply, progress, 'the answer broke off');
	}

	reply.breakOff();
	return true;
};
