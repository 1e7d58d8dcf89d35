/**
 * Handles an endpoint's answer: records its outcome, and relays it to the caller or retries.
 */

import {RunEventKind} from 'mastvalve-dispatch';
import {RouteKind, type FleetEndpoint} from 'mastvalve-fleet';
import {RetryAfterKind} from 'mastvalve-limits';
import type {AnswerHeaders} from '../dialect.js';
import type {DispatchRun} from '../dispatch/dispatch-run.js';
import type {AnswerReader} from '../memory/answer-reader.js';
import type {CrashMark} from '../quarantine/answered-content.js';
import type {EndpointRequest} from '../routing/endpoint-tracker.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {findFraming, type AnswerEnd} from '../streams/answer-end.js';
import {findMaxBytes, isSuspicious, isUnbounded} from '../streams/body-bound.js';
import {findStreamContent, StreamContent} from '../streams/stream-content.js';
import {discardBody, maxDiscardedBytes} from '../upstream/discard-body.js';
import type {ExchangeKind, ExchangeOutcome} from '../upstream/exchange.js';
import {AnswerPace} from '../upstream/relay-budget.js';
import {AnswerIdentity, identifyAnswer} from './answer-identity.js';
import {bindBegunStream} from './bind-stream.js';
import {BeginningWatch} from './beginning-watch.js';
import {isRepeatable, type CallerRequest} from './caller-request.js';
import type {ClaimedEndpoint} from './claim-endpoint.js';
import {failUnlessRetryable, hasTimeForAttempt} from './fail-request.js';
import {recordAnswerHead, recordMisdirection} from './record-answer-head.js';
import type {RequestProgress} from './request-progress.js';
import {relayBody} from './relay-body.js';
import {removeLength, type Reply} from './reply.js';
import {verifyEnd} from './verify-end.js';
import {watchReader} from './watch-reader.js';

const okStatus = 200;
const minServerErrorStatus = 500;
/** Statuses of refusals. Only the header of the dialect states that the request was not run. */
const refusalStatuses = new Set([408, 421, 429, 503]);

/** Fields of log lines that tell how a body ended. */
const describeEnd = ({framing, end, bytes, events, isInsideEvent, hasEndpointDied}: AnswerEnd): Record<string, unknown> => ({
	framing, end, bytes, events, hasEndpointDied, ...(isInsideEvent ? {isInsideEvent} : {}),
});

/** A complete answer: its endpoint and when its head arrived, monotonic ms. */
type CompleteAnswer = {endpoint: string; status: number; headAt: number; end: AnswerEnd};

/** Logs a complete answer: its endpoint and times, how it ended, and the revision that the endpoint was selected by. */
const logAnswer = (core: GatewayCore, request: CallerRequest, progress: RequestProgress, {
	endpoint, status, headAt, end,
}: CompleteAnswer): void => {
	core.log('request.answered', {
		request: request.requestId,
		route: request.route.name,
		model: request.caller.model,
		adapter: request.caller.adapter,
		endpoint,
		status,
		headMs: Math.round(headAt - request.arrivedAt),
		totalMs: Math.round(core.clock.now() - request.arrivedAt),
		sent: progress.sentCount,
		load: core.tracker.getOrCreate(endpoint).load,
		revision: core.view.revision,
		...describeEnd(end),
	});
};

/** An answer that broke off after its head. */
type BrokenAnswer = {endpoint: FleetEndpoint; status: number; reader: AnswerReader; run: DispatchRun | undefined; end: AnswerEnd; beginning: BeginningWatch};

/** Records that an answer broke off after its head, and ends its request unless it can be resumed; true when it has ended. */
const failBrokenAnswer = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, {
	endpoint, status, reader, run, end, beginning,
}: BrokenAnswer): boolean => {
	core.crashDetector.recordBrokenConnection(endpoint, {
		fingerprint: request.fingerprint, partFingerprints: beginning.isOver ? [] : request.partFingerprints, isBeginning: end.events === 0,
	});
	core.log('answer.broken', {
		request: request.requestId, fingerprint: request.fingerprint, parts: request.partFingerprints, endpoint: endpoint.id, status, lastEvent: progress.streamPosition?.lastEventId, isSlowReader: reader.hasBeenSlow, ...describeEnd(end),
	});
	// An endpoint cuts off an answer that stays unread: that is no failure of it, and another endpoint's would stay unread too.
	if (reader.hasBeenSlow) {
		run?.end(RunEventKind.Cancelled);
		reply.abort();
		return true;
	}

	run?.end(RunEventKind.Failed);
	core.tracker.recordFailure(endpoint.id);
	if (progress.streamPosition && !progress.streamPosition.isLost) {
		return failUnlessRetryable(core, request, reply, progress, 'the answer broke off');
	}

	reply.abort();
	return true;
};

