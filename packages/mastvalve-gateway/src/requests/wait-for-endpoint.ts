/**
 * Waits for an endpoint that may take a request: at once if there is one, else until a load of its model brings one.
 *
 * A request is held only while a load is expected to end in time. Otherwise it is refused early, while the caller can
 * still come back. An entry that is about to stop holds nothing: another one may.
 */

import {WeightSource, type FleetEndpoint} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {selectEndpoint, listCapacityForecasts, type PriorAttempts} from './select-endpoint.js';
import {forecastMarginMs, computeWaitDeadline, type NoEndpoint} from './wait-budget.js';
import {computeRetryAfterMs, waitForCapacity} from './wait-for-capacity.js';

/** Control's plan for a new want is here in this part of the objective; a refusal is early within a quarter of it. */
const decisionShare = 0.2;

/** Held requests are decided on again this often, ms: a load may have failed, or its leader may be gone. */
const recheckIntervalMs = 250;
/** A load that is overdue by this is not counted on any more, ms; most end within 0.3 s of the time expected. */
const maxOverdueMs = 1000;

/** A load that is not under way may have to wait for other orders first; it ends after up to this many times its own time. */
const loadTimeFactors: Record<WeightSource, number> = {[WeightSource.Memory]: 3, [WeightSource.Disk]: 2, [WeightSource.Store]: 1.3};

/** Pause of a caller whose request no endpoint can take, ms. */
const defaultRetryAfterMs = 100;
/** Pause of a caller whose model is not expected; it may not be longer than a third of the time that is left, ms. */
const unknownModelRetryAfterMs = 1200;

/** Whether a load that is under way ends before the caller gives up; undefined when there is no load. */
const isLoadExpectedInTime = (core: GatewayCore, request: CallerRequest, model: string): boolean | undefined => {
	const at = core.view.expectModel(request.service, model);
	return at === undefined ? undefined : at + forecastMarginMs < computeWaitDeadline(request) && core.clock.now() < at + maxOverdueMs;
};

/** The nearest copy of a model's weights that an endpoint has. */
const findNearestSource = (core: GatewayCore, service: string, model: string): WeightSource => {
	const endpoints = core.view.listEndpoints(service);
	if (endpoints.some(({inMemory}) => inMemory.includes(model))) {
		return WeightSource.Memory;
	}

	return endpoints.some(({onDisk}) => onDisk.includes(model)) ? WeightSource.Disk : WeightSource.Store;
};

/** Whether even a load that is planned a little later ends before the caller gives up. */
const hasTimeForLoad = (core: GatewayCore, request: CallerRequest, model: string): boolean => {
	const service = core.view.configuration?.services.find(({name}) => name === request.service);
	const known = service?.engine?.models.find(({name}) => name === model);
	if (!known) {
		return false;
	}

	const source = findNearestSource(core, request.service, model);
	const loadMs: Record<WeightSource, number> = {[WeightSource.Memory]: known.memoryLoadMs, [WeightSource.Disk]: known.diskLoadMs, [WeightSource.Store]: known.storeLoadMs};
	return core.clock.now() + (loadMs[source] * loadTimeFactors[source]) < computeWaitDeadline(request);
};

/** A change of models takes this many times as long as a load from disk: what gives way is unloaded first. */
const swapTimeFactor = 1.5;

/** Whether the objective of a request leaves time for a load from an engine's disk. */
export const hasTimeForSwap = (core: GatewayCore, {service, route}: CallerRequest, model: string): boolean => {
	const spec = core.view.configuration?.services.find(({name}) => name === service)?.engine;
	const diskLoadMs = spec?.models.find(({name}) => name === model)?.diskLoadMs ?? 0;
	return route.objectiveMs >= diskLoadMs * swapTimeFactor;
};

const createModelRefusal = (core: GatewayCore, request: CallerRequest, model: string): NoEndpoint => {
	const now = core.clock.now();
	const expectedMs = (core.view.expectModel(request.service, model) ?? now + unknownModelRetryAfterMs) - now;
	const third = (request.callerDeadlineAt - now) / 3;
	return {reason: `no endpoint holds ${model} in time`, retryAfterMs: Math.max(50, Math.min(expectedMs, third))};
};

/** What a request has tried, and how many endpoints were handed it. */
export type WaitingAttempts = PriorAttempts & {sentCount: number};

/** An endpoint, or why there is none. A request that was handed to nobody yet may wait, also when endpoints were out of reach. */
export const waitForEndpoint = async (core: GatewayCore, request: CallerRequest, tries: WaitingAttempts): Promise<FleetEndpoint | NoEndpoint> => {
	const immediate = selectEndpoint(core, request, tries);
	const {tried, sentCount: sent} = tries;
	const {model, adapter} = request.caller;
	if (immediate) {
		return immediate;
	}

	if (listCapacityForecasts(core, request, tries).length > 0) {
		return waitForCapacity(core, request, tries);
	}

	if (model === undefined || sent > 0 || core.isDraining()) {
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

		const decide = (): void => {
			// The model may be here, and only its adapter on its way; that takes ms, or the end of a load.
			const isModelHere = core.view.listEndpoints(request.service).some(({id, holds}) => !tried.has(id) && holds.some(({name}) => name === model));
			if (!isModelHere && isLoadExpectedInTime(core, request, model) !== true && !hasTimeForLoad(core, request, model)) {
				stopWaiting();
				return;
			}

			if (!isHeld) {
				isHeld = true;
				core.log('request.held', {
					request: request.requestId, model, adapter, expectedAt: core.view.expectModel(request.service, model),
				});
			}

			const leftMs = computeWaitDeadline(request) - core.clock.now() - forecastMarginMs;
			timer = leftMs > recheckIntervalMs ? setTimeout(decide, recheckIntervalMs) : setTimeout(stopWaiting, Math.max(1, leftMs));
		};

		const unsubscribe = core.view.subscribe(() => {
			if (core.quarantine.remainingMs(request.fingerprint) !== undefined) {
				stopWaiting();
				return;
			}

			const endpoint = selectEndpoint(core, request, tries);
			if (endpoint) {
				settle(endpoint);
			}
		});
		core.drainListeners.add(stopWaiting);
		request.signal.addEventListener('abort', stopWaiting, {once: true});
		const endDemand = core.demand.beginWait(request.service, model, adapter, computeWaitDeadline(request));
		let timer = setTimeout(decide, request.route.objectiveMs * decisionShare);
		core.log('request.waits', {
			request: request.requestId, model, adapter, revision: core.view.revision,
		});
	});
};
