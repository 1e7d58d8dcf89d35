/**
 * Binds a resumable stream to the release that sent its first event.
 */

import {
	formatStreamKey, ReleaseProof, unknownRelease, type FleetEndpoint,
} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {failRequest} from './fail-request.js';
import type {RequestProgress} from './request-progress.js';
import type {Reply} from './reply.js';

/** Retry-After of a stream whose release isn't proved, ms: a new leader has learned of it by then. */
const unprovedRetryAfterMs = 300;
/** Time after a caller's deadline for which the beginning of its stream is remembered, ms. */
const returnMarginMs = 2000;

/** Binds a stream that its caller takes up again. Returns false after the caller was refused, since the stream's release isn't proved. */
export const bindReturningStream = async (core: GatewayCore, request: CallerRequest, reply: Reply, progress: RequestProgress): Promise<boolean> => {
	const {route, caller, admission, service} = request;
	if (!route.isResumable || caller.resumeAfter === undefined) {
		return true;
	}

	const startedAt = core.clock.now();
	const proved = await core.origins.prove(formatStreamKey(caller.startedBy ?? '', admission.workspace?.name), service);
	core.observer.recordStreamReturn(proved.proof);
	core.log('stream.returned', {
		request: request.requestId, startedBy: caller.startedBy, after: caller.resumeAfter, ...proved, provedMs: Math.round(core.clock.now() - startedAt),
	});
	if (proved.proof === ReleaseProof.None) {
		failRequest(core, request, reply, progress, {reason: `the release that began the stream is not proved: ${proved.reason}`, retryAfterMs: unprovedRetryAfterMs, code: 'stream-release-unknown'});
		return false;
	}

	progress.release = proved.release;
	return true;
};

/** Binds a stream whose first event is passed on. */
export const bindBegunStream = (core: GatewayCore, request: CallerRequest, progress: RequestProgress, endpoint: FleetEndpoint): void => {
	const {route, caller, admission, service, requestId, callerDeadlineAt} = request;
	if (!route.isResumable || progress.release !== undefined) {
		return;
	}

	const {id, release} = endpoint;
	const isKnown = core.origins.isRecordCurrent(endpoint) && !core.tracker.mayHaveSuccessor(id, core.view.heardAt);
	progress.release = isKnown ? release : unknownRelease;
	if (isKnown && caller.resumeAfter === undefined) {
		core.origins.record({
			key: formatStreamKey(requestId, admission.workspace?.name), service, endpoint: id, release, ageMs: 0, remainingMs: Math.round(callerDeadlineAt - core.clock.now()) + returnMarginMs,
		});
	}
};
