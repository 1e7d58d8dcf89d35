/**
 * Checks the conditions for sending a request: an endpoint that accepts it, a retry permit if it is a retry, and a key that is still valid.
 */

import type {Workspace} from 'mastvalve-access';
import {isGranted} from '../access/access-checker.js';
import {createClaim, isDispatched} from '../dispatch/claim-engine.js';
import type {DispatchRun} from '../dispatch/dispatch-run.js';
import type {EndpointRequest} from '../routing/endpoint-tracker.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {TargetState} from '../streams/stream-origins.js';
import type {CallerRequest} from './caller-request.js';
import {claimEndpoint, type ClaimedEndpoint} from './claim-endpoint.js';
import {failRequest, rejectKey, rejectQuarantined} from './fail-request.js';
import type {RequestProgress} from './request-progress.js';
import type {Reply} from './reply.js';
import {clampRetryAfterMs} from './wait-budget.js';

/** An attempt that may be sent now and is already counted as in flight at its endpoint. */
export type PreparedAttempt = ClaimedEndpoint & {
	workspace: Workspace | undefined;
	use: EndpointRequest;
	/** The attempt as the leader counts it; undefined where the leader doesn't choose engines. */
	run: DispatchRun | undefined;
};

/** Returns what was claimed for an attempt that isn't sent. */
const releaseClaim = (core: GatewayCore, {endpoint, grantedAt, claim}: ClaimedEndpoint): void => {
	core.limiter.returnPermit(endpoint, grantedAt);
	if (claim) {
		core.dispatch.release(claim.id);
	}
};

const beginRun = (core: GatewayCore, request: CallerRequest, progress: RequestProgress, {endpoint, claim}: ClaimedEndpoint): DispatchRun | undefined =>
	(claim !== undefined || isDispatched(core, request) ? core.dispatch.beginRun(claim ?? createClaim(core, request, progress), endpoint.id, claim !== undefined) : undefined);

/** Retry-After of a stream that nobody can go on with while no leader answers, ms: an election takes about as long. */
const noLeaderRetryAfterMs = 1000;

/** Whether a claimed endpoint may be sent the request: the rest of a stream goes only to the process whose release is recorded. */
const findTargetState = async ({origins}: GatewayCore, {release}: RequestProgress, {endpoint}: ClaimedEndpoint): Promise<TargetState> =>
	release === undefined ? TargetState.Current : origins.confirmTarget(endpoint);

/**
 * Claims again while the claimed endpoint has since asked for backoff, begun to leave, lost its capacity to other requests, or been replaced by
 * another process.
 */
const claimAdmittingEndpoint = async (core: GatewayCore, request: CallerRequest, progress: RequestProgress): Promise<Awaited<ReturnType<typeof claimEndpoint>>> => {
	const claimed = await claimEndpoint(core, request, progress);
	if ('reason' in claimed) {
		return claimed;
	}

	const state = await findTargetState(core, progress, claimed);
	if (state === TargetState.Current && core.tracker.canSend(claimed.endpoint.id)) {
		return claimed;
	}

	releaseClaim(core, claimed);
	if (state === TargetState.Unknown) {
		return {reason: `no leader confirms that ${claimed.endpoint.id} still has the release that began the stream`, retryAfterMs: clampRetryAfterMs(core, request, noLeaderRetryAfterMs)};
	}

	if (state === TargetState.Replaced) {
		progress.tried.add(claimed.endpoint.id);
	}

	return claimAdmittingEndpoint(core, request, progress);
};

/** Prepares an attempt; undefined when the request has ended. */
export const prepareAttempt = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress): Promise<PreparedAttempt | undefined> => {
	const claimed = await claimAdmittingEndpoint(core, request, progress);
	const workspace = checkAttempt(core, request, reply, progress, claimed);
	if ('reason' in claimed) {
		return undefined;
	}

	if (!workspace) {
		releaseClaim(core, claimed);
		return undefined;
	}

	return {
		...claimed, workspace: workspace.current, use: core.tracker.beginRequest(claimed.endpoint.id, request.caller.promptTokens), run: beginRun(core, request, progress, claimed),
	};
};

/** Returns the current workspace if the request may be sent; otherwise undefined, after its caller was answered. */
const checkAttempt = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, claimed: Awaited<ReturnType<typeof claimEndpoint>>): {current: Workspace | undefined} | undefined => {
	// It may have been quarantined while it waited, or by its previous attempt.
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

	// The key may have been revoked in the seconds since arrival. Connecting takes up to 0.4 s more, which the margin on the age of key data covers.
	const access = core.access.authorize(request.admission.key, request.route);
	if (!isGranted(access)) {
		rejectKey(core, request, reply, progress, access.kind);
		return undefined;
	}

	return {current: access.workspace};
};
