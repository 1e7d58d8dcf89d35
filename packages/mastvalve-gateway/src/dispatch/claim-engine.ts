/**
 * Asks the leader to choose the engine of a request, for services whose engines the leader chooses.
 */

import {
	DispatchDecisionKind, type DecidedCopy, type DispatchClaim, type DispatchDecision,
} from 'mastvalve-dispatch';
import {
	continuesStreams, EndpointPhase, takesRequests, type FleetEndpoint,
} from 'mastvalve-fleet';
import {isUnavailable} from '../routing/choose-endpoint.js';
import {formatModel} from '../routing/model-demand.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from '../requests/caller-request.js';
import {rankRequest} from '../requests/rank-request.js';
import type {RequestProgress} from '../requests/request-progress.js';
import {clampRetryAfterMs, computeWaitDeadline, type NoEndpoint} from '../requests/wait-budget.js';
import {waitForDecision} from './wait-for-decision.js';

/** Retry-After of requests that this entry refuses while it is draining, ms: other entries still serve. */
const stoppedRetryAfterMs = 100;

/** Whether the leader chooses the engine of a request. */
export const isDispatched = ({dispatch, view}: GatewayCore, {service, caller}: CallerRequest): boolean =>
	caller.model !== undefined && dispatch.isActive(service) && view.configuration?.services.some(({name, engine}) => name === service && engine !== undefined) === true;

/** Whether an endpoint may serve a request, or the rest of a stream that is bound to a release. */
const mayServe = (endpoint: FleetEndpoint, release: string | undefined): boolean => release === undefined || continuesStreams(endpoint, release);

/** Lists the endpoints that this entry rules out for a request. */
const listExcluded = ({view, tracker, clock}: GatewayCore, {service, caller}: CallerRequest, {tried, release}: RequestProgress): string[] => {
	const now = clock.now();
	const name = formatModel(caller.model ?? '', caller.adapter);
	return view.listEndpoints(service)
		.filter(endpoint => !mayServe(endpoint, release) || tried.has(endpoint.id) || !tracker.canSend(endpoint.id) || isUnavailable(endpoint, tracker.getOrCreate(endpoint.id), name, now))
		.map(({id}) => id);
};

/** Creates the claim of the next attempt. */
export const createClaim = (core: GatewayCore, request: CallerRequest, progress: RequestProgress): DispatchClaim => {
	const {caller, route, arrivedAt, deadlineAt, admission} = request;
	const now = core.clock.now();
	return {
		id: core.dispatch.createClaimId(),
		service: request.service,
		model: caller.model ?? '',
		...(caller.adapter === undefined ? {} : {adapter: caller.adapter}),
		...(admission.workspace ? {workspace: admission.workspace.name} : {}),
		promptTokens: caller.promptTokens,
		promptParts: caller.promptParts,
		outputTokens: caller.expectedOutputTokens,
		urgency: rankRequest(core, request),
		objectiveMs: Math.round(arrivedAt + route.objectiveMs - now),
		targetMs: route.objectiveMs,
		remainingMs: Math.round(computeWaitDeadline(request) - now),
		endMs: Math.round(deadlineAt - now),
		...(route.maxPauseMs === undefined ? {} : {pauseMs: route.maxPauseMs}),
		excluded: listExcluded(core, request, progress),
	};
};

/** Returns the assigned endpoint if this entry may still use it. One that the entry did not know when it claimed may be of another release. */
const findAssigned = ({view, tracker, limiter}: GatewayCore, {service}: CallerRequest, {release}: RequestProgress, decision: DispatchDecision): FleetEndpoint | undefined => {
	const endpoint = decision.kind === DispatchDecisionKind.Assigned ? view.findEndpoint(decision.endpoint) : undefined;
	return endpoint?.service === service && mayServe(endpoint, release) && takesRequests(endpoint) && tracker.canSend(endpoint.id) && limiter.findLimit(endpoint) === undefined ? endpoint : undefined;
};

/** Returns the address of the engine that the assigned one copies from; undefined if there is none, or this entry doesn't know it as ready. */
const findCopySource = ({view}: GatewayCore, {service}: CallerRequest, {source}: DecidedCopy): string | undefined => {
	const endpoint = view.findEndpoint(source);
	return endpoint?.service === service && endpoint.phase === EndpointPhase.Ready ? endpoint.address : undefined;
};

/** An engine that the leader has chosen, with the claim. */
export type AssignedEngine = {
	endpoint: FleetEndpoint;
	claim: DispatchClaim;
	/** Address of the engine from which it copies kept parts of the prompt. */
	copyFrom?: string;
};

/** Adds the source of a copy that the leader has decided. */
const addCopySource = (core: GatewayCore, request: CallerRequest, assigned: AssignedEngine, decision: DispatchDecision): AssignedEngine => {
	if (decision.kind !== DispatchDecisionKind.Assigned || !decision.copy) {
		return assigned;
	}

	const copyFrom = findCopySource(core, request, decision.copy);
	core.observer.recordCopy(copyFrom !== undefined, decision.copy.tokens);
	return {...assigned, copyFrom};
};

/** Claims an engine from the leader; undefined when this entry has to choose, a refusal when no engine can serve the request in time. */
export const claimEngine = async (core: GatewayCore, request: CallerRequest, progress: RequestProgress): Promise<AssignedEngine | NoEndpoint | undefined> => {
	const claim = createClaim(core, request, progress);
	const claimedAt = core.clock.now();
	const {decision, wasQueued, stopReason} = await waitForDecision(core, request, claim);
	const claimedMs = core.clock.now() - claimedAt;
	if (stopReason !== undefined) {
		core.observer.recordClaim('stopped', claimedMs);
		return {reason: stopReason, retryAfterMs: clampRetryAfterMs(core, request, stoppedRetryAfterMs)};
	}

	if (!decision) {
		core.observer.recordClaim(request.signal.aborted ? 'left' : 'no-leader', claimedMs);
		return undefined;
	}

	const endpoint = findAssigned(core, request, progress, decision);
	core.observer.recordClaim(wasQueued ? `queued-${decision.kind}` : decision.kind, claimedMs);
	core.log('request.dispatched', {
		request: request.requestId, decision, isUsed: endpoint !== undefined, wasQueued, claimMs: Math.round(claimedMs), ageMs: Math.round(core.clock.now() - request.arrivedAt),
	});
	if (decision.kind === DispatchDecisionKind.Refused) {
		return {reason: 'no engine can serve it in time', retryAfterMs: clampRetryAfterMs(core, request, decision.retryAfterMs)};
	}

	if (!endpoint && decision.kind === DispatchDecisionKind.Assigned) {
		core.dispatch.release(claim.id);
	}

	return endpoint && addCopySource(core, request, {endpoint, claim}, decision);
};
