/**
 * Waits for capacity at endpoints that are limited or in backoff, while it is expected before the caller gives up. A request that can't be
 * served in time is refused at once, with the time until the next capacity as Retry-After.
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

/** When the first endpoint has capacity, monotonic ms; `now` for one that waits for an answer in flight, undefined when there is none. */
const findCapacityAt = (expected: readonly ExpectedCapacity[], now: number): number | undefined => {
	const times = expected.map(({admission}) => (admission.kind === AdmissionKind.At ? admission.at : now));
	return times.length === 0 ? undefined : Math.min(...times);
};

/** Time until a refused request may be served, ms; undefined when an endpoint accepts it now, or none will. */
export const computeRetryAfterMs = (core: GatewayCore, request: CallerRequest): number | undefined => {
	const now = core.clock.now();
	const expected = listCapacityForecasts(core, request, {tried: new Set(), permitRetryAt: new Map(), release: undefined});
	const isFree = expected.some(({admission}) => admission.kind === AdmissionKind.Now);
	const at = findCapacityAt(expected, now);
	return isFree || at === undefined ? undefined : at - now;
};

/** Until when a request may wait for an endpoint, monotonic ms. If the endpoint may refuse it again, waiting ends at the route's objective. */
const computeWaitEnd = (request: CallerRequest, {isReliable}: ExpectedCapacity): number => {
	const latest = computeWaitDeadline(request) - forecastMarginMs;
	return isReliable ? latest : Math.min(latest, request.arrivedAt + request.route.objectiveMs);
};

/** When to recheck: at the next capacity expected in time, or when waiting ends, monotonic ms; undefined when none is expected in time. */
const findNextRecheckAt = (request: CallerRequest, expected: readonly ExpectedCapacity[], now: number): number | undefined => {
	const times = expected.flatMap(each => {
		const endAt = computeWaitEnd(request, each);
		const at = each.admission.kind === AdmissionKind.At ? each.admission.at : endAt;
		return now < endAt && at <= endAt ? [at] : [];
	});
	return times.length === 0 ? undefined : Math.min(...times);
};

/** Waits until an endpoint accepts the request; otherwise returns the refusal. */
export const waitForCapacity = async (core: GatewayCore, request: CallerRequest, attempts: PriorAttempts): Promise<FleetEndpoint | NoEndpoint> => {
	const {clock, view, waiters, demand, drainListeners, log, observer} = core;
	const {caller: {model, adapter}, signal} = request;
	const startedAt = clock.now();
	const refuse = (expected: readonly ExpectedCapacity[]): NoEndpoint => {
		const now = clock.now();
		return createCapacityRefusal((findCapacityAt(expected, now) ?? now) - now);
	};

	const first = listCapacityForecasts(core, request, attempts);
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
			settle(refuse(listCapacityForecasts(core, request, attempts)));
		};

		const recheck = (): void => {
			const endpoint = selectEndpoint(core, request, attempts);
			const recheckAt = findNextRecheckAt(request, listCapacityForecasts(core, request, attempts), clock.now());
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
