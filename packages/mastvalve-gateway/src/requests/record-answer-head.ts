/**
 * What the head of an answer says of its endpoint, and where that is kept.
 */

import {parseIncarnation, type FleetEndpoint} from 'mastvalve-fleet';
import {LimitHeaderKind, RetryAfterKind} from 'mastvalve-limits';
import type {AnswerHeaders} from '../dialect.js';
import {formatModel} from '../routing/model-demand.js';
import type {EndpointRequest} from '../routing/endpoint-tracker.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import type {ClaimedEndpoint} from './claim-endpoint.js';

const unavailableStatus = 503;

/** One line when the word of an endpoint on its limit is another than that of its answer before. */
const logLimitChange = (core: GatewayCore, {requestId}: CallerRequest, endpoint: string, {limit}: AnswerHeaders): void => {
	if (core.tracker.recordAnnouncedLimit(endpoint, limit)) {
		core.log('endpoint.limit-told', {
			request: requestId, endpoint, word: limit.kind, perSecond: limit.kind === LimitHeaderKind.Rate ? limit.perSecond : undefined,
		});
	}
};

/** Whether another endpoint has answered than the one that was meant. */
const isDifferentEndpoint = (endpoint: FleetEndpoint, {endpointName}: AnswerHeaders): boolean =>
	endpointName !== undefined && endpointName !== parseIncarnation(endpoint.id).name;

/** Remembers that an endpoint is another one, or lacks a model which it was thought to hold. */
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

/** A 503 with a delay is a request of the whole endpoint; a 429 concerns the request that it answers, which doesn't go there again. */
const recordBackoff = (core: GatewayCore, {requestId}: CallerRequest, {id}: FleetEndpoint, status: number, {retryAfter}: AnswerHeaders): void => {
	if (status !== unavailableStatus || retryAfter.kind !== RetryAfterKind.Delay || retryAfter.delayMs === 0) {
		return;
	}

	core.tracker.recordBackoff(id, retryAfter.delayMs, core.random());
	core.observer.recordBackoff();
	core.log('endpoint.backoff', {request: requestId, endpoint: id, delayMs: retryAfter.delayMs});
};

/** Control is told, since not all entries meet the endpoint, and heartbeats may go on as before. */
const recordLeaving = (core: GatewayCore, {requestId}: CallerRequest, {id}: FleetEndpoint, {isLeaving}: AnswerHeaders): void => {
	if (isLeaving && core.tracker.recordLeaving(id)) {
		core.demand.recordLeaving(id);
		core.log('endpoint.leaving-told', {request: requestId, endpoint: id});
	}
};

/** A request that was answered: whom it went to, and its use of that endpoint. */
export type AnswerSource = ClaimedEndpoint & {use: EndpointRequest; status: number};

/** Learns from a head. One that belongs to another request, or comes from another endpoint, says nothing of this one. */
export const recordAnswerHead = (core: GatewayCore, request: CallerRequest, {endpoint, grantedAt, use, status}: AnswerSource, head: AnswerHeaders): void => {
	core.tracker.recordLoad(endpoint.id, head.load);
	const isForOtherRequest = head.requestId !== undefined && head.requestId !== request.requestId;
	if (!isForOtherRequest && !isDifferentEndpoint(endpoint, head)) {
		logLimitChange(core, request, endpoint.id, head);
		core.limiter.hear(endpoint, head.limit, grantedAt);
		recordBackoff(core, request, endpoint, status, head);
		recordLeaving(core, request, endpoint, head);
	}

	use.recordResponse(!head.isNotRun && status !== unavailableStatus);
};
