/**
 * Waits for room at endpoints that take fewer requests than come, and only while it is sure to come before the caller gives up. What
 * can't be served in time is refused at once, with the time of the next room.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import type {CallerRequest} from './caller-request.js';
import {chooseNow, type Tries} from './choose-now.js';
import {patienceOf, refuseForRoom, type NoEndpoint} from './patience.js';

/** Timers may come a part of a millisecond before their time; a request that asks too early counts as one without a place in the line, ms. */
const earlyTimerMs = 1;

/** Waits until `roomAt`, monotonic ms, or until an endpoint comes up that may take the request. */
export const waitForRoom = async (core: GatewayCore, request: CallerRequest, tries: Tries, roomAt: number): Promise<FleetEndpoint | NoEndpoint> => {
	const {clock, view, demand, onDrain, log, observer} = core;
	const {caller: {model, adapter}, signal} = request;
	const startedAt = clock.now();
	const refusal = refuseForRoom(roomAt - startedAt);
	if (roomAt - startedAt > patienceOf(core, request) || core.isDraining()) {
		return refusal;
	}

	const endWanting = model === undefined ? undefined : demand.wait(request.service, model, adapter, request.deadlineAt);
	return new Promise(resolve => {
		const done = (outcome: FleetEndpoint | NoEndpoint): void => {
			clearTimeout(timer);
			endWanting?.();
			unsubscribe();
			onDrain.delete(giveUp);
			signal.removeEventListener('abort', giveUp);
			log('request.waited-for-room', {
				request: request.requestId, waitedMs: Math.round(clock.now() - startedAt), outcome: 'id' in outcome ? outcome.id : outcome.reason, revision: view.revision,
			});
			observer.recordWait('id' in outcome, clock.now() - startedAt);
			resolve(outcome);
		};

		const giveUp = (): void => {
			done(refusal);
		};

		const timer = setTimeout(() => {
			done(chooseNow(core, request, tries) ?? refusal);
		}, Math.max(0, Math.ceil(roomAt - startedAt) + earlyTimerMs));
		const unsubscribe = view.subscribe(() => {
			const endpoint = chooseNow(core, request, tries);
			if (endpoint) {
				done(endpoint);
			}
		});
		onDrain.add(giveUp);
		signal.addEventListener('abort', giveUp, {once: true});
	});
};
