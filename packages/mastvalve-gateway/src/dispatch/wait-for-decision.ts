/**
 * Waits for the leader's decision on a claim. The wait ends when the caller leaves, its deadline is near, or the entry is draining.
 */

import type {DispatchClaim, DispatchDecision} from 'mastvalve-dispatch';
import type {CallerRequest} from '../requests/caller-request.js';
import {computeWaitDeadline} from '../requests/wait-budget.js';
import type {GatewayCore} from '../server/gateway-core.js';

/** Time before the caller gives up at which a queued claim is cancelled, ms: the refusal must reach the caller in time. */
const refusalMs = 50;

export type AwaitedDecision = {
	/** Undefined when there is none: no leader answers, the caller has left, or the entry has stopped waiting. */
	decision: DispatchDecision | undefined;
	wasQueued: boolean;
	/** Why the entry has stopped waiting. */
	stopReason: string | undefined;
};

export const waitForDecision = async (core: GatewayCore, request: CallerRequest, claim: DispatchClaim): Promise<AwaitedDecision> => {
	const stopping = new AbortController();
	let stopReason: string | undefined;
	let timer: NodeJS.Timeout | undefined;
	const stop = (reason: string): void => {
		stopReason = reason;
		stopping.abort();
	};

	const stopDraining = (): void => {
		stop('this entry is about to stop, and no engine has room yet');
	};

	const onQueued = (): void => {
		if (core.isDraining()) {
			stopDraining();
			return;
		}

		core.drainListeners.add(stopDraining);
		timer ??= setTimeout(() => {
			stop('no engine has had room in time');
		}, Math.max(1, computeWaitDeadline(request) - refusalMs - core.clock.now()));
	};

	const decision = await core.dispatch.claim(claim, AbortSignal.any([request.signal, stopping.signal]), onQueued);
	core.drainListeners.delete(stopDraining);
	clearTimeout(timer);
	return {decision, wasQueued: timer !== undefined, stopReason: decision ? undefined : stopReason};
};
