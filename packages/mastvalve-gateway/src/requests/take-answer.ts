/**
 * Takes an endpoint's answer: passes it on if it is one for the caller, and learns from it.
 */

import {RetryAfterKind} from 'mastvalve-limits';
import type {EndpointUse} from '../routing/endpoint-board.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {ExchangeKind, ExchangeOutcome} from '../upstream/exchange.js';
import {isRepeatable, type CallerRequest} from './caller-request.js';
import type {ClaimedEndpoint} from './claim-endpoint.js';
import {endOrRetry, hasTimeLeft} from './give-up.js';
import {learnFromHead, recordMisdirection} from './learn-from-head.js';
import type {Progress} from './progress.js';
import {relayBody} from './relay.js';
import type {Reply} from './reply.js';

const okStatus = 200;
/** From here on an endpoint has failed. */
const failureStatus = 500;
/** Statuses by which an endpoint promises that it did not run a request, if it says so. */
const refusals = new Set([408, 421, 429, 503]);

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

/** The head of an answer, and the use of the endpoint that has sent it. */
export type Answered = ClaimedEndpoint & {outcome: Extract<ExchangeOutcome, {kind: ExchangeKind.Answered}>; use: EndpointUse};

/** Takes an answer's head, and its body if it is one for the caller; true when the request is over. */
export const takeAnswer = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: Progress, {endpoint, grantedAt, outcome, use}: Answered): Promise<boolean> => {
	const {res, cancel, isBroken} = outcome;
	const status = res.statusCode ?? 0;
	const head = core.dialect.readAnswer(status, res.headers, res.rawHeaders);
	const isForeign = head.requestId !== undefined && head.requestId !== request.requestId;
	learnFromHead(core, request, {
		endpoint, grantedAt, use, status,
	}, head);

	if (head.isNotRun) {
		res.resume();
		recordMisdirection(core, request, endpoint, head);
		core.log('attempt.refused', {
			request: request.requestId, endpoint: endpoint.id, status, load: head.load, retryAfterMs: head.retryAfter.kind === RetryAfterKind.Delay ? head.retryAfter.delayMs : undefined, isLeaving: head.isLeaving,
		});
		return endOrRetry(core, request, reply, progress, `the endpoint refused it with ${status}`);
	}

	const isUnpromised = refusals.has(status);
	if (isForeign || (isUnpromised && !isRepeatable(request.route))) {
		cancel();
		progress.mayHaveRun = true;
		core.board.recordFailure(endpoint.id);
		core.log('attempt.failed', {
			request: request.requestId, fingerprint: request.fingerprint, endpoint: endpoint.id, status, reason: isForeign ? `the answer belongs to ${head.requestId}` : 'a refusal without a promise',
		});
		return endOrRetry(core, request, reply, progress, `an answer with status ${status} that can't be passed on`);
	}

	if (status >= failureStatus) {
		core.board.recordFailure(endpoint.id);
	} else {
		core.board.recordSuccess(endpoint.id);
	}

	core.board.recordByte(endpoint.id);
	progress.mayHaveRun = true;
	const mayRetryFailure = status >= failureStatus && !reply.hasBegun && isRepeatable(request.route) && progress.sent < request.route.maxAttempts;
	if (mayRetryFailure && hasTimeLeft(core, request)) {
		res.resume();
		return false;
	}

	res.once('data', use.read);
	res.on('data', () => {
		core.board.recordByte(endpoint.id);
	});
	if (reply.hasBegun && status !== okStatus) {
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
