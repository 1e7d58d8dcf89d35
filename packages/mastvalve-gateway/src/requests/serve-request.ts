/**
 * Serves one request: selects an endpoint, sends the request and relays the answer. Retries only if a second run is safe.
 */

import {RunEventKind} from 'mastvalve-dispatch';
import type {GatewayCore} from '../server/gateway-core.js';
import {ExchangeKind} from '../upstream/exchange.js';
import {bindReturningStream} from './bind-stream.js';
import type {CallerRequest} from './caller-request.js';
import {failUnlessRetryable, rejectQuarantined} from './fail-request.js';
import {prepareAttempt} from './prepare-attempt.js';
import {createRequestProgress, type RequestProgress} from './request-progress.js';
import type {Reply} from './reply.js';
import {sendAttempt} from './send-attempt.js';
import {handleAnswer} from './handle-answer.js';
import {hasTimeForSwap} from './wait-for-endpoint.js';

/** Serves a request; resolves when the reply has ended, to whether the request may have run. */
export const serveRequest = async (core: GatewayCore, request: CallerRequest, reply: Reply): Promise<boolean> => {
	const {caller} = request;
	const progress = createRequestProgress(request);
	if (rejectQuarantined(core, request, reply, progress)) {
		return false;
	}

	if (!await bindReturningStream(core, request, reply, progress)) {
		return false;
	}

	core.retryBudget.recordRequest(request.service);
	if (caller.model !== undefined) {
		core.demand.recordRequest(caller.model, caller.adapter, hasTimeForSwap(core, request, caller.model));
	}

	let isOver = false;
	while (!isOver && !reply.isClosed && !request.signal.aborted) {
		// Attempts are sequential.
		// eslint-disable-next-line no-await-in-loop
		isOver = await runAttempt(core, request, reply, progress);
	}

	if (!reply.hasEnded && !reply.isAborted) {
		logAbandoned(core, request, progress);
	}

	return progress.mayHaveRun;
};

/** Logs a request whose connection was closed before it was answered, with what was sent to endpoints by then. */
const logAbandoned = (core: GatewayCore, {requestId, route, arrivedAt}: CallerRequest, {sentCount, isSending, mayHaveRun}: RequestProgress): void => {
	core.log('request.abandoned', {
		request: requestId, route: route.name, sent: sentCount, isSending, mayHaveRun, ageMs: Math.round(core.clock.now() - arrivedAt),
	});
};

/** Runs one attempt; true when the request has ended. */
const runAttempt = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress): Promise<boolean> => {
	const attempt = await prepareAttempt(core, request, reply, progress);
	if (!attempt) {
		return true;
	}

	const {endpoint, grantedAt, use, run} = attempt;
	progress.tried.add(endpoint.id);
	const sentAt = core.clock.now();
	const knownCrashes = core.quarantine.takeMark();
	progress.isSending = true;
	const outcome = await sendAttempt(core, request, attempt, progress);
	progress.isSending = request.signal.aborted;
	core.observer.recordAttempt(outcome.kind);
	if (outcome.kind === ExchangeKind.Answered) {
		progress.sentCount += 1;
		const isOver = await handleAnswer(core, request, reply, progress, {
			endpoint, grantedAt, outcome, headMs: core.clock.now() - sentAt, use, run, knownCrashes,
		});
		use.end();
		run?.end(RunEventKind.Cancelled);
		return isOver;
	}

	use.end();
	run?.end(request.signal.aborted ? RunEventKind.Cancelled : RunEventKind.Failed);
	progress.sentCount += outcome.kind === ExchangeKind.Lost ? 1 : 0;
	progress.unsentCount += outcome.kind === ExchangeKind.NotSent ? 1 : 0;
	progress.mayHaveRun ||= outcome.kind === ExchangeKind.Lost;
	if (request.signal.aborted) {
		return true;
	}

	if (outcome.kind === ExchangeKind.Lost) {
		core.crashDetector.recordBrokenConnection(endpoint, {...request, isBeginning: false});
	}

	core.tracker.recordFailure(endpoint.id);
	if (outcome.isConnectionRefused) {
		core.tracker.recordNotListening(endpoint.id);
		core.demand.recordNotListening(endpoint.id);
		core.crashDetector.recordRefusedConnection(endpoint);
	}

	core.log('attempt.failed', {
		request: request.requestId, fingerprint: request.fingerprint, parts: request.partFingerprints, endpoint: endpoint.id, outcome: outcome.kind, reason: outcome.reason,
	});
	return failUnlessRetryable(core, request, reply, progress, outcome.reason);
};
