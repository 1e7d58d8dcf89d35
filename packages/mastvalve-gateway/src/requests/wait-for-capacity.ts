/**
 * Waits for capacity at endpoints that restrict what they take, and only while it is expected before the caller gives up. What can't be
 * served in time is refused at once, with the time of the next capacity.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import {AdmissionKind} from 'mastvalve-limits';
import type {ExpectedCapacity} from '../routing/choose-endpoint.js';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {selectEndpoint, listCapacityForecasts, type PriorAttempts} from './select-endpoint.js';
import {
	forecastMarginMs, computeWaitDeadline, createCapacityRefusal, type NoEndpoint,
} from './wait-budget.js';
import {rankRequest} from './rank-request.js';

/** When the first endpoint has capacity, monotonic ms; `now` for one that waits for an answer in progress, undefined when there is none. */
const findCapacityAt = (expected: readonly ExpectedCapacity[], now: number): number | undefined => {
	const times = expected.map(({admission}) => (admission.kind === AdmissionKind.At ? admission.at : now));
	return times.length === 0 ? undefined : Math.min(...times);
};

/** Time until a request that is refused now may be served, ms; undefined when some endpoint can take it now, or none ever. */
export const computeRetryAfterMs = (core: GatewayCore, request: CallerRequest): number | undefined => {
	const now = core.clock.now();
	const expected = listCapacityForecasts(core, request, {tried: new Set(), permitRetryAt: new Map()});
	const isFree = expected.some(({admission}) => admission.kind === AdmissionKind.Now);
	const at = findCapacityAt(expected, now);
	return isFree || at === undefined ? undefined : at - now;
};

/** Until when a request may wait for an endpoint; one that may well refuse it again is waited for only while the answer can be in time. */
const computeWaitEnd = (request: CallerRequest, {isReliable}: ExpectedCapacity): number => {
	const latest = computeWaitDeadline(request) - forecastMarginMs;
	return isReliable ? latest : Math.min(latest, request.arrivedAt + request.route.objectiveMs);
};

/** When to look again: at the next capacity that is expected in time, or when waiting ends; undefined when nothing is worth waiting for. */
const findNextRecheckAt = (request: CallerRequest, expected: readonly ExpectedCapacity[], now: number): number | undefined => {
	const times = expected.flatMap(each => {
		const endAt = computeWaitEnd(request, each);
		const at = each.admission.kind === AdmissionKind.At ? each.admission.at : endAt;
		return now < endAt && at <= endAt ? [at] : [];
	});
	return times.length === 0 ? undefined : Math.min(...times);
};

/** Waits until an endpoint may take the request, or says why none will. */
export const waitForCapacity = async (core: GatewayCore, request: CallerRequest, tries: PriorAttempts): Promise<FleetEndpoint | NoEndpoint> => {
	const {clock, view, waiters, demand, drainListeners, log, observer} = core;
	const {caller: {model, adapter}, signal} = request;
	const startedAt = clock.now();
	const refuse = (expected: readonly ExpectedCapacity[]): NoEndpoint => {
		const now = clock.now();
		return createCapacityRefusal((findCapacityAt(expected, now) ?? now) - now);
	};

	const first = listCapacityForecasts(core, request, tries);
	if (findNextRecheckAt(request, first, startedAt) === undefined || core.isDraining()) {
		return refuse(first);
	}

	const endDemand = model === undefined ? undefined : demand.beginWait(request.service, model, adapter, request.deadlineAt);
	return new Promise(resolve => {
		const settle = (outcome: FleetEndpoint | NoEndpoint): void => {
			endDemand?.();
			unsubscribeView();
			waiter.remove();
			drainListeners.delete(stopWaiting);
			signal.removeEventListener('abort', stopWaiting);
			log('request.waited-for-capacity', {
				request: request.requestId, waitedMs: Math.round(clock.now() - startedAt), outcome: 'id' in outcome ? outcome.id : outcome.reason, revision: view.revision,
			});
			observer.recordWait('id' in outcome, clock.now() - startedAt);
			resolve(outcome);
		};

		const stopWaiting = (): void => {
			settle(refuse(listCapacityForecasts(core, request, tries)));
		};

		const recheck = (): void => {
			const endpoint = selectEndpoint(core, request, tries);
			const recheckAt = findNextRecheckAt(request, listCapacityForecasts(core, request, tries), clock.now());
			if (endpoint) {
				settle(endpoint);
			} else if (recheckAt === undefined) {
				stopWaiting();
			} else {
				waiter.scheduleRecheck(recheckAt);
			}
		};

		const unsubscribeView = view.subscribe(recheck);
		const waiter = waiters.add(rankRequest(core, request), recheck);
		drainListeners.add(stopWaiting);
		signal.addEventListener('abort', stopWaiting, {once: true});
		recheck();
	});
};