/** The head of an answer, and the endpoint that sent it. */
export type ReceivedAnswer = ClaimedEndpoint & {
	outcome: Extract<ExchangeOutcome, {kind: ExchangeKind.Answered}>;
	/** Time from sending the request to the head, ms. */
	headMs: number;
	use: EndpointRequest;
	run: DispatchRun | undefined;
	/** Crashes of endpoints that were known when the request was sent. */
	knownCrashes: CrashMark;
};

/** An answer whose head has been decoded. */
type DecodedAnswer = ReceivedAnswer & {status: number; head: AnswerHeaders};

/** Reads an answer that isn't passed on to its end; one with a large body counts as a failure of its endpoint, and its connection is closed. */
const discardAnswer = ({tracker, log}: GatewayCore, {requestId}: CallerRequest, {endpoint, outcome: {res, cancel}}: DecodedAnswer): void => {
	discardBody(res, () => {
		cancel();
		tracker.recordFailure(endpoint.id);
		log('answer.endless', {
			request: requestId, endpoint: endpoint.id, status: res.statusCode, reason: `more than ${maxDiscardedBytes} bytes of an answer that isn't passed on`,
		});
	});
};

/** Handles an answer that says that the request was not run; true when the request has ended. */
const handleRefusal = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, answer: DecodedAnswer): boolean => {
	const {
		endpoint, run, status, head,
	} = answer;
	discardAnswer(core, request, answer);
	run?.end(head.isMisdirected ? RunEventKind.Cancelled : RunEventKind.Failed);
	recordMisdirection(core, request, endpoint, head);
	core.log('attempt.refused', {
		request: request.requestId, endpoint: endpoint.id, status, load: head.load, retryAfterMs: head.retryAfter.kind === RetryAfterKind.Delay ? head.retryAfter.delayMs : undefined, isLeaving: head.isLeaving,
	});
	return failUnlessRetryable(core, request, reply, progress, `the endpoint refused it with ${status}`);
};

/** Returns why an answer isn't known to belong to the request; undefined if it does. */
const findMismatch = ({requestId}: CallerRequest, head: AnswerHeaders): string | undefined => {
	const identity = identifyAnswer(requestId, head);
	if (identity === AnswerIdentity.Matching) {
		return undefined;
	}

	return identity === AnswerIdentity.Other ? `the answer belongs to ${head.requestId}` : 'the answer names no request';
};

/** Returns why an answer to the request can't be passed on; undefined if it can. */
const findDefect = ({route}: CallerRequest, {status}: DecodedAnswer): string | undefined =>
	(refusalStatuses.has(status) && !isRepeatable(route) ? 'refusal without the statement that the request was not run' : undefined);

/** Handles an answer that can't be passed on; true when the request has ended. */
const handleDefect = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, {endpoint, outcome, status, head, reason}: DecodedAnswer & {reason: string}): boolean => {
	outcome.cancel();
	progress.mayHaveRun = true;
	core.tracker.recordFailure(endpoint.id);
	core.log('attempt.failed', {
		request: request.requestId, fingerprint: request.fingerprint, parts: request.partFingerprints, endpoint: endpoint.id, status, reason, statesNotRun: head.isNotRun,
	});
	return failUnlessRetryable(core, request, reply, progress, `an answer with status ${status} that can't be passed on`);
};

/** Records whether the endpoint has served the request. */
const recordStatus = ({tracker}: GatewayCore, {endpoint, run, status}: DecodedAnswer): void => {
	if (status >= minServerErrorStatus) {
		run?.end(RunEventKind.Failed);
		tracker.recordFailure(endpoint.id);
	} else {
		tracker.recordSuccess(endpoint.id);
	}

	tracker.recordByte(endpoint.id);
};

/** Records when bytes of the body arrive. */
const watchBody = ({tracker}: GatewayCore, {
	endpoint, outcome, use, run,
}: DecodedAnswer): void => {
	outcome.res.once('data', () => {
		use.recordFirstByte();
		run?.recordFirstByte();
	});
	outcome.res.on('data', () => {
		tracker.recordByte(endpoint.id);
	});
};

