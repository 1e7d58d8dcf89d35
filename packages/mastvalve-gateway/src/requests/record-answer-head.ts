/**
 * Records what the head of an answer reports about its endpoint.
 */

import {parseIncarnation, type FleetEndpoint} from 'mastvalve-fleet';
import {LimitHeaderKind, RetryAfterKind} from 'mastvalve-limits';
import type {AnswerHeaders} from '../dialect.js';
import type {DispatchRun} from '../dispatch/dispatch-run.js';
import {formatModel} from '../routing/model-demand.js';
import type {EndpointRequest} from '../routing/endpoint-tracker.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import type {ClaimedEndpoint} from './claim-endpoint.js';

const okStatus = 200;
const unavailableStatus = 503;

/** Logs a reported limit that differs from the one in the endpoint's previous answer. */
const logLimitChange = (core: GatewayCore, {requestId}: CallerRequest, endpoint: string, {limit}: AnswerHeaders): void => {
	if (core.tracker.recordAnnouncedLimit(endpoint, limit)) {
		core.log('endpoint.limit-told', {
			request: requestId, endpoint, word: limit.kind, perSecond: limit.kind === LimitHeaderKind.Rate ? limit.perSecond : undefined,
		});
	}
};

/** Whether the answer comes from an endpoint other than the addressed one. */
const isDifferentEndpoint = (endpoint: FleetEndpoint, {endpointName}: AnswerHeaders): boolean =>
	endpointName !== undefined && endpointName !== parseIncarnation(endpoint.id).name;

/** Records that the address belongs to another endpoint, or that the endpoint lacks a model that it was expected to hold. */
export const recordMisdirection = (core: GatewayCore, {caller}: CallerRequest, endpoint: FleetEndpoint, head: AnswerHeaders): void => {
	if (!head.isMisdirected) {
		return;
	}

	if (isDifferentEndpoint(endpoint, head)) {
		core.tracker.recordReplaced(endpoint.id);
		return;
	}

	core.tracker.recordMissingModel(endpoint.id, formatModel(caller.model ?? '', caller.adapter), endpoint.revision);
	core.demand.recordMisdirected(endpoint.id);
};

/** Records a backoff. A 503 with a delay applies to the whole endpoint; a 429 applies only to its own request, which isn't sent there again. */
const recordBackoff = (core: GatewayCore, {requestId}: CallerRequest, {id}: FleetEndpoint, status: number, {retryAfter}: AnswerHeaders): void => {
	if (status !== unavailableStatus || retryAfter.kind !== RetryAfterKind.Delay || retryAfter.delayMs === 0) {
		return;
	}

	core.tracker.recordBackoff(id, retryAfter.delayMs, core.random());
	core.observer.recordBackoff();
	core.log('endpoint.backoff', {request: requestId, endpoint: id, delayMs: retryAfter.delayMs});
};

/** Reports a leaving endpoint to control as well: other entries may not use the endpoint, and its heartbeats may continue unchanged. */
const recordLeaving = (core: GatewayCore, {requestId}: CallerRequest, {id}: FleetEndpoint, {isLeaving}: AnswerHeaders): void => {
	if (isLeaving && core.tracker.recordLeaving(id)) {
		core.demand.recordLeaving(id);
		core.log('endpoint.leaving-told', {request: requestId, endpoint: id});
	}
};

/** Records the load, and how fast the endpoint says that it works. */
const recordLoad = (core: GatewayCore, {service}: CallerRequest, {endpoint, run, head: {load}}: RecordedAnswer): void => {
	core.tracker.recordLoad(endpoint.id, load);
	if (load?.relativeDuration === undefined) {
		return;
	}

	core.dispatch.recordShared(service);
	if (run) {
		run.duration = load.relativeDuration;
	}
};

/** Records the time until an engine began to answer. */
const recordHeadTime = (core: GatewayCore, {caller}: CallerRequest, {endpoint, status, headMs}: RecordedAnswer): void => {
	if (caller.model === undefined || status !== okStatus) {
		return;
	}

	core.firstByteTimes.record(caller.model, caller.promptTokens, headMs);
	core.tracker.recordStartDelay(endpoint.id, headMs - (core.firstByteTimes.getPrefillMsPerToken(caller.model) * caller.promptTokens));
};

/** An answer to the request: its decoded head, the endpoint that it was received from, and the time from sending the request to the head, ms. */
export type RecordedAnswer = ClaimedEndpoint & {use: EndpointRequest; run: DispatchRun | undefined; status: number; headMs: number; head: AnswerHeaders};

/** Records the head of an answer to the request. What it says of its sender is ignored if that is another endpoint than the addressed one. */
export const recordAnswerHead = (core: GatewayCore, request: CallerRequest, answer: RecordedAnswer): void => {
	const {endpoint, grantedAt, use, status, head} = answer;
	recordHeadTime(core, request, answer);
	if (!isDifferentEndpoint(endpoint, head)) {
		recordLoad(core, request, answer);
		logLimitChange(core, request, endpoint.id, head);
		core.limiter.recordReportedLimit(endpoint, head.limit, grantedAt);
		recordBackoff(core, request, endpoint, status, head);
		recordLeaving(core, request, endpoint, head);
	}

	use.recordResponse(!head.isNotRun && status !== unavailableStatus);
};
