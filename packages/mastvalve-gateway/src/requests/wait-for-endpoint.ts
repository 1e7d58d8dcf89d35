/**
 * Waits for an endpoint that accepts a request: one that is available, or one that loads its model.
 *
 * A request is held only while a load is expected to end in time. Otherwise it is refused early, while the caller can
 * still retry. A draining entry holds no requests, since another entry may serve them.
 */

import {WeightSource, type FleetEndpoint} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {selectEndpoint, listCapacityForecasts, type PriorAttempts} from './select-endpoint.js';
import {
	clampRetryAfterMs, forecastMarginMs, computeWaitDeadline, type NoEndpoint,
} from './wait-budget.js';
import {computeRetryAfterMs, waitForCapacity} from './wait-for-capacity.js';

/** Share of the objective before the first decision: by then control's plan for new demand has arrived, and a refusal within a quarter of the objective is still early. */
const decisionShare = 0.2;

/** Longest time before the first decision on a request that no load can serve in time, ms: control has learned of its demand by then. */
const hopelessDecisionMs = 250;

/** Interval between decisions on a held request, ms: its load may have failed, or the leader may be gone. */
const recheckIntervalMs = 250;
/** A load that is overdue by more than this is ignored, ms; most end within 0.3 s of the expected time. */
const maxOverdueMs = 1000;

/** Upper bounds of the time until a load that has not begun ends, as multiples of its own time: other orders may come first. */
const loadTimeFactors: Record<WeightSource, number> = {[WeightSource.Memory]: 3, [WeightSource.Disk]: 2, [WeightSource.Store]: 1.3};

/** Retry-After when no endpoint can serve the request, ms. */
const defaultRetryAfterMs = 100;
/** Retry-After when no load of the model is expected, ms; at most a third of the remaining time. */
const unknownModelRetryAfterMs = 1200;

/** Whether a load in progress is expected to end before the caller gives up; undefined when there is none. */
const isLoadExpectedInTime = (core: GatewayCore, request: CallerRequest, model: string, release: string | undefined): boolean | undefined => {
	const at = core.view.findModelReadyAt(request.service, model, release);
	return at === undefined ? undefined : at + forecastMarginMs < computeWaitDeadline(request) && core.clock.now() < at + maxOverdueMs;
};

/** Finds the fastest source of a model's weights among the endpoints of a service. */
const findNearestSource = (core: GatewayCore, service: string, model: string): WeightSource => {
	const endpoints = core.view.listEndpoints(service);
	if (endpoints.some(({inMemory}) => inMemory.includes(model))) {
		return WeightSource.Memory;
	}

	return endpoints.some(({onDisk}) => onDisk.includes(model)) ? WeightSource.Disk : WeightSource.Store;
};

/** The fastest load of a model: from where its weights are nearest, and how long it takes once it has begun, ms. */
type NearestLoad = {source: WeightSource; loadMs: number};

/** Returns the fastest load of a model; infinite for a model that isn't declared. */
const findNearestLoad = (core: GatewayCore, request: CallerRequest, model: string): NearestLoad => {
	const service = core.view.configuration?.services.find(({name}) => name === request.service);
	const known = service?.engine?.models.find(({name}) => name === model);
	const source = findNearestSource(core, request.service, model);
	if (!known) {
		return {source, loadMs: Number.POSITIVE_INFINITY};
	}

	const loadMs: Record<WeightSource, number> = {[WeightSource.Memory]: known.memoryLoadMs, [WeightSource.Disk]: known.diskLoadMs, [WeightSource.Store]: known.storeLoadMs};
	return {source, loadMs: loadMs[source]};
};

/** Whether a load that has not begun would end before the caller gives up, also if other orders come first. */
const hasTimeForLoad = (core: GatewayCore, request: CallerRequest, model: string): boolean => {
	const {source, loadMs} = findNearestLoad(core, request, model);
	return core.clock.now() + (loadMs * loadTimeFactors[source]) < computeWaitDeadline(request);
};

/** Whether the caller gives up before a load could end that begins now. */
const isTooLateForLoad = (core: GatewayCore, request: CallerRequest, model: string): boolean =>
	core.clock.now() + findNearestLoad(core, request, model).loadMs >= computeWaitDeadline(request);

/** Time of a model swap as a multiple of a load from disk: the evicted model is unloaded first. */
const swapTimeFactor = 1.5;

/** Whether the objective of a request leaves time for a model swap from an engine's disk. */
export const hasTimeForSwap = (core: GatewayCore, {service, route}: CallerRequest, model: string): boolean => {
	const spec = core.view.configuration?.services.find(({name}) => name === service)?.engine;
	const diskLoadMs = spec?.models.find(({name}) => name === model)?.diskLoadMs ?? 0;
	return route.objectiveMs >= diskLoadMs * swapTimeFactor;
};