/** Logs a body that looks like one without end when its caller's time or leaving ends it, and counts it as a failure of its endpoint. */
const recordEndless = ({tracker, log}: GatewayCore, {requestId}: CallerRequest, endpoint: string, end: AnswerEnd): void => {
	tracker.recordFailure(endpoint);
	log('answer.endless', {request: requestId, endpoint, ...describeEnd(end)});
};

/** Relays an answer to the caller; true when the request has ended. */
const relayAnswer = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, {
	endpoint, outcome: {res, cancel, isBroken, hasSurplus}, run, status, knownCrashes,
}: DecodedAnswer): Promise<boolean> => {
	const content = findStreamContent(res, {method: request.method, isStreamRoute: request.route.kind === RouteKind.Stream});
	if (!reply.hasBegun) {
		reply.begin(status, res.statusMessage ?? '', content === StreamContent.None ? res.rawHeaders : removeLength(res.rawHeaders));
	}

	const headAt = core.clock.now();
	const reader = watchReader(core, request, progress, {endpointId: endpoint.id, res, reply});
	const beginning = new BeginningWatch(() => core.clock.now(), () => {
		core.quarantine.recordBegun(request, knownCrashes);
	});
	const framing = findFraming(res, request.method);
	const maxBytes = findMaxBytes(framing, request.caller.maxOutputTokens);
	const pace = isUnbounded(framing, res) ? new AnswerPace(core.agent.relayBudget, () => core.clock.now()) : undefined;
	const end = await verifyEnd(core, endpoint, await relayBody(res, reply, {
		content, framing, position: progress.streamPosition, isBroken, reader, pace, maxBytes, onEvents(events) {
			if (!beginning.hasEvents) {
				bindBegunStream(core, request, progress, endpoint);
			}

			beginning.recordEvents(events);
		},
	}));
	core.observer.recordAnswerEnd(end);
	if (!end.isComplete) {
		cancel();
		reader.resume();
		if (request.signal.aborted && isSuspicious(pace?.sharedBytes ?? 0) && !reader.hasBeenSlow) {
			recordEndless(core, request, endpoint.id, end);
		}

		return request.signal.aborted || failBrokenAnswer(core, request, reply, progress, {
			endpoint, status, reader, run, end, beginning,
		});
	}

	if (status === okStatus) {
		core.quarantine.recordAnswered(request, knownCrashes, beginning.isOver);
		run?.end(RunEventKind.Completed);
	}

	logAnswer(core, request, progress, {
		endpoint: endpoint.id, status, headAt, end,
	});
	if (hasSurplus()) {
		core.tracker.recordFailure(endpoint.id);
		core.log('answer.surplus', {request: request.requestId, endpoint: endpoint.id, reason: 'bytes followed the whole answer; the connection was closed'});
	}

	reply.end();
	return true;
};

/** Handles an answer and relays its body if it is for the caller; true when the request has ended. */
export const handleAnswer = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, received: ReceivedAnswer): Promise<boolean> => {
	const {outcome: {res, cancel}} = received;
	const status = res.statusCode ?? 0;
	const head = core.dialect.parseAnswerHeaders(status, res.headers, res.rawHeaders);
	const answer: DecodedAnswer = {...received, status, head};
	// An answer to another request says nothing of this one, which may be running: neither its status nor that it was not run is believed.
	const mismatch = findMismatch(request, head);
	if (mismatch !== undefined) {
		return handleDefect(core, request, reply, progress, {...answer, reason: mismatch});
	}

	recordAnswerHead(core, request, answer);
	if (head.isNotRun) {
		return handleRefusal(core, request, reply, progress, answer);
	}

	const defect = findDefect(request, answer);
	if (defect !== undefined) {
		return handleDefect(core, request, reply, progress, {...answer, reason: defect});
	}

	progress.mayHaveRun = true;
	recordStatus(core, answer);
	const mayRetryFailure = status >= minServerErrorStatus && !reply.hasBegun && isRepeatable(request.route) && progress.sentCount < request.route.maxAttempts;
	if (mayRetryFailure && hasTimeForAttempt(core, request)) {
		discardAnswer(core, request, answer);
		return false;
	}

	watchBody(core, answer);
	if (reply.hasBegun && status !== okStatus) {
		cancel();
		return failUnlessRetryable(core, request, reply, progress, `the stream can't go on: status ${status}`);
	}

	return relayAnswer(core, request, reply, progress, answer);
};
