/**
 * Finds an endpoint for an attempt. At one that has named a limit, room is claimed first; what it has no room for goes to others.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {AccountMoment} from 'mastvalve-limits';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {hasOtherNow} from './choose-now.js';
import {patienceOf, refuseForRoom, type NoEndpoint} from './patience.js';
import type {Progress} from './progress.js';
import {rankRequest} from './rank-request.js';
import {waitForEndpoint} from './wait-for-endpoint.js';

/** An endpoint that may get the request now. */
export type ClaimedEndpoint = {
	endpoint: FleetEndpoint;
	/** When its limit let the request through; undefined for one without a limit. */
	grantedAt: AccountMoment | undefined;
};

/** Claims room at one endpoint, or says that the request can't wait for any; undefined when it has a place in a line or goes elsewhere. */
const claimRoom = async (core: GatewayCore, request: CallerRequest, progress: Progress, endpoint: FleetEndpoint): Promise<ClaimedEndpoint | NoEndpoint | undefined> => {
	if (core.limiter.limitOf(endpoint) === undefined) {
		return {endpoint, grantedAt: undefined};
	}

	const {askAgainAt, lines} = progress;
	const {id} = endpoint;
	const hasOther = hasOtherNow(core, request, progress, id);
	const patienceMs = hasOther ? 0 : Math.max(0, patienceOf(core, request));
	// The limit is on what all entries send together: one that only minds its own requests can't keep to it.
	const {isTaken, waitMs, grantedAt} = await core.limiter.claim(endpoint, {urgency: rankRequest(core, request), patienceMs, isDue: lines.delete(id)});
	core.observer.recordRoom(isTaken);
	if (isTaken) {
		return {endpoint, grantedAt};
	}

	askAgainAt.set(id, core.clock.now() + waitMs);
	if (waitMs <= patienceMs) {
		lines.add(id);
	}

	return hasOther || lines.has(id) ? undefined : refuseForRoom(waitMs);
};

/** Finds an endpoint, or says why there is none. */
export const claimEndpoint = async (core: GatewayCore, request: CallerRequest, progress: Progress): Promise<ClaimedEndpoint | NoEndpoint> => {
	let found = await waitForEndpoint(core, request, progress);
	while (!('reason' in found)) {
		// One endpoint after the other.
		// eslint-disable-next-line no-await-in-loop
		const claimed = await claimRoom(core, request, progress, found);
		if (claimed) {
			return claimed;
		}

		// eslint-disable-next-line no-await-in-loop
		found = await waitForEndpoint(core, request, progress);
	}

	return found;
};
