/**
 * Admits a request by its key and then by the limit of its workspace, before it waits, is routed or uses a retry. A request
 * refused here was not run.
 */

import {
	AccessKind, computeRequestCost, type PresentedKey, type Workspace,
} from 'mastvalve-access';
import type {Route} from 'mastvalve-fleet';
import type {CallerHeaders} from '../dialect.js';
import type {ProblemAnswer, Reply} from '../requests/reply.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {isGranted} from './access-checker.js';

/** Retry-After of an entry with stale keys, s; another entry is likely to have fresh ones at once. */
const staleKeysRetrySeconds = 0.2;
const msPerSecond = 1000;

/** An admitted request. */
export type Admission = {
	key: PresentedKey;
	/** Undefined for an anonymous request. */
	workspace: Workspace | undefined;
	/** Cost claimed from the workspace's limit, in its unit. */
	cost: number;
};

export type AdmissionInput = {requestId: string; route: Route; caller: CallerHeaders; key: PresentedKey};

/** Answers to requests whose key was not accepted. */
export const keyRefusals: Record<AccessKind.UnknownKey | AccessKind.StaleKeys, ProblemAnswer> = {
	[AccessKind.UnknownKey]: {status: 401, code: 'key-unknown', message: 'No workspace holds the key of this request. Nothing was run.'},
	[AccessKind.StaleKeys]: {
		status: 503, code: 'keys-unsure', message: 'This entry can\'t tell at this moment which keys are valid. Nothing was run.', retryAfterSeconds: staleKeysRetrySeconds,
	},
};

/** Admits a request; replies and returns undefined if it is refused. */
export const admitCaller = async (core: GatewayCore, {requestId, route, caller, key}: AdmissionInput, reply: Reply): Promise<Admission | undefined> => {
	const access = core.access.authorize(key, route);
	if (!isGranted(access)) {
		core.log('request.refused', {
			request: requestId, route: route.name, reason: access.kind, key: key.kind, evidenceAgeMs: Math.round(core.access.confirmationAgeMs), version: core.view.configuration?.version,
		});
		core.observer.recordRefusal(access.kind);
		reply.send(keyRefusals[access.kind]);
		return undefined;
	}

	const {workspace} = access;
	if (!workspace?.limit) {
		return {key, workspace, cost: 0};
	}

	const cost = computeRequestCost(workspace.limit, caller.declaredTokens);
	const {isTaken, waitMs} = await core.limits.claimCost(workspace, cost);
	if (isTaken) {
		return {key, workspace, cost};
	}

	core.log('request.refused', {
		request: requestId, route: route.name, reason: 'limit', workspace: workspace.name, cost, waitMs,
	});
	core.observer.recordRefusal('limit');
	reply.send({
		status: 429, code: 'limit-reached', message: `The workspace ${workspace.name} has reached its limit. Nothing was run.`, retryAfterSeconds: Math.ceil(waitMs) / msPerSecond,
	});
	return undefined;
};