const createModelRefusal = (core: GatewayCore, request: CallerRequest, model: string): NoEndpoint => {
	const now = core.clock.now();
	const expectedMs = (core.view.findModelReadyAt(request.service, model) ?? now + unknownModelRetryAfterMs) - now;
	return {reason: `no endpoint holds ${model} in time`, retryAfterMs: clampRetryAfterMs(core, request, expectedMs)};
};

/** Outcome for a request that was ended while it waited; nobody receives it. */
const callerHasLeft: NoEndpoint = {reason: 'its caller has left, or its deadline has passed', retryAfterMs: 0};

/** Earlier attempts, and how many of them may have reached an endpoint. */
export type WaitingAttempts = PriorAttempts & {sentCount: number};

/** Returns an endpoint or the refusal. Only a request that has reached no endpoint waits for a load; unreachable endpoints don't count. */
export const waitForEndpoint = async (core: GatewayCore, request: CallerRequest, attempts: WaitingAttempts): Promise<FleetEndpoint | NoEndpoint> => {
	// A signal that has aborted notifies no listener that is added later.
	if (request.signal.aborted) {
		return callerHasLeft;
	}

	const immediate = selectEndpoint(core, request, attempts);
	const {tried, sentCount} = attempts;
	const {model, adapter} = request.caller;
	if (immediate) {
		return immediate;
	}

	if (listCapacityForecasts(core, request, attempts).length > 0) {
		return waitForCapacity(core, request, attempts);
	}

	if (model === undefined || sentCount > 0 || core.isDraining()) {
		return {reason: 'no endpoint can take it', retryAfterMs: computeRetryAfterMs(core, request) ?? defaultRetryAfterMs};
	}

	return new Promise(resolve => {
		const startedAt = core.clock.now();
		let isHeld = false;
		const settle = (outcome: FleetEndpoint | NoEndpoint): void => {
			endDemand();
			unsubscribe();
			clearTimeout(timer);
			core.drainListeners.delete(stopWaiting);
			request.signal.removeEventListener('abort', stopWaiting);
			core.log('request.waited', {
				request: request.requestId, model, adapter, waitedMs: Math.round(core.clock.now() - startedAt), outcome: 'id' in outcome ? outcome.id : outcome.reason, revision: core.view.revision,
			});
			core.observer.recordWait('id' in outcome, core.clock.now() - startedAt);
			resolve(outcome);
		};

		const stopWaiting = (): void => {
			settle(createModelRefusal(core, request, model));
		};

		/** Whether the model is neither held by an endpoint nor expected in time. Only its adapter may be missing, which takes milliseconds, or until a load in progress ends. */
		const isModelMissing = (): boolean =>
			!core.view.listEndpoints(request.service, attempts.release).some(({id, holds}) => !tried.has(id) && holds.some(({name}) => name === model)) && isLoadExpectedInTime(core, request, model, attempts.release) !== true;

		const decide = (): void => {
			if (isModelMissing() && !hasTimeForLoad(core, request, model)) {
				stopWaiting();
				return;
			}

			if (!isHeld) {
				isHeld = true;
				core.log('request.held', {
					request: request.requestId, model, adapter, expectedAt: core.view.findModelReadyAt(request.service, model),
				});
			}

			const leftMs = computeWaitDeadline(request) - core.clock.now() - forecastMarginMs;
			timer = leftMs > recheckIntervalMs ? setTimeout(decide, recheckIntervalMs) : setTimeout(stopWaiting, Math.max(1, leftMs));
		};

		const unsubscribe = core.view.subscribe(() => {
			if (core.quarantine.findQuarantined(request) !== undefined) {
				stopWaiting();
				return;
			}

			const endpoint = selectEndpoint(core, request, attempts);
			if (endpoint) {
				settle(endpoint);
			}
		});
		core.drainListeners.add(stopWaiting);
		request.signal.addEventListener('abort', stopWaiting, {once: true});
		const endDemand = core.demand.beginWait(request.service, model, adapter, computeWaitDeadline(request));
		const decisionMs = request.route.objectiveMs * decisionShare;
		let timer = setTimeout(decide, isModelMissing() && isTooLateForLoad(core, request, model) ? Math.min(decisionMs, hopelessDecisionMs) : decisionMs);
		core.log('request.waits', {
			request: request.requestId, model, adapter, revision: core.view.revision,
		});
	});
};
