/**
 * The end of a request that no endpoint has answered: when to try on, and what its caller is told. "Not run" is said only of what was
 * handed to nobody, or what its endpoint says it did not run.
 */

import {keyRefusals} from '../access/admit-caller.js';
import type {GatewayCore} from '../server/gateway-core.js';
import {isRepeatable, type CallerRequest} from './caller-request.js';
import type {RequestProgress} from './request-progress.js';
import type {Reply} from './reply.js';
import {computeRetryAfterMs} from './wait-for-capacity.js';

/** Endpoints that may be out of reach before a request is given up; nothing was handed to them. */
const maxUnsentAttempts = 3;
/** What is left of the time must be worth an attempt, ms. */
const minAttemptMs = 20;
/** Pause of a caller after a refusal that says nothing else, ms. */
const defaultRetryAfterMs = 100;

/** Why a request is given up, and what its caller learns when it was not run. */
export type RequestFailure = {
	reason: string;
	/** When it may come again, ms. */
	retryAfterMs?: number | undefined;
	code?: string;
	/** 503 when nothing else is told. */
	status?: number;
};

/** Whether there is time for another attempt. */
export const hasTimeForAttempt = ({clock}: GatewayCore, {deadlineAt}: CallerRequest): boolean => clock.now() + minAttemptMs < deadlineAt;

/** Whether the request is over after an attempt that did not answer it. */
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
 * Refuses a request under which several endpoints have crashed: handed to another one it would end that too, with
 * all that runs there. True when it was refused.
 */
export const rejectQuarantined = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress): boolean => {
	const remainingMs = core.quarantine.remainingMs(request.fingerprint);
	if (remainingMs === undefined) {
		return false;
	}

	const reason = `quarantined, since endpoints have crashed under requests with this content (fingerprint ${request.fingerprint})`;
	failRequest(core, request, reply, progress, {reason, retryAfterMs: remainingMs, code: 'quarantined'});
	return true;
};

/** The key of a request was taken away while it waited, or this entry can't tell any more: it is handed to nobody. */
export const rejectKey = (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress, kind: keyof typeof keyRefusals): void => {
	const {status, code, retryAfterSeconds} = keyRefusals[kind];
	failRequest(core, request, reply, progress, {
		reason: `its key is ${kind} by now`, code, status, retryAfterMs: (retryAfterSeconds ?? 0) * 1000,
	});
};

/** Gives a request up, unless its caller has left. */
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
