/**
 * Lets a caller in, or refuses it before its request waits, is routed or takes a retry: its key first, then the limit of its
 * workspace. What is refused here was not run.
 */

import {
	AccessKind, computeRequestCost, type PresentedKey, type Workspace,
} from 'mastvalve-access';
import type {Route} from 'mastvalve-fleet';
import type {CallerHeaders} from '../dialect.js';
import type {ProblemAnswer, Reply} from '../requests/reply.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {isGranted} from './access-checker.js';

/** When to ask again at an entry that may not believe its keys, s; another entry is likely to be sure at once. */
const staleKeysRetrySeconds = 0.2;
const msPerSecond = 1000;

/** A caller that was let in. */
export type Admission = {
	key: PresentedKey;
	/** Undefined for somebody without a key, where none is needed. */
	workspace: Workspace | undefined;
	/** What was claimed from the workspace's limit. */
	cost: number;
};

/** What the decision rests on. */
export type AdmissionInput = {requestId: string; route: Route; caller: CallerHeaders; key: PresentedKey};

/** What a caller is told whose key does not let it in. */
export const keyRefusals: Record<AccessKind.UnknownKey | AccessKind.StaleKeys, ProblemAnswer> = {
	[AccessKind.UnknownKey]: {status: 401, code: 'key-unknown', message: 'No workspace holds the key of this request. Nothing was run.'},
	[AccessKind.StaleKeys]: {
		status: 503, code: 'keys-unsure', message: 'This entry can\'t tell at this moment which keys are valid. Nothing was run.', retryAfterSeconds: staleKeysRetrySeconds,
	},
};

/** Lets a caller in; undefined when it was refused. */
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
	const {isTaken, waitMs} = await core.limits.claimCost(workspace.name, cost);
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
