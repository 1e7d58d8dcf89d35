/**
 * Finds an endpoint for an attempt. If all remaining endpoints are rate limited, a single claim covers them all: it is granted by the
 * first endpoint with a free permit, or it reserves a permit at one of them.
 */

import type {DispatchClaim} from 'mastvalve-dispatch';
import type {FleetEndpoint} from 'mastvalve-fleet';
import type {LimitTimestamp} from 'mastvalve-limits';
import {claimEngine, isDispatched} from '../dispatch/claim-engine.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {hasUnlimitedCandidate, listLimitedCandidates} from './select-endpoint.js';
import {clampRetryAfterMs, computeRemainingWaitMs, type NoEndpoint} from './wait-budget.js';
import type {RequestProgress} from './request-progress.js';
import {rankRequest} from './rank-request.js';
import {waitForEndpoint} from './wait-for-endpoint.js';

/** Time reserved for the reply to a claim, ms: a reservation granted at the last moment would expire before the reply arrives. */
const claimReplyMs = 50;

/** An endpoint that the request may be sent to now. */
export type ClaimedEndpoint = {
	endpoint: FleetEndpoint;
	/** When the leader granted the permit; undefined for an endpoint without a limit, or when no leader counted it. */
	grantedAt: LimitTimestamp | undefined;
	/** The claim by which the leader chose the endpoint; undefined when this entry chose it. */
	claim?: DispatchClaim;
	/** Address of the engine from which the endpoint copies kept parts of the prompt. */
	copyFrom?: string;
};

/** Releases the permit reservation of a request, if it has one. */
export const releaseReservation = (core: GatewayCore, progress: RequestProgress): void => {
	if (progress.reservation !== undefined) {
		core.limiter.releaseReservation(progress.reservation);
		progress.reservation = undefined;
	}
};

/** Claims a permit; undefined when the request has to wait for its reservation, or no permit is expected in time. */
const claimPermit = async (core: GatewayCore, request: CallerRequest, progress: RequestProgress): Promise<ClaimedEndpoint | undefined> => {
	const limited = listLimitedCandidates(core, request, progress);
	const maxWaitMs = hasUnlimitedCandidate(core, request, progress) ? 0 : Math.max(0, computeRemainingWaitMs(core, request) - claimReplyMs);
	// The limit applies to all entries together, so an entry can't enforce it by counting only its own requests.
	const {endpoint: granted, waitMs, reservation, grantedAt} = await core.limiter.claim(limited, {urgency: rankRequest(core, request), maxWaitMs, reservation: progress.reservation});
	progress.reservation = reservation;
	const endpoint = limited.find(({id}) => id === granted);
	core.observer.recordPermit(endpoint !== undefined);
	if (endpoint) {
		return {endpoint, grantedAt};
	}

	const permitRetryAt = core.clock.now() + waitMs;
	limited.forEach(({id}) => {
		progress.permitRetryAt.set(id, permitRetryAt);
	});
	return undefined;
};

/** Retry-After of a stream whose release no endpoint serves, ms: one may start again. */
const noReleaseRetryAfterMs = 1000;

/** Whether no endpoint is left of the release that a stream is bound to. */
const isReleaseGone = ({view}: GatewayCore, {service}: CallerRequest, {release, tried}: RequestProgress): boolean =>
	release !== undefined && view.listEndpoints(service, release).every(({id}) => tried.has(id));

/** Finds an endpoint, or returns the reason why there is none. */
export const claimEndpoint = async (core: GatewayCore, request: CallerRequest, progress: RequestProgress): Promise<ClaimedEndpoint | NoEndpoint> => {
	if (isReleaseGone(core, request, progress)) {
		return {reason: `no endpoint of release ${progress.release}, which began the stream, can go on`, retryAfterMs: clampRetryAfterMs(core, request, noReleaseRetryAfterMs)};
	}

	const assigned = isDispatched(core, request) ? await claimEngine(core, request, progress) : undefined;
	if (assigned) {
		releaseReservation(core, progress);
		return 'reason' in assigned ? assigned : {...assigned, grantedAt: undefined};
	}

	let found = await waitForEndpoint(core, request, progress);
	while (!('reason' in found) && core.limiter.findLimit(found) !== undefined) {
		// Claims are sequential.
		// eslint-disable-next-line no-await-in-loop
		const claimed = await claimPermit(core, request, progress);
		if (claimed) {
			releaseReservation(core, progress);
			return claimed;
		}

		// eslint-disable-next-line no-await-in-loop
		found = await waitForEndpoint(core, request, progress);
	}

	releaseReservation(core, progress);
	return 'reason' in found ? found : {endpoint: found, grantedAt: undefined};
};
