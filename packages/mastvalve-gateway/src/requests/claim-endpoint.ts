/**
 * Finds an endpoint for an attempt. Where only endpoints are left that have named a limit, one permit is claimed at all of them together:
 * the first that has one gives it, or the request waits for its turn at one of them.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {LimitTimestamp} from 'mastvalve-limits';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {hasUnlimitedCandidate, listLimitedCandidates} from './select-endpoint.js';
import {computeRemainingWaitMs, type NoEndpoint} from './wait-budget.js';
import type {RequestProgress} from './request-progress.js';
import {rankRequest} from './rank-request.js';
import {waitForEndpoint} from './wait-for-endpoint.js';

/** Time in which a claim is answered, ms; a turn that is granted at the last moment would be over when the answer is here. */
const claimReplyMs = 50;

/** An endpoint that may get the request now. */
export type ClaimedEndpoint = {
	endpoint: FleetEndpoint;
	/** When its limit let the request through; undefined for one without a limit. */
	grantedAt: LimitTimestamp | undefined;
};

/** Gives up the turn that a request waits for. */
export const releaseReservation = (core: GatewayCore, progress: RequestProgress): void => {
	if (progress.reservation !== undefined) {
		core.limiter.release(progress.reservation);
		progress.reservation = undefined;
	}
};

/** Claims a permit; undefined when the request has to wait for its turn, or there is none in time. */
const claimPermit = async (core: GatewayCore, request: CallerRequest, progress: RequestProgress): Promise<ClaimedEndpoint | undefined> => {
	const limited = listLimitedCandidates(core, request, progress);
	const maxWaitMs = hasUnlimitedCandidate(core, request, progress) ? 0 : Math.max(0, computeRemainingWaitMs(core, request) - claimReplyMs);
	// The limit is on what all entries send together: one that only minds its own requests can't keep to it.
	const {endpoint: granted, waitMs, reservation, grantedAt} = await core.limiter.claim(limited, {urgency: rankRequest(core, request), maxWaitMs, reservation: progress.reservation});
	progress.reservation = reservation;
	const endpoint = limited.find(({id}) => id === granted);
	core.observer.recordPermit(endpoint !== undefined);
	if (endpoint) {
		return {endpoint, grantedAt};
	}

	const askAgainAt = core.clock.now() + waitMs;
	limited.forEach(({id}) => {
		progress.permitRetryAt.set(id, askAgainAt);
	});
	return undefined;
};

/** Finds an endpoint, or says why there is none. */
export const claimEndpoint = async (core: GatewayCore, request: CallerRequest, progress: RequestProgress): Promise<ClaimedEndpoint | NoEndpoint> => {
	let found = await waitForEndpoint(core, request, progress);
	while (!('reason' in found) && core.limiter.limitOf(found) !== undefined) {
		// One claim after the other.
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
