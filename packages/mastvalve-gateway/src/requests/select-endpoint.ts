/**
 * The choice of an endpoint for a request, from what the entry knows at this moment.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import {
	chooseEndpoint, hasUnlimitedEndpoint, listExpectedCapacity, listLimitedEndpoints, type EndpointChoiceInput, type ExpectedCapacity,
} from '../routing/choose-endpoint.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';

/** What a request has tried so far. */
export type PriorAttempts = {
	/** Endpoints that it was sent to. */
	tried: ReadonlySet<string>;
	/** When limited endpoints that had no permit for it may be asked again, by endpoint; monotonic ms. */
	permitRetryAt: ReadonlyMap<string, number>;
};

const readChoiceInput = (core: GatewayCore, request: CallerRequest, {tried, permitRetryAt: askAgainAt}: PriorAttempts): EndpointChoiceInput => ({
	endpoints: core.view.listEndpoints(request.service),
	model: request.caller.model,
	adapter: request.caller.adapter,
	failureDomain: core.failureDomain,
	attemptedIds: tried,
	permitRetryAt: askAgainAt,
	now: core.clock.now(),
	getObservations: id => core.tracker.getOrCreate(id),
	isLimited: endpoint => core.limiter.limitOf(endpoint) !== undefined,
	limitedProbeMs: core.limiter.probePauseMs,
	random: core.random,
	firstByteMs: core.firstByteTimes.getFirstByteMs(request.caller.model ?? ''),
	prefillMsPerToken: core.firstByteTimes.getPrefillMsPerToken(request.caller.model ?? ''),
});

/** Chooses among what is here now. */
export const selectEndpoint = (core: GatewayCore, request: CallerRequest, tries: PriorAttempts): FleetEndpoint | undefined =>
	chooseEndpoint(readChoiceInput(core, request, tries));

/** Limited endpoints that may be asked for a permit now, the best first. */
export const listLimitedCandidates = (core: GatewayCore, request: CallerRequest, tries: PriorAttempts): FleetEndpoint[] =>
	listLimitedEndpoints(readChoiceInput(core, request, tries));

/** Whether an endpoint without a limit may get the request now. */
export const hasUnlimitedCandidate = (core: GatewayCore, request: CallerRequest, tries: PriorAttempts): boolean =>
	hasUnlimitedEndpoint(readChoiceInput(core, request, tries));

/** What is expected of the endpoints that could take the request. */
export const listCapacityForecasts = (core: GatewayCore, request: CallerRequest, tries: PriorAttempts): ExpectedCapacity[] =>
	listExpectedCapacity(readChoiceInput(core, request, tries));
