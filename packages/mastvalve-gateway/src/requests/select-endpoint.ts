/**
 * Selects an endpoint for a request from the current state of the entry.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import {
	chooseEndpoint, hasUnlimitedEndpoint, listExpectedCapacity, listLimitedEndpoints, type EndpointChoiceInput, type ExpectedCapacity,
} from '../routing/choose-endpoint.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';

/** Earlier attempts of a request. */
export type PriorAttempts = {
	/** Ids of the endpoints that it was sent to. */
	tried: ReadonlySet<string>;
	/** When a permit may be claimed again at a limited endpoint that had none, by endpoint id; monotonic ms. */
	permitRetryAt: ReadonlyMap<string, number>;
	/** Release that began the stream; only its endpoints may go on. Undefined for a stream without events, and for other requests. */
	release: string | undefined;
};

const readChoiceInput = (core: GatewayCore, request: CallerRequest, {tried, permitRetryAt, release}: PriorAttempts): EndpointChoiceInput => ({
	endpoints: core.view.listEndpoints(request.service, release),
	model: request.caller.model,
	adapter: request.caller.adapter,
	failureDomain: core.failureDomain,
	attemptedIds: tried,
	permitRetryAt,
	now: core.clock.now(),
	getObservations: id => core.tracker.getOrCreate(id),
	isLimited: endpoint => core.limiter.findLimit(endpoint) !== undefined,
	limitedProbeMs: core.limiter.probeIntervalMs,
	random: core.random,
	firstByteMs: core.firstByteTimes.getFirstByteMs(request.caller.model ?? ''),
	prefillMsPerToken: core.firstByteTimes.getPrefillMsPerToken(request.caller.model ?? ''),
});

/** Selects the endpoint to send to now; undefined when there is none. */
export const selectEndpoint = (core: GatewayCore, request: CallerRequest, attempts: PriorAttempts): FleetEndpoint | undefined =>
	chooseEndpoint(readChoiceInput(core, request, attempts));

/** Limited endpoints where a permit may be claimed now, best first. */
export const listLimitedCandidates = (core: GatewayCore, request: CallerRequest, attempts: PriorAttempts): FleetEndpoint[] =>
	listLimitedEndpoints(readChoiceInput(core, request, attempts));

/** Whether an endpoint without a limit accepts the request now. */
export const hasUnlimitedCandidate = (core: GatewayCore, request: CallerRequest, attempts: PriorAttempts): boolean =>
	hasUnlimitedEndpoint(readChoiceInput(core, request, attempts));

/** Expected capacity of each endpoint that could serve the request. */
export const listCapacityForecasts = (core: GatewayCore, request: CallerRequest, attempts: PriorAttempts): ExpectedCapacity[] =>
	listExpectedCapacity(readChoiceInput(core, request, attempts));
