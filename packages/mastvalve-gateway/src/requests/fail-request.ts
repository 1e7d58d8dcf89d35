/**
 * Decides whether an unanswered request is retried, and answers its caller otherwise. The answer states "not run" only if the request
 * was sent to no endpoint, or if each endpoint stated that it did not run it.
 */

import {isPartFingerprint} from 'mastvalve-fleet';
import {keyRefusals} from '../access/admit-caller.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {isRepeatable, type CallerRequest} from './caller-request.js';
import type {RequestProgress} from './request-progress.js';
import type {Reply} from './reply.js';
import {computeRetryAfterMs} from './wait-for-capacity.js';

/** Unreachable endpoints after which a request fails; it was sent to none of them. */
const maxUnsentAttempts = 3;
/** Minimum remaining time for another attempt, ms. */
const minAttemptMs = 20;
/** Retry-After of refusals without a more specific delay, ms. */
const defaultRetryAfterMs = 100;

/** Why a request fails, and the answer to its caller if it was not run. */
export type RequestFailure = {
	reason: string;
	/** Delay before the caller may retry, ms. */
	retryAfterMs?: number | undefined;
	code?: string;
	/** 503 by default. */
	status?: number;
};

export const hasTimeForAttempt = ({clock}: GatewayCore, {deadlineAt}: CallerRequest): boolean => clock.now() + minAttemptMs < deadlineAt;

/** Fails a request after an unanswered attempt unless it can be retried; true when it has failed. */
export const failUnlessRetryable = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, reason: string): boolean => {
	const {route} = request;
	const isRetrySafe = !progress.mayHaveRun || isRepeatable(route);
	const hasAttemptsLeft = progress.sentCount < route.maxAttempts && progress.unsentCount < maxUnsentAttempts;
	if (isRetrySafe && hasAttemptsLeft && hasTimeForAttempt(core, request)) {
		return false;
	}

	failRequest(core, request, reply, progress, {reason, retryAfterMs: computeRetryAfterMs(core, request)});
	return true;
};

/**
 * Rejects a quarantined request: several endpoints crashed while serving its content, or a part of its prompt, and another one would crash
 * too, together with all requests that run there. Returns true when it was rejected.
 */
export const rejectQuarantined = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress): boolean => {
	const quarantined = core.quarantine.findQuarantined(request);
	if (quarantined === undefined) {
		return false;
	}

	const {fingerprint, remainingMs} = quarantined;
	const content = isPartFingerprint(fingerprint) ? 'this part in their prompts' : 'this content';
	const reason = `quarantined, since endpoints have crashed under requests with ${content} (fingerprint ${fingerprint})`;
	core.observer.recordQuarantined(isPartFingerprint(fingerprint));
	failRequest(core, request, reply, progress, {reason, retryAfterMs: remainingMs, code: 'quarantined'});
	return true;
};

/** Rejects a request whose key was revoked while it waited, or can no longer be verified by this entry; it isn't sent to any endpoint. */
export const rejectKey = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, kind: keyof typeof keyRefusals): void => {
	const {status, code, retryAfterSeconds} = keyRefusals[kind];
	failRequest(core, request, reply, progress, {
		reason: `its key is ${kind} by now`, code, status, retryAfterMs: (retryAfterSeconds ?? 0) * 1000,
	});
};

/** Answers the caller of a failed request, unless the caller has disconnected. */
export const failRequest = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, {reason, retryAfterMs = defaultRetryAfterMs, code = 'overloaded', status = 503}: RequestFailure): void => {
	if (request.signal.aborted) {
		return;
	}

	core.log('request.given-up', {
		request: request.requestId, route: request.route.name, reason, sent: progress.sentCount, mayHaveRun: progress.mayHaveRun, revision: core.view.revision, ageMs: Math.round(core.clock.now() - request.arrivedAt),
	});
	if (reply.hasBegun) {
		reply.abort();
	} else if (progress.mayHaveRun) {
		reply.send({status: 502, code: 'outcome-unknown', message: `The endpoint gave no whole answer: ${reason}. The request may have run.`});
	} else {
		reply.send({
			status, code, message: `Not run: ${reason}.`, ...(status === 401 ? {} : {retryAfterSeconds: Math.ceil(retryAfterMs) / 1000}),
		});
	}
};
