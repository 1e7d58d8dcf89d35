/**
 * Serves one request: finds an endpoint, hands the request over, passes the answer on; tries again only where that can
 * do no harm.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import {isGranted} from '../access/access-checker.js';
import {ExchangeKind} from '../upstream/exchange.js';
import type {CallerRequest} from './caller-request.js';
import {
	endOrRetry, giveUp, giveUpKey, refuseQuarantined,
} from './give-up.js';
import {createProgress, type Progress} from './progress.js';
import type {Reply} from './reply.js';
import {sendAttempt} from './send-attempt.js';
import {takeAnswer} from './take-answer.js';
import {hasTimeForSwap, waitForEndpoint} from './wait-for-endpoint.js';

const okStatus = 200;

/** Serves a request; the reply is over when this resolves. The result says whether the request may have run. */
export const serveRequest = async (core: GatewayCore, request: CallerRequest, reply: Reply): Promise<boolean> => {
	const {caller} = request;
	const progress = createProgress(request);
	if (refuseQuarantined(core, request, reply, progress)) {
		return false;
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

	return progress.mayHaveRun;
};

/** One attempt; true when the request is over. */
const tryOnce = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: Progress): Promise<boolean> => {
	const endpoint = await waitForEndpoint(core, request, progress);
	// It may have come under quarantine while it waited, or by the try before this one.
	if (refuseQuarantined(core, request, reply, progress)) {
		return true;
	}

	if ('reason' in endpoint) {
		giveUp(core, request, reply, progress, endpoint);
		return true;
	}

	if (progress.sent > 0 && !core.allowance.takeRetry(request.service)) {
		giveUp(core, request, reply, progress, {reason: 'no retries are left'});
		return true;
	}

	if (request.signal.aborted) {
		return true;
	}

	// Seconds may have gone by since it arrived. A new connection takes up to 0.4 s from here, which the reserve of the evidence covers.
	const access = core.access.judge(request.admission.key, request.route);
	if (!isGranted(access)) {
		giveUpKey(core, request, reply, progress, access.kind);
		return true;
	}

	progress.tried.add(endpoint.id);
	const use = core.board.begin(endpoint.id, request.caller.promptTokens);
	const sentAt = core.clock.now();
	const outcome = await sendAttempt(core, request, {endpoint, workspace: access.workspace}, progress);
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
