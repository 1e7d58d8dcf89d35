/**
 * All that must be settled before a request is handed over: an endpoint that takes it, a retry if it is one, and a key that still holds.
 */

import type {Workspace} from 'mastvalve-access';
import {isGranted} from '../access/access-checker.js';
import type {EndpointRequest} from '../routing/endpoint-tracker.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {claimEndpoint, type ClaimedEndpoint} from './claim-endpoint.js';
import {failRequest, rejectKey, rejectQuarantined} from './fail-request.js';
import type {RequestProgress} from './request-progress.js';
import type {Reply} from './reply.js';

/** An attempt that may be made at once, and counts at its endpoint already. */
export type PreparedAttempt = ClaimedEndpoint & {workspace: Workspace | undefined; use: EndpointRequest};

/** An endpoint that was chosen may have asked for backoff or begun to leave since then, or others may have used its capacity. */
const claimAdmittingEndpoint = async (core: GatewayCore, request: CallerRequest, progress: RequestProgress): Promise<Awaited<ReturnType<typeof claimEndpoint>>> => {
	let claimed = await claimEndpoint(core, request, progress);
	while (!('reason' in claimed) && !core.tracker.canSend(claimed.endpoint.id)) {
		core.limiter.giveBack(claimed.endpoint, claimed.grantedAt);
		// One endpoint after the other.
		// eslint-disable-next-line no-await-in-loop
		claimed = await claimEndpoint(core, request, progress);
	}

	return claimed;
};

/** Prepares an attempt; undefined when the request is over. */
export const prepareAttempt = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress): Promise<PreparedAttempt | undefined> => {
	const claimed = await claimAdmittingEndpoint(core, request, progress);
	const workspace = checkAttempt(core, request, reply, progress, claimed);
	if ('reason' in claimed) {
		return undefined;
	}

	if (!workspace) {
		core.limiter.giveBack(claimed.endpoint, claimed.grantedAt);
		return undefined;
	}

	return {...claimed, workspace: workspace.current, use: core.tracker.beginRequest(claimed.endpoint.id, request.caller.promptTokens)};
};

/** Whose request it is, if it may be handed over; otherwise its caller has been told. */
const checkAttempt = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, claimed: Awaited<ReturnType<typeof claimEndpoint>>): {current: Workspace | undefined} | undefined => {
	// It may have come under quarantine while it waited, or by the try before this one.
	if (rejectQuarantined(core, request, reply, progress)) {
		return undefined;
	}

	if ('reason' in claimed) {
		failRequest(core, request, reply, progress, claimed);
		return undefined;
	}

	if (progress.sentCount > 0 && !core.retryBudget.takeRetry(request.service)) {
		failRequest(core, request, reply, progress, {reason: 'no retries are left'});
		return undefined;
	}

	if (request.signal.aborted) {
		return undefined;
	}

	// Seconds may have gone by since it arrived. A new connection takes up to 0.4 s from here, which the reserve of the evidence covers.
	const access = core.access.judge(request.admission.key, request.route);
	if (!isGranted(access)) {
		rejectKey(core, request, reply, progress, access.kind);
		return undefined;
	}

	return {current: access.workspace};
};
